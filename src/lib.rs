//! The program: the command lines of both binaries, and what they run.

pub mod cli;
pub mod cmd;
pub mod error;
pub mod fleet;
pub mod load;
pub mod logs;
pub mod view;

// Linked for their plug-ins' settings, whether or not code here names them.
use {entry as _, limits as _, metrics as _, routing as _, timeline as _};
