//! A VM's part of what all VMs share.

use kernel::{Slots, VmId};

/// Which of the live VMs this is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Share {
    /// This VM.
    pub vm: VmId,
    /// Its rank among the live VMs, from 0.
    pub rank: usize,
    /// The number of live VMs.
    pub live: usize,
}

impl Share {
    /// Deals a number out to the VMs; over all ranks the parts add up to it.
    /// `salt` decides who gets the odd ones.
    pub fn part(&self, all: Slots, salt: u64) -> u32 {
        let live = self.live.max(1) as u64;
        let place = (self.rank as u64 % live + salt % live) % live;
        let odd = place < u64::from(all.0) % live;
        all.0 / live as u32 + u32::from(odd)
    }
}
