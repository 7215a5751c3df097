//! Processes that were replaced by another process of the same VM id during
//! their planned stop. Such a process finishes its jobs and names a successor
//! later, so it is not gone yet (`docs/design/membership.md`).

use std::net::SocketAddr;

use kernel::{Incarnation, Timestamp};

use crate::vm::Vm;

/// Maximum number of stopping processes remembered; beyond it the oldest counts
/// as gone.
pub const MAX_STOPPING: usize = 64;

/// A stopping process.
#[derive(Debug, Clone, Copy)]
struct Process {
    /// Incarnation of the process.
    incarnation: Incarnation,
    /// Address at which peers reach the process.
    addr: SocketAddr,
    /// Time at which the process counts as gone without a successor.
    until: Timestamp,
}

/// Set of replaced processes that are still stopping.
#[derive(Debug, Clone, Default)]
pub(crate) struct StoppingProcesses {
    /// Processes, oldest first.
    processes: Vec<Process>,
}

impl StoppingProcesses {
    /// Adds a process that may name a successor until the given time.
    pub(crate) fn add(&mut self, vm: &Vm, until: Timestamp) {
        if !self.contains(vm.incarnation) {
            self.processes.push(Process {
                incarnation: vm.incarnation,
                addr: vm.peers,
                until,
            });
        }
    }

    /// Returns whether an incarnation is in the set.
    pub(crate) fn contains(&self, incarnation: Incarnation) -> bool {
        self.processes.iter().any(|p| p.incarnation == incarnation)
    }

    /// Removes an incarnation.
    pub(crate) fn remove(&mut self, incarnation: Incarnation) {
        self.processes.retain(|p| p.incarnation != incarnation);
    }

    /// Removes and returns the processes that named no successor in time, and
    /// those beyond the bound.
    pub(crate) fn take_expired(&mut self, now: Timestamp) -> Vec<Incarnation> {
        let excess = self.processes.len().saturating_sub(MAX_STOPPING);
        let expired = |(n, process): &(usize, &Process)| *n < excess || process.until <= now;
        let expired = self.processes.iter().enumerate().filter(expired);
        let expired: Vec<Incarnation> = expired.map(|(_, p)| p.incarnation).collect();
        self.processes.retain(|p| !expired.contains(&p.incarnation));
        expired
    }

    /// Returns the incarnations with their addresses.
    pub(crate) fn list(&self) -> Vec<(Incarnation, SocketAddr)> {
        self.processes
            .iter()
            .map(|p| (p.incarnation, p.addr))
            .collect()
    }
}
