//! The operators tool.
fn main() {}
