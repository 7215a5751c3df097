//! The entry VM.
fn main() {}
