//! Fencing tokens that are unique and increasing without the platform's store.

use std::net::Ipv4Addr;

use kernel::Millis;
use schedule::Fence;

/// Number of low bits of a token that identify the VM: the low bits of its
/// address.
const VM_BITS: u32 = 22;

/// Milliseconds of wall-clock time per counter step.
const STEP_MS: u64 = 250;

/// Start of the counters: 2026-01-01 in milliseconds of Unix time. Minions read
/// numbers of 53 bits, so counters last until 2042.
const ORIGIN_MS: u64 = 1_767_225_600_000;

/// Generates fencing tokens of a VM.
///
/// A token consists of a counter and the low bits of the VM's address. The
/// counter starts at the time of day, so that a restarted VM, which keeps no
/// state, starts above its previous tokens. The address makes tokens of
/// different VMs distinct. If clocks differ, a minion refuses the lower token,
/// and the next one is raised by a larger step.
#[derive(Debug)]
pub struct Tokens {
    /// Low bits of the VM's address.
    vm: u64,
    /// Highest counter generated or seen so far.
    last: u64,
}

impl Tokens {
    /// Creates a generator whose counter starts at the time of day, `wall`.
    pub fn new(addr: Ipv4Addr, wall: Millis) -> Tokens {
        let vm = u64::from(u32::from(addr)) & ((1 << VM_BITS) - 1);
        Tokens {
            vm,
            last: wall.0.saturating_sub(ORIGIN_MS) / STEP_MS,
        }
    }

    /// Returns a token above all tokens generated before.
    pub fn mint(&mut self) -> Fence {
        self.last += 1;
        Fence(self.last << VM_BITS | self.vm)
    }

    /// Returns a token above a refused one. The step grows with the number of
    /// `tries`.
    pub fn above(&mut self, refused: Fence, tries: u32) -> Fence {
        let base = (refused.0 >> VM_BITS).max(self.last);
        self.last = base + (1 << tries.min(8));
        self.mint()
    }
}
