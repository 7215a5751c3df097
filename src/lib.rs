//! The program: the command lines of both binaries, and what they run.

pub mod cli;
pub mod cmd;
pub mod error;
pub mod experiment;
pub mod fleet;
pub mod load;
pub mod logs;
pub mod report;
pub mod view;
