//! How many minions a VM can own, from its share of a processor, its link and
//! its file descriptors. A domain is divided into shards that fit its VMs
//! (docs/design/platform.md#ownership).

use kernel::{BitRate, MilliCores};

/// Part of a VM's resources that the minions it owns may use. The rest is for
/// the jobs of its callers, for heartbeats and for bursts.
const OWNER_FRACTION: f64 = 0.5;

/// Bits per second of the orders to one minion and their answers: four starts a
/// second with payloads of 2 KB, which keep a minion of two slots busy, and six
/// holds.
const MINION_BITS: f64 = 80_000.0;

/// Processor time that one minion costs, in thousandths of a core: ten calls a
/// second at 75 us.
const MINION_MILLICORES: f64 = 0.75;

/// Connections to one minion that are open at the same time: a hold and some
/// starts and stops.
const MINION_DESCRIPTORS: f64 = 6.0;

/// Resources of a VM that bound how many minions it can own.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Room {
    /// Share of a processor.
    pub share: MilliCores,
    /// Rate of the VM's network link.
    pub link: BitRate,
    /// Greatest number of open file descriptors.
    pub descriptors: u32,
}

impl Room {
    /// Returns the number of minions that the VM can own.
    pub fn minions(&self) -> u32 {
        let link = self.link.0 as f64 / MINION_BITS;
        let share = f64::from(self.share.0) / MINION_MILLICORES;
        let descriptors = f64::from(self.descriptors) / MINION_DESCRIPTORS;
        let whole = link.min(share).min(descriptors);
        ((whole * OWNER_FRACTION) as u32).max(1)
    }
}
