//! Settings: an INI file checked against the keys of all plug-ins, with every
//! fault told in one go. See `docs/ops/install.md`.

mod check;
mod fault;
mod load;
mod log;
mod sample;
mod scan;
mod vm;

pub use fault::{Problem, SettingsFault};
pub use load::{load, parse};
pub use log::LogConfig;
pub use sample::sample;
pub use vm::VmConfig;
