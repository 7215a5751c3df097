//! The queue is fair between teams and loses no task.

use std::collections::BTreeSet;

use kernel::{JobKey, Team, Timestamp};
use limits::{JobOrder, Queue, Refusal, Waiting};
use proptest::prelude::*;

fn team(i: usize) -> Team {
    format!("team-{i}").parse().unwrap()
}

fn key(i: usize) -> JobKey {
    format!("job-{i}").parse().unwrap()
}

fn entry<T>(at: usize, job: usize, arrival: u64, left: usize, item: T) -> Waiting<T> {
    let job = JobOrder {
        key: key(job),
        arrival: Timestamp(arrival * 1000),
        tasks_left: left,
        deadline: Timestamp(arrival * 1000 + 10_000_000),
    };
    Waiting {
        team: team(at),
        job,
        item,
    }
}

fn add(queue: &mut Queue<usize>, at: usize, job: usize, arrival: u64, tasks: usize) {
    for _ in 0..tasks {
        queue.push(entry(at, job, arrival, tasks, job)).unwrap();
    }
}

fn pop(queue: &mut Queue<usize>) -> Option<usize> {
    queue.pop(Timestamp(0), |_| true)
}

#[test]
fn small_job_first() {
    let mut queue = Queue::new(1000);
    add(&mut queue, 0, 1, 0, 140);
    add(&mut queue, 0, 2, 100, 1);
    assert_eq!(pop(&mut queue), Some(2));
}

#[test]
fn large_job_waits() {
    let mut queue = Queue::new(1000);
    add(&mut queue, 0, 1, 0, 140);
    add(&mut queue, 0, 2, 5000, 1);
    assert_eq!(pop(&mut queue), Some(1));
}

#[test]
fn started_job_first() {
    let mut queue = Queue::new(1000);
    add(&mut queue, 0, 1, 0, 3);
    assert_eq!(pop(&mut queue), Some(1));
    assert_eq!(pop(&mut queue), Some(1));
    add(&mut queue, 0, 2, 10, 2);
    assert_eq!(pop(&mut queue), Some(1));
}

#[test]
fn teams_alternate() {
    let mut queue = Queue::new(1000);
    add(&mut queue, 0, 1, 0, 100);
    add(&mut queue, 1, 2, 1000, 10);
    let first: Vec<_> = (0..20).filter_map(|_| pop(&mut queue)).collect();
    assert_eq!(first.iter().filter(|j| **j == 2).count(), 10);
}

#[test]
fn blocked_team() {
    let mut queue = Queue::new(1000);
    add(&mut queue, 0, 1, 0, 200);
    add(&mut queue, 1, 2, 0, 400);
    for _ in 0..200 {
        let got = queue.pop(Timestamp(0), |t| *t == team(1));
        assert_eq!(got, Some(2));
    }
    let next: Vec<_> = (0..60).filter_map(|_| pop(&mut queue)).collect();
    let other = next.iter().filter(|j| **j == 2).count();
    assert!(
        other >= 20,
        "the team that was held back catches up by a few turns only"
    );
}

#[test]
fn full_queue() {
    let mut queue = Queue::new(2);
    add(&mut queue, 0, 1, 0, 2);
    assert_eq!(queue.push(entry(0, 2, 0, 1, 2)), Err(Refusal::Full));
    assert_eq!(queue.cancel(&key(1)), vec![1, 1]);
    assert!(queue.push(entry(0, 2, 0, 1, 2)).is_ok());
}

#[test]
fn past_deadline() {
    let mut queue = Queue::new(10);
    add(&mut queue, 0, 1, 0, 2);
    add(&mut queue, 0, 2, 5000, 1);
    let late = Timestamp(12_000_000);
    assert_eq!(queue.next_expiry(), Some(Timestamp(10_000_000)));
    assert_eq!(queue.pop(late, |_| true), Some(2));
    assert_eq!(queue.expire(late), vec![1, 1]);
    assert!(queue.is_empty());
    assert_eq!(queue.teams(), 0);
}

proptest! {
    /// Every task pushed is returned once, by pop, cancel or expire.
    #[test]
    fn nothing_lost(steps in prop::collection::vec((0..5u8, 0..4usize, 0..6usize, 1..20usize), 1..200)) {
        let mut queue = Queue::new(300);
        let mut inside = BTreeSet::new();
        let mut next = 0;
        for (now, (action, t, j, tasks)) in steps.into_iter().enumerate() {
            let now = now as u64 * 500;
            let time = Timestamp(now * 1000);
            // A job belongs to one team.
            let job = t * 6 + j;
            match action {
                0 | 1 => for _ in 0..tasks {
                    if queue.push(entry(t, job, now, tasks, next)).is_ok() {
                        inside.insert(next);
                    }
                    next += 1;
                },
                2 => if let Some(item) = queue.pop(time, |u| *u != team(0)) {
                    prop_assert!(inside.remove(&item));
                },
                3 => for item in queue.cancel(&key(job)) {
                    prop_assert!(inside.remove(&item));
                },
                _ => for item in queue.expire(time) {
                    prop_assert!(inside.remove(&item));
                },
            }
            prop_assert_eq!(queue.len(), inside.len());
        }
        for item in queue.expire(Timestamp(u64::MAX)) {
            prop_assert!(inside.remove(&item));
        }
        prop_assert!(inside.is_empty() && queue.teams() == 0);
    }

    /// While all teams have waiting tasks, they start equally many.
    #[test]
    fn no_team_starves(sizes in prop::collection::vec(20..100usize, 2..8)) {
        let mut queue = Queue::new(10_000);
        for (t, &size) in sizes.iter().enumerate() {
            add(&mut queue, t, t, 0, size);
        }
        let mut started = vec![0; sizes.len()];
        for _ in 0..20 * sizes.len() {
            started[pop(&mut queue).unwrap()] += 1;
        }
        prop_assert!(started.iter().all(|&n| n == 20));
    }
}

proptest! {
    /// The number of tasks by team equals that of the waiting tasks.
    #[test]
    fn counts_by_team(
        ops in prop::collection::vec((0..4usize, 0..3usize, 0..6usize, 1..5usize), 1..60),
    ) {
        let mut queue = Queue::new(1000);
        let mut counts = [0usize; 3];
        for (op, at, job, tasks) in ops {
            // A job belongs to one team.
            let job = job * 3 + at;
            match op {
                0 | 1 => {
                    add(&mut queue, at, job, 0, tasks);
                    counts[at] += tasks;
                }
                2 => counts[at] -= queue.cancel(&key(job)).len(),
                _ => {
                    if let Some(job) = pop(&mut queue) {
                        counts[job % 3] -= 1;
                    }
                }
            }
            let total: usize = queue.by_team().map(|(_, n)| n).sum();
            prop_assert_eq!(total, queue.len());
            for (i, count) in counts.iter().enumerate() {
                let mut teams = queue.by_team();
                let reported = teams.find(|(t, _)| **t == team(i)).map_or(0, |(_, n)| n);
                prop_assert_eq!(reported, *count);
            }
        }
    }
}
