//! Measures how the costs of an entry VM grow with the size of its fleet, and
//! fits a line to each cost. docs/CAPACITY.md is computed from these lines.

mod connect;
mod control;
mod events;
mod figure;
mod fit;
mod fixtures;
mod idle;
mod keys;
mod minions;
mod path;
mod sheets;
mod testbed;
mod usage;

pub use figure::{Figure, Point};
pub use fit::Fit;

use std::fmt;
use std::io;

use entry::StartError;

/// Error that prevents a measurement.
#[derive(Debug)]
pub enum SlopeError {
    /// No port could be bound or no thread started.
    Io(io::Error),
    /// An entry VM could not start.
    Start(StartError),
    /// The fleet did not become ready in time.
    NotReady,
    /// The platform did not accept a change of the sheet, or it was not in force
    /// in time.
    Sheet,
}

impl fmt::Display for SlopeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SlopeError::Io(e) => write!(f, "{e}"),
            SlopeError::Start(e) => write!(f, "{e}"),
            SlopeError::NotReady => write!(f, "the fleet did not become ready in time"),
            SlopeError::Sheet => write!(
                f,
                "a change of the sheet was not accepted or not in force in time"
            ),
        }
    }
}

impl std::error::Error for SlopeError {}

impl From<io::Error> for SlopeError {
    fn from(e: io::Error) -> SlopeError {
        SlopeError::Io(e)
    }
}

/// Group of costs that are measured together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Group {
    /// Memory and processor time of the table of minions.
    Minions,
    /// Claims, tickets and kept answers.
    Keys,
    /// Events of the time line.
    Events,
    /// Changes of the sheet.
    Sheet,
    /// Heartbeats under load, up to 40 VMs in memory.
    Control,
    /// Real VMs without jobs, on loopback.
    Idle,
    /// Jobs through one real VM, on loopback.
    Path,
}

impl Group {
    /// All groups. Those that measure memory come first, because freed memory of
    /// other groups would distort them.
    pub const ALL: [Group; 7] = [
        Group::Minions,
        Group::Keys,
        Group::Events,
        Group::Sheet,
        Group::Control,
        Group::Path,
        Group::Idle,
    ];

    /// Measures the group. It must not be called within an asynchronous runtime.
    ///
    /// # Errors
    ///
    /// Fails when the machine lacks ports, threads or time.
    pub fn measure(self) -> Result<Vec<Figure>, SlopeError> {
        match self {
            Group::Minions => minions::measure(),
            Group::Keys => keys::measure(),
            Group::Events => events::measure(),
            Group::Sheet => sheets::measure(),
            Group::Control => control::measure(),
            Group::Idle => idle::measure(),
            Group::Path => path::measure(),
        }
    }
}
