//! Command lines of `pomelopost` and `pomeloctl`, and the code behind their
//! commands.

pub mod cli;
pub mod cmd;
pub mod error;
pub mod experiment;
pub mod fleet;
pub mod load;
pub mod logs;
pub mod report;
pub mod view;
