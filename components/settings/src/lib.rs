//! Settings: reads an INI file, checks it against the keys of all plug-ins and
//! reports all faults at once. See `docs/ops/install.md`.

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
