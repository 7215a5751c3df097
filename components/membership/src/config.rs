//! How often VMs speak, and how long silence is borne.

use kernel::Millis;

/// The settings of membership. All bound cost or delay; none bears on safety.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Config {
    /// The least time between two heartbeats to one peer of this domain.
    pub near_period: Millis,
    /// The most heartbeats a second to peers of this domain together.
    pub near_rate: u32,
    /// The least time between two heartbeats to one peer of another domain.
    pub far_period: Millis,
    /// The most heartbeats a second to peers of other domains together.
    pub far_rate: u32,
    /// Silence beyond three periods after which a peer is suspect.
    pub grace: Millis,
    /// The longest pause between two tries to reach a suspect peer.
    pub probe_max: Millis,
    /// How long a minion counts as leaving after it was last listed so.
    pub leaving_hold: Millis,
    /// How long a VM must be off the platform's list, where it once was, and
    /// silent to all that this VM hears of, to count as gone for good.
    pub absent_after: Millis,
    /// How long a silent VM is remembered.
    pub forget_after: Millis,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            near_period: Millis(250),
            near_rate: 6,
            far_period: Millis(1000),
            far_rate: 2,
            grace: Millis(1000),
            probe_max: Millis(15_000),
            leaving_hold: Millis(60_000),
            absent_after: Millis(60_000),
            forget_after: Millis(24 * 3_600_000),
        }
    }
}
