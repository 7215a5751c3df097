//! The scheduler's settings.

use kernel::Millis;

/// Bounds and weights of the scheduler.
#[derive(Debug, Clone, PartialEq)]
pub struct ScheduleConfig {
    /// How long a minion keeps its runs without word from its owner. The
    /// platform's longest lease bounds it.
    pub lease: Millis,
    /// How long a hold waits at a minion for a run to end; a fraction of the
    /// lease, so that two holds may get lost before it lapses.
    pub hold_wait: Millis,
    /// The same while holds of the minion go unanswered: what runs is shorter
    /// than the former.
    pub short_wait: Millis,
    /// How long a stop may go unanswered before it is sent again.
    pub stop_retry: Millis,
    /// How long past its expected end a run may last before it counts as hung,
    /// in multiples of that time.
    pub hang_factor: f64,
    /// Added to the former, for tasks of a few milliseconds.
    pub hang_slack: Millis,
    /// Consecutive failures after which a minion gets no work for a while.
    pub eject_failures: u32,
    /// How much slower than the others a minion may be, as a factor.
    pub slow_factor: f64,
    /// How long an ejected minion gets no work at first; doubled each time.
    pub eject_time: Millis,
    /// The longest ejection.
    pub eject_max: Millis,
    /// The share of the minions that may be ejected at once; with more of them
    /// failing, the cause is likely elsewhere.
    pub eject_share: f64,
    /// The part of its latency objective after which a job that has not started
    /// is refused, because a later refusal only costs the caller time.
    pub refuse_fraction: f64,
    /// Time set aside for the answer's way to the client.
    pub reply_slack: Millis,
    /// How long finished jobs' run numbers are remembered for a job that is
    /// sent again.
    pub retention: Millis,
}

impl Default for ScheduleConfig {
    fn default() -> ScheduleConfig {
        ScheduleConfig {
            lease: Millis(800),
            hold_wait: Millis(200),
            short_wait: Millis(40),
            stop_retry: Millis(80),
            hang_factor: 3.0,
            hang_slack: Millis(200),
            eject_failures: 2,
            slow_factor: 2.5,
            eject_time: Millis(2_000),
            eject_max: Millis(16_000),
            eject_share: 0.35,
            refuse_fraction: 0.25,
            reply_slack: Millis(20),
            retention: Millis(10_000),
        }
    }
}
