//! The settings of ownership.

use kernel::Millis;

/// Intervals, timeouts and delays of heartbeats and takeovers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OwnershipConfig {
    /// Least interval between the heartbeats of a VM that owns a shard.
    pub heartbeat_interval: Millis,
    /// Least interval between the heartbeats of a VM that owns no shard.
    pub idle_interval: Millis,
    /// Time without a heartbeat after which a VM that owns a shard, or that has
    /// jobs on a shard of this VM, is considered gone: four lost heartbeats. It
    /// is longer for an owner that announces a longer interval.
    pub owner_timeout: Millis,
    /// Time without a heartbeat after which a VM that owns no shard is
    /// considered gone: four lost heartbeats. It is longer for a VM that
    /// announces a longer interval.
    pub idle_timeout: Millis,
    /// Time for which a new VM only listens before it takes a shard. Other VMs
    /// answer its first heartbeat at once, but the smallest take some hundred
    /// milliseconds to start.
    pub listen_time: Millis,
    /// Time after the first heartbeat of another VM by which a VM that starts
    /// has the answer of a running one: some round trips and ticks of a busy
    /// VM. If none of the answers reports an owner, all VMs are starting.
    pub answer_time: Millis,
    /// Time after its start during which a VM keeps jobs until a shard has an
    /// owner. It covers `listen_time`, the later start of another VM, and the
    /// time that an owner needs to take its minions.
    pub startup_time: Millis,
    /// Delay added per rank before a candidate takes a shard without an owner,
    /// so that the heartbeat of a better candidate arrives first.
    pub stagger: Millis,
    /// Delay added for candidates outside the shard's failure domain.
    pub remote_delay: Millis,
    /// Time for which a VM must have been alive before a shard is handed to it
    /// because it is nearer or larger. It is longer than a VM that fails during
    /// its start stays up.
    pub settle_time: Millis,
    /// Time without a heartbeat after which a VM is removed from the list.
    pub forget_after: Millis,
    /// Time without a heartbeat after which a VM counts as unreachable when
    /// this VM decides whether it is isolated: two heartbeats of a VM that owns
    /// no shard.
    pub unreachable_after: Millis,
    /// Time for which an isolated VM does not retake a shard whose minions obey
    /// another VM. It doubles each time.
    pub yield_time: Millis,
    /// Upper limit of `yield_time` after doubling.
    pub max_yield: Millis,
}

impl OwnershipConfig {
    /// Returns `timeout`, which is for heartbeats at the interval `least`, for
    /// heartbeats at `interval`.
    pub(crate) fn scaled(timeout: Millis, least: Millis, interval: Millis) -> Millis {
        timeout.max(Millis(timeout.0 * interval.0 / least.0.max(1)))
    }
}

impl Default for OwnershipConfig {
    fn default() -> OwnershipConfig {
        OwnershipConfig {
            heartbeat_interval: Millis(100),
            idle_interval: Millis(500),
            owner_timeout: Millis(450),
            idle_timeout: Millis(2_200),
            listen_time: Millis(500),
            answer_time: Millis(100),
            startup_time: Millis(1_000),
            stagger: Millis(150),
            remote_delay: Millis(1_500),
            settle_time: Millis(3_000),
            forget_after: Millis(30_000),
            unreachable_after: Millis(1_100),
            yield_time: Millis(2_000),
            max_yield: Millis(16_000),
        }
    }
}
