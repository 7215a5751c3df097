//! Run times are learned, and jobs that would miss their deadline are refused.

use kernel::{Millis, Service, Slots, Team};
use limits::{Admission, Demand, LimitsConfig, RetryBudget, RunTimes};
use proptest::prelude::*;

fn quote() -> Service {
    "quote".parse().unwrap()
}

fn team(name: &str) -> Team {
    name.parse().unwrap()
}

#[test]
fn declared_time() {
    let times = RunTimes::new();
    let declared = Some(Millis(50));
    assert_eq!(
        times.quantile(&quote(), &team("t"), 0.5, declared),
        Millis(50)
    );
    for _ in 0..20 {
        times.record(&quote(), &team("t"), Millis(400));
    }
    let learned = times.quantile(&quote(), &team("t"), 0.5, declared).0;
    assert!((360..=440).contains(&learned), "{learned}");
    let other = times.quantile(&quote(), &team("u"), 0.5, declared).0;
    assert_eq!(other, learned, "a new team starts from its service");
}

#[test]
fn old_samples_fade() {
    let times = RunTimes::new();
    for _ in 0..1000 {
        times.record(&quote(), &team("t"), Millis(100));
    }
    for _ in 0..2000 {
        times.record(&quote(), &team("t"), Millis(800));
    }
    let median = times.quantile(&quote(), &team("t"), 0.5, None).0;
    assert!(median > 700, "{median}");
}

fn demand(queued: usize, tasks: usize, left: u64) -> Demand {
    Demand {
        queued,
        tasks,
        slots: Slots(100),
        mean_run: Millis(200),
        longest_run: Millis(800),
        time_left: Millis(left),
    }
}

#[test]
fn deadline_missed() {
    let admission = Admission::new(LimitsConfig::default());
    assert!(admission.admit(&demand(0, 50, 2000)).is_ok());
    let refused = admission.admit(&demand(2000, 50, 2000)).unwrap_err();
    assert!(refused.retry_after >= Millis(2000));
    assert_eq!(admission.refused(), 1);
}

#[test]
fn full_queue() {
    let cfg = LimitsConfig {
        admission: false,
        queue_max: 100,
        ..LimitsConfig::default()
    };
    let admission = Admission::new(cfg);
    assert!(admission.admit(&demand(60, 40, 1)).is_ok());
    assert!(admission.admit(&demand(61, 40, 1)).is_err());
}

#[test]
fn retry_budget() {
    let budget = RetryBudget::new(10);
    while budget.try_retry() {}
    for _ in 0..100 {
        budget.record_attempt();
    }
    let retries = std::iter::from_fn(|| budget.try_retry().then_some(())).count();
    assert_eq!(retries, 10);
}

proptest! {
    /// An estimated quantile is within one bucket of the true one.
    #[test]
    fn quantile_near(mut runs in prop::collection::vec(1..5000u64, 8..200), q in 0.05..0.99f64) {
        let times = RunTimes::new();
        for &run in &runs {
            times.record(&quote(), &team("t"), Millis(run));
        }
        runs.sort();
        let at = ((runs.len() as f64 * q).ceil() as usize).max(1) - 1;
        let estimate = times.quantile(&quote(), &team("t"), q, None).0 as f64;
        let exact = runs[at] as f64;
        prop_assert!(estimate >= exact / 1.2 - 1.0 && estimate <= exact * 1.2 + 1.0);
    }
}
