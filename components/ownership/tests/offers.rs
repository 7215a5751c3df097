//! Shards that a refused job is offered to.

use std::collections::BTreeMap;

use kernel::{Domain, Millis, Timestamp};
use ownership::{Candidate, MAX_OFFERS, SentWork, Shard, choose, choose_next};
use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::StdRng;
use schedule::{Gpus, JobSpec, Load, Mebibytes, MilliCores, Resources, Step};

fn home() -> Domain {
    "suva-a".parse().unwrap()
}

fn shard(domain: &str, index: u16) -> Shard {
    Shard {
        domain: domain.parse().unwrap(),
        index,
        count: 4,
    }
}

fn load(free: f64, waiting: f64) -> Load {
    Load {
        minions: 10,
        cores: 320.0,
        free,
        waiting,
        delay: Millis(0),
    }
}

fn candidate(index: u16, load: Load) -> Candidate {
    Candidate {
        shard: shard("suva-a", index),
        load,
        age: Millis(50),
    }
}

/// A job of two tasks of 8 cores and 200 ms.
fn job(objective: u64, timeout: u64) -> JobSpec {
    JobSpec {
        id: "0000000000000001".parse().unwrap(),
        queue: "small".into(),
        service: "quotes".parse().unwrap(),
        payload: "work".into(),
        steps: vec![Step {
            count: 2,
            need: Resources {
                cpu: MilliCores(8_000),
                memory: Mebibytes(64),
                gpus: Gpus(0),
            },
            estimate: Millis(200),
            after: Vec::new(),
            label: None,
            rack: None,
            spread: None,
        }],
        priority: 1,
        attempts: 2,
        objective: Millis(objective),
        timeout: Millis(timeout),
    }
}

fn rng() -> StdRng {
    StdRng::seed_from_u64(1)
}

#[test]
fn room_elsewhere() {
    // Guards against a refusal while minions of another shard are free.
    let all = vec![
        candidate(0, load(0.0, 64_000.0)),
        candidate(1, load(64.0, 0.0)),
    ];
    let next = choose_next(&job(400, 2_000), &home(), all, 1, &mut rng());
    assert_eq!(next.unwrap().shard.index, 1);
}

#[test]
fn no_hopeless_offer() {
    // Guards against offers that only cost the caller time: the queue of the only
    // other shard is longer than the job's slack.
    let all = vec![candidate(0, load(0.0, 128_000.0))];
    let next = choose_next(&job(400, 2_000), &home(), all, 1, &mut rng());
    assert_eq!(next, None);
}

#[test]
fn too_little_time() {
    // Guards against an offer when the caller leaves before the job could end.
    let all = vec![candidate(0, load(320.0, 0.0))];
    let next = choose_next(&job(400, 199), &home(), all, 1, &mut rng());
    assert_eq!(next, None);
}

#[test]
fn three_offers() {
    // Guards against jobs that are sent round all shards.
    let all = vec![candidate(0, load(320.0, 0.0))];
    let offer = |offers| choose_next(&job(400, 2_000), &home(), all.clone(), offers, &mut rng());
    assert!(offer(MAX_OFFERS - 1).is_some());
    assert_eq!(offer(MAX_OFFERS), None);
}

#[test]
fn last_needs_room() {
    // The second offer may go to a shard with a short queue, the third only to one
    // with free cores.
    let all = vec![candidate(0, load(0.0, 1_000.0))];
    let offer = |offers| choose_next(&job(400, 2_000), &home(), all.clone(), offers, &mut rng());
    assert!(offer(1).is_some());
    assert_eq!(offer(2), None);
}

#[test]
fn drawn_by_room() {
    // Guards against VMs with the same reports that all choose the same shard.
    let all = vec![
        candidate(0, load(240.0, 0.0)),
        candidate(1, load(80.0, 0.0)),
    ];
    let mut rng = rng();
    let mut counts: BTreeMap<u16, u32> = BTreeMap::new();
    for _ in 0..1_000 {
        let next = choose_next(&job(400, 2_000), &home(), all.clone(), 1, &mut rng);
        *counts.entry(next.unwrap().shard.index).or_default() += 1;
    }
    assert!((700..800).contains(&counts[&0]), "{counts:?}");
}

#[test]
fn old_reports() {
    // A report of a second ago says less about free cores than one of now.
    let old = Candidate {
        age: Millis(1_000),
        ..candidate(0, load(80.0, 0.0))
    };
    let all = vec![old, candidate(1, load(80.0, 0.0))];
    let mut rng = rng();
    let old = (0..1_000).filter(|_| {
        let next = choose_next(&job(400, 2_000), &home(), all.clone(), 1, &mut rng);
        next.unwrap().shard.index == 0
    });
    assert!(old.count() < 200);
}

#[test]
fn sent_counts() {
    // Guards against a burst that this VM sends to one shard before its next
    // report.
    let (to, reported) = (shard("suva-a", 0), Timestamp(1_000));
    let mut sent = SentWork::default();
    let first = sent.add(&to, reported, &job(400, 2_000));
    sent.add(&to, reported, &job(400, 2_000));
    assert_eq!(sent.adjust(&to, reported, load(40.0, 0.0)).free, 8.0);
    sent.remove(&to, reported, first);
    assert_eq!(sent.adjust(&to, reported, load(40.0, 0.0)).free, 24.0);
    // A later report includes the jobs, and their end.
    let later = Timestamp(2_000);
    assert_eq!(sent.adjust(&to, later, load(40.0, 0.0)).free, 40.0);
    sent.add(&to, later, &job(400, 2_000));
    sent.remove(&to, reported, first);
    assert_eq!(sent.adjust(&to, later, load(40.0, 0.0)).free, 24.0);
}

#[test]
fn home_first() {
    // With room at home a job stays there.
    let away = Candidate {
        shard: shard("suva-b", 0),
        ..candidate(0, load(320.0, 0.0))
    };
    let all = vec![candidate(1, load(32.0, 0.0)), away];
    let first = choose(&job(400, 2_000), &home(), all, &mut rng());
    assert_eq!(first.unwrap().shard, shard("suva-a", 1));
}

proptest! {
    /// Figures of any size neither panic nor lead to a shard without minions.
    #[test]
    fn any_figures(figures in prop::collection::vec((0_u32..3, 0.0..1e18, 0.0..1e18, 0.0..1e18, any::<u64>()), 0..6),
                   objective in any::<u64>(), timeout in any::<u64>(), offers in 0_usize..5) {
        let all = figures.iter().zip(0..).map(|((minions, cores, free, waiting, age), index)| Candidate {
            shard: shard("suva-a", index),
            load: Load { minions: *minions, cores: *cores, free: *free, waiting: *waiting, delay: Millis(*age) },
            age: Millis(*age),
        });
        let spec = job(objective, timeout);
        let next = choose_next(&spec, &home(), all.collect(), offers, &mut rng());
        prop_assert!(next.is_none_or(|c| c.load.minions > 0 && timeout >= 200));
    }

    /// Loads that are not finite or negative are told apart.
    #[test]
    fn invalid_loads(cores in any::<f64>(), free in any::<f64>(), waiting in any::<f64>()) {
        let load = Load { cores, free, waiting, ..Load::default() };
        let good = |f: f64| f.is_finite() && f >= 0.0;
        prop_assert_eq!(load.is_valid(), good(cores) && good(free) && good(waiting));
    }
}
