//! Fencing tokens that rise and are unique without the platform's store.

use std::net::Ipv4Addr;

use kernel::Millis;
use schedule::Fence;

/// Bits of a token that name the VM: the low bits of its address.
const VM_BITS: u32 = 22;

/// The least step between two tokens' counters, in milliseconds.
const STEP_MS: u64 = 250;

/// 2026-01-01 in milliseconds of Unix time, from which counters start. With
/// 53 bits, as minions read numbers, counters last until 2042.
const ORIGIN_MS: u64 = 1_767_225_600_000;

/// Mints tokens: a counter from the time of day, so that a VM that remembers
/// nothing starts above its former life, and the VM's address, so that no two
/// VMs mint the same. Where clocks differ the minion refuses the lower token
/// and the next is a larger step up.
#[derive(Debug)]
pub struct Tokens {
    /// The low bits.
    vm: u64,
    /// The highest counter given out or heard of.
    last: u64,
}

impl Tokens {
    /// Starts at the time of day.
    pub fn new(addr: Ipv4Addr, wall: Millis) -> Tokens {
        let vm = u64::from(u32::from(addr)) & ((1 << VM_BITS) - 1);
        Tokens {
            vm,
            last: wall.0.saturating_sub(ORIGIN_MS) / STEP_MS,
        }
    }

    /// Returns a token above all given out before.
    pub fn mint(&mut self) -> Fence {
        self.last += 1;
        Fence(self.last << VM_BITS | self.vm)
    }

    /// Returns a token above one that was refused, further each time.
    pub fn above(&mut self, refused: Fence, tries: u32) -> Fence {
        let base = (refused.0 >> VM_BITS).max(self.last);
        self.last = base + (1 << tries.min(8));
        self.mint()
    }
}
