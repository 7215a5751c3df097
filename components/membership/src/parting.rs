//! Lives that another life of their VM's id has replaced while they were
//! stopping as planned. Such a process finishes its jobs and names a successor
//! later, so it is not gone yet (`docs/design/membership.md`).

use std::net::SocketAddr;

use kernel::{Incarnation, Timestamp};

use crate::vm::Vm;

/// The most lives remembered; beyond it the oldest counts as gone.
pub const MAX_PARTING: usize = 64;

/// One such life.
#[derive(Debug, Clone, Copy)]
struct Life {
    /// The life.
    incarnation: Incarnation,
    /// Where its process listens.
    addr: SocketAddr,
    /// When it counts as gone without a successor.
    until: Timestamp,
}

/// The lives that are stopping, oldest first.
#[derive(Debug, Clone, Default)]
pub(crate) struct Parting {
    /// The lives.
    lives: Vec<Life>,
}

impl Parting {
    /// Adds a life that may name a successor up to a time.
    pub(crate) fn add(&mut self, vm: &Vm, until: Timestamp) {
        if !self.contains(vm.incarnation) {
            self.lives.push(Life {
                incarnation: vm.incarnation,
                addr: vm.peers,
                until,
            });
        }
    }

    /// Tells whether a life is stopping.
    pub(crate) fn contains(&self, incarnation: Incarnation) -> bool {
        self.lives.iter().any(|l| l.incarnation == incarnation)
    }

    /// Forgets a life.
    pub(crate) fn remove(&mut self, incarnation: Incarnation) {
        self.lives.retain(|l| l.incarnation != incarnation);
    }

    /// Takes out the lives that have named nobody in time, and those beyond
    /// the bound.
    pub(crate) fn take_ended(&mut self, now: Timestamp) -> Vec<Incarnation> {
        let beyond = self.lives.len().saturating_sub(MAX_PARTING);
        let ended = |(n, life): &(usize, &Life)| *n < beyond || life.until <= now;
        let ended = self.lives.iter().enumerate().filter(ended);
        let ended: Vec<Incarnation> = ended.map(|(_, l)| l.incarnation).collect();
        self.lives.retain(|l| !ended.contains(&l.incarnation));
        ended
    }

    /// Returns the lives and where their processes listen.
    pub(crate) fn list(&self) -> Vec<(Incarnation, SocketAddr)> {
        self.lives.iter().map(|l| (l.incarnation, l.addr)).collect()
    }
}
