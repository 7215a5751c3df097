//! Generated loads depend on nothing but their seed, and the figures of reports
//! add up.

use std::time::Duration;

use kernel::Millis;
use pomelopost::load::{Arrivals, Mix, MixError, Plan, PlannedJob, Tally};
use pomelopost::view::Answer;

fn plan(seed: u64) -> Plan {
    Plan {
        rate: 500,
        duration: Millis(4000),
        mix: "quote:3:200ms:3,tariff:1:50ms".parse().unwrap(),
        spread: 50,
        teams: 4,
        deadline: Millis(10_000),
        seed,
    }
}

fn answer(text: &str) -> Answer {
    serde_json::from_str(text).unwrap()
}

#[test]
fn seed_determines_jobs() {
    let jobs: Vec<PlannedJob> = Arrivals::new(plan(7)).collect();
    assert_eq!(jobs, Arrivals::new(plan(7)).collect::<Vec<_>>());
    assert_ne!(jobs, Arrivals::new(plan(8)).collect::<Vec<_>>());
}

#[test]
fn rate_and_weights() {
    let jobs: Vec<PlannedJob> = Arrivals::new(plan(7)).collect();
    // 2000 expected, with a standard deviation of 45.
    assert!((1800..2200).contains(&jobs.len()), "{}", jobs.len());
    assert!(jobs.is_sorted_by_key(|job| job.at));
    let quote_jobs = jobs.iter().filter(|job| job.tasks == 3).count();
    let share = quote_jobs as f64 / jobs.len() as f64;
    assert!((0.7..0.8).contains(&share), "{share}");
}

#[test]
fn malformed_mix() {
    let cases = [
        ("", MixError::Form),
        ("quote:3", MixError::Form),
        ("quote:3:1s:1:1", MixError::Form),
        ("a b:3:1s", MixError::Service),
        ("quote:0:1s", MixError::Tasks),
        ("quote:141:1s", MixError::Tasks),
        ("quote:3:1", MixError::Run),
        ("quote:3:1s:0", MixError::Weight),
    ];
    for (text, error) in cases {
        assert_eq!(text.parse::<Mix>(), Err(error), "{text}");
    }
}

#[test]
fn tally_adds_up() {
    let mut tally = Tally::new();
    for _ in 0..5 {
        tally.sent(2, Duration::ZERO);
    }
    let complete =
        r#"{"outcome":"complete","answers":[{"id":"t0","answer":1},{"id":"t1","answer":1}]}"#;
    let partial = r#"{"outcome":"complete","answers":[{"id":"t0","answer":1}]}"#;
    tally.answer(&answer(complete), 2);
    tally.answer(&answer(partial), 2);
    tally.answer(
        &answer(r#"{"outcome":"failed","ran":"no","reason":"quota"}"#),
        2,
    );
    tally.answer(&answer(r#"{"outcome":"unknown","reason":"owner_away"}"#), 2);
    tally.unanswered();
    tally.complete(Duration::from_millis(300), Duration::from_millis(200));
    let report = tally.report(Duration::from_secs(1));
    assert_eq!((report.jobs, report.tasks, report.complete), (5, 10, 2));
    assert_eq!(
        (report.not_run, report.unknown, report.unanswered),
        (1, 1, 1)
    );
    assert_eq!(report.partial, 1);
    assert_eq!(report.reasons["quota"], 1);
    assert!((report.ratio.p50 - 1.5).abs() < 0.01);
}
