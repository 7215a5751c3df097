//! Settings of the scheduler.

use kernel::Millis;

/// Time limits, thresholds and weights of the scheduler.
#[derive(Debug, Clone, PartialEq)]
pub struct ScheduleConfig {
    /// Duration of a minion's lease: it ends its runs when its owner does not
    /// renew the lease for this long. The platform limits the longest lease.
    pub lease: Millis,
    /// Longest lease that a minion grants, to an order that asks for a longer one.
    pub max_lease: Millis,
    /// Longest time a hold waits at a minion for a run to end. A fraction of
    /// the lease, so that two holds may be lost before the lease lapses.
    pub hold_wait: Millis,
    /// Hold wait for a minion with a recent unanswered hold. Runs are
    /// often shorter than `hold_wait`, so another lost answer must be noticed
    /// sooner than that.
    pub short_wait: Millis,
    /// Time without an answer after which a stop is resent.
    pub stop_retry: Millis,
    /// Multiple of its expected run time after which a run counts as hung.
    pub hang_factor: f64,
    /// Time added to the hang limit, which matters for tasks of a few
    /// milliseconds.
    pub hang_slack: Millis,
    /// Consecutive failures after which a minion is ejected.
    pub eject_failures: u32,
    /// Factor by which a minion may be slower than the mean before it is
    /// ejected.
    pub slow_factor: f64,
    /// Duration of the first ejection; it doubles with each further one in a
    /// row.
    pub eject_time: Millis,
    /// Upper limit of an ejection's duration.
    pub eject_max: Millis,
    /// Largest share of the minions that may be ejected at once: when more of
    /// them fail, the cause is likely elsewhere.
    pub eject_share: f64,
    /// Largest share of the minions that are kept for tasks that may crash them.
    pub suspect_share: f64,
    /// Fraction of its latency objective for which a job that is expected to be
    /// late may wait for its first start. It is refused then, because a later
    /// refusal only costs the caller time.
    pub refuse_fraction: f64,
    /// Time reserved for sending the answer to the client.
    pub reply_slack: Millis,
    /// Time for which the run numbers of an ended job are kept, in case the
    /// client resends the job.
    pub retention: Millis,
}

impl Default for ScheduleConfig {
    fn default() -> ScheduleConfig {
        ScheduleConfig {
            lease: Millis(800),
            max_lease: Millis(1_000),
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
            suspect_share: 0.2,
            refuse_fraction: 0.25,
            reply_slack: Millis(20),
            retention: Millis(10_000),
        }
    }
}
