//! What a task needs and a minion has, in several dimensions.

use std::fmt;

use kernel::{Gpus, Mebibytes, MilliCores};
use serde::{Deserialize, Serialize};

/// An amount of each resource.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Resources {
    /// Processor.
    pub cpu: MilliCores,
    /// Memory.
    pub memory: Mebibytes,
    /// Accelerators.
    pub gpus: Gpus,
}

impl Resources {
    /// Tells whether this amount fits into `room` in every dimension.
    pub fn fits(&self, available: &Resources) -> bool {
        self.cpu <= available.cpu && self.memory <= available.memory && self.gpus <= available.gpus
    }

    /// Returns what is left of this amount without `part`, at least zero.
    pub fn without(&self, other: &Resources) -> Resources {
        Resources {
            cpu: MilliCores(self.cpu.0.saturating_sub(other.cpu.0)),
            memory: Mebibytes(self.memory.0.saturating_sub(other.memory.0)),
            gpus: Gpus(self.gpus.0.saturating_sub(other.gpus.0)),
        }
    }

    /// Returns the sum of both amounts.
    pub fn with(&self, other: &Resources) -> Resources {
        Resources {
            cpu: MilliCores(self.cpu.0.saturating_add(other.cpu.0)),
            memory: Mebibytes(self.memory.0.saturating_add(other.memory.0)),
            gpus: Gpus(self.gpus.0.saturating_add(other.gpus.0)),
        }
    }
}

impl fmt::Display for Resources {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}m {}MiB {} gpus", self.cpu, self.memory, self.gpus)
    }
}
