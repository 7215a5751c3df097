//! Amounts of processor, memory and accelerators that tasks need and minions
//! have.

use std::fmt;

use kernel::{Gpus, Mebibytes, MilliCores};
use serde::{Deserialize, Serialize};

/// An amount of each resource.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Resources {
    /// Processor time, in thousandths of a core.
    pub cpu: MilliCores,
    /// Memory in mebibytes.
    pub memory: Mebibytes,
    /// Number of accelerators.
    pub gpus: Gpus,
}

impl Resources {
    /// Returns whether this amount fits into `available` in every dimension.
    pub fn fits(&self, available: &Resources) -> bool {
        self.cpu <= available.cpu && self.memory <= available.memory && self.gpus <= available.gpus
    }

    /// Returns this amount minus `other`, at least zero in each dimension.
    pub fn without(&self, other: &Resources) -> Resources {
        Resources {
            cpu: MilliCores(self.cpu.0.saturating_sub(other.cpu.0)),
            memory: Mebibytes(self.memory.0.saturating_sub(other.memory.0)),
            gpus: Gpus(self.gpus.0.saturating_sub(other.gpus.0)),
        }
    }

    /// Returns the larger amount of each resource.
    pub fn max(&self, other: &Resources) -> Resources {
        Resources {
            cpu: self.cpu.max(other.cpu),
            memory: self.memory.max(other.memory),
            gpus: self.gpus.max(other.gpus),
        }
    }

    /// Returns the smaller amount of each resource.
    pub fn min(&self, other: &Resources) -> Resources {
        Resources {
            cpu: self.cpu.min(other.cpu),
            memory: self.memory.min(other.memory),
            gpus: self.gpus.min(other.gpus),
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
