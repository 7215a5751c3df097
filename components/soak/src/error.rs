//! Errors that prevent a run.

use std::fmt;
use std::io;
use std::path::PathBuf;

/// Error that prevents a run. Violations are not errors but results of a run.
#[derive(Debug)]
pub enum SoakError {
    /// An address can't be bound.
    Bind(io::Error),
    /// A file or folder can't be written.
    File(PathBuf, io::Error),
    /// The program can't be started.
    Program(PathBuf, io::Error),
    /// A signal can't be sent to a process.
    Signal(nix::errno::Errno),
    /// This many VMs don't serve at the start, before the first fault.
    NotServing(usize),
    /// A name that this crate generates is invalid, which is a bug.
    Name(kernel::IdError),
}

impl fmt::Display for SoakError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SoakError::Bind(e) => write!(f, "an address can't be bound: {e}"),
            SoakError::File(path, e) => write!(f, "{}: {e}", path.display()),
            SoakError::Program(path, e) => write!(f, "{} can't be started: {e}", path.display()),
            SoakError::Signal(e) => write!(f, "a signal can't be sent: {e}"),
            SoakError::NotServing(count) => write!(f, "{count} VMs don't serve at the start"),
            SoakError::Name(e) => write!(f, "a generated name {e}"),
        }
    }
}

impl std::error::Error for SoakError {}
