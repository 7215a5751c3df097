//! What any dispatcher could do with a load: an upper bound, and a schedule that knows
//! all arrivals and run times ahead. The best possible lies between the two
//! (docs/bench/decisions.md#possible).

mod relaxation;
mod schedule;

pub use relaxation::upper_bound;
pub use schedule::offline;

use kernel::Millis;

/// A job that must end in time to count.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Demand {
    /// Time of its arrival.
    pub arrival: Millis,
    /// Time by which its last task must end.
    pub due: Millis,
    /// Number of its tasks.
    pub tasks: u32,
    /// Cores that each task needs.
    pub cores: f64,
    /// Run time of each task on a minion of speed 1.
    pub run: Millis,
}

impl Demand {
    /// Returns the processor time of all tasks at speed 1, in core milliseconds.
    pub fn work(&self) -> f64 {
        f64::from(self.tasks) * self.cores * self.run.0 as f64
    }

    /// Returns whether the job can end in time on an idle minion of this speed.
    fn fits(&self, speed: f64) -> bool {
        self.run.0 as f64 <= speed * self.due.0.saturating_sub(self.arrival.0) as f64
    }
}

/// A minion that runs tasks side by side while their cores fit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Room {
    /// Cores of the minion.
    pub cores: f64,
    /// Its speed; 1 is the speed that run times refer to.
    pub speed: f64,
}
