//! The settings of ownership.

use kernel::Millis;

/// Times of the beats and of takeovers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OwnershipConfig {
    /// Time between an owner's beats.
    pub beat: Millis,
    /// Time between the beats of a VM that owns nothing.
    pub idle_beat: Millis,
    /// How long a VM is taken for alive without a beat while it owns a shard
    /// or has jobs with us: four lost beats.
    pub silence: Millis,
    /// How long a VM that owns nothing is taken for alive without a beat.
    pub idle_silence: Millis,
    /// How long a new VM listens before it takes a shard. VMs answer a new one
    /// at once, but the smallest take some hundred milliseconds to start.
    pub listen: Millis,
    /// How long after its start a VM keeps jobs for the first owner: the time to
    /// listen, another VM's later start, and the time to take minions.
    pub start_span: Millis,
    /// How much later each next candidate takes a shard without owner, so that
    /// the first one's beat arrives before.
    pub stagger: Millis,
    /// How much later candidates of other domains do.
    pub abroad: Millis,
    /// How long a VM must have been heard before a shard is handed to it for
    /// being nearer or larger: longer than a VM that fails at its start lives.
    pub settle: Millis,
    /// After how long a silent VM is forgotten.
    pub forget: Millis,
    /// How long another VM is not heard before it counts as one that this VM is
    /// cut off from: two beats of VMs that own nothing.
    pub alone: Millis,
    /// How long a VM that is cut off leaves a shard alone whose minions obey
    /// another VM; doubled each time.
    pub yield_time: Millis,
    /// The longest of these times.
    pub yield_most: Millis,
}

impl Default for OwnershipConfig {
    fn default() -> OwnershipConfig {
        OwnershipConfig {
            beat: Millis(100),
            idle_beat: Millis(500),
            silence: Millis(450),
            idle_silence: Millis(2_200),
            listen: Millis(500),
            start_span: Millis(1_000),
            stagger: Millis(150),
            abroad: Millis(1_500),
            settle: Millis(3_000),
            forget: Millis(30_000),
            alone: Millis(1_100),
            yield_time: Millis(2_000),
            yield_most: Millis(16_000),
        }
    }
}
