//! Heartbeat rates and timeouts.

use kernel::Millis;

/// Settings of membership. They bound cost and delay; none affects safety.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Config {
    /// Minimum time between two heartbeats to one peer of this domain.
    pub near_period: Millis,
    /// Maximum number of heartbeats per second to all peers of this domain.
    pub near_rate: u32,
    /// Minimum time between two heartbeats to one peer of another domain.
    pub far_period: Millis,
    /// Maximum number of heartbeats per second to all peers of other domains.
    pub far_rate: u32,
    /// Time without a message from a peer, beyond three heartbeat periods, after
    /// which the peer is suspect.
    pub grace: Millis,
    /// Maximum pause between two attempts to reach a suspect peer.
    pub probe_max: Millis,
    /// Time for which a minion counts as leaving after the VM list last showed it
    /// as leaving.
    pub leaving_hold: Millis,
    /// Time after which a VM counts as gone for good if it was dropped from the VM
    /// list and no VM is known to have received its messages.
    pub absent_after: Millis,
    /// Time for which a VM is remembered after the last message that any VM is known
    /// to have received from it, and for which a VM's departure is remembered.
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
