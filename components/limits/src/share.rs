//! The part of a VM in a number that all live VMs share.

use kernel::{Slots, VmId};

/// The rank of a VM among the live VMs, which decides its part.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Share {
    /// The id of the VM.
    pub vm: VmId,
    /// The rank of the VM among the live VMs, from 0.
    pub rank: usize,
    /// The number of live VMs.
    pub live: usize,
}

impl Share {
    /// Returns the part of this VM in `all`. The parts of all ranks add up to
    /// `all`; `salt` decides which ranks get the remainder.
    pub fn part(&self, all: Slots, salt: u64) -> u32 {
        let live = self.live.max(1) as u64;
        let position = (self.rank as u64 % live + salt % live) % live;
        let odd = position < u64::from(all.0) % live;
        all.0 / live as u32 + u32::from(odd)
    }
}
