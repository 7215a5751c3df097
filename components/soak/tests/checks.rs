//! Tests that each violation that a run checks for is found.

use kernel::{
    Fence, Gpus, LeaseTime, Mebibytes, MilliCores, Millis, MinionId, RunNumber, Sequence,
};
use platform_standin::{Answer, Job};
use schedule::{MinionInfo, Resources, StartOrder, TaskName};
use soak::{Attempt, Evacuation, Record, Violation, check, check_evacuations};
use standins::{LeasedFleet, MinionViolation, Work};

const NUMBER: &str = "00000000000000ab";

fn work() -> Work {
    Work::new(14, Millis(0))
}

fn minion(name: &str) -> MinionInfo {
    MinionInfo {
        id: name.parse().unwrap(),
        addr: "127.0.0.1:1".parse().unwrap(),
        domain: "d0".parse().unwrap(),
        service: "quotes".parse().unwrap(),
        capacity: Resources {
            cpu: MilliCores(32_000),
            memory: Mebibytes(131_072),
            gpus: Gpus(0),
        },
        labels: Vec::new(),
        draining: false,
        born: 1,
        sequence: Sequence(0),
        kind: "a".into(),
    }
}

fn fleet() -> LeasedFleet {
    LeasedFleet::new([minion("m-0"), minion("m-1")])
}

/// Starts a task of the job on a minion, without any caller.
fn start(fleet: &LeasedFleet, on: &str, index: u16, work: Work) {
    let order = StartOrder {
        minion: on.parse::<MinionId>().unwrap(),
        addr: "127.0.0.1:1".parse().unwrap(),
        fence: Fence(1),
        task: TaskName::new(&NUMBER.parse().unwrap(), 0, index),
        run: RunNumber(1),
        payload: work.to_string().into(),
        lease: LeaseTime(u64::MAX),
    };
    fleet.start(&order).unwrap();
}

fn attempt(answer: Answer, sent: u64) -> Attempt {
    Attempt {
        vm: 0,
        incarnation: 1,
        sent,
        ended: sent + 10,
        answer: Some(answer),
    }
}

fn record(version: Option<u64>, attempts: Vec<Attempt>) -> Record {
    Record {
        job: Job {
            id: NUMBER.parse().unwrap(),
            tasks: 2,
            work: work(),
            estimate: Millis(10),
            timeout: Millis(1_500),
        },
        version,
        attempts,
        open: false,
    }
}

/// Checks one job that got one answer, long after all runs have ended.
fn check_one(fleet: &LeasedFleet, answer: Answer) -> Vec<Violation> {
    let record = record(None, vec![attempt(answer, 1 << 40)]);
    check(&[record], fleet, &[])
}

#[test]
fn complete_answer() {
    let fleet = fleet();
    start(&fleet, "m-0", 0, work());
    start(&fleet, "m-1", 1, work());
    assert_eq!(check_one(&fleet, Answer::Completed), []);
}

#[test]
fn incomplete_answer() {
    let fleet = fleet();
    start(&fleet, "m-0", 0, work());
    let id = NUMBER.parse().unwrap();
    assert_eq!(
        check_one(&fleet, Answer::Completed),
        [Violation::Incomplete(id)]
    );
}

#[test]
fn untrue_refusal() {
    let fleet = fleet();
    start(&fleet, "m-0", 0, work());
    let id: schedule::JobId = NUMBER.parse().unwrap();
    let ran = Violation::Ran(id.clone(), TaskName::new(&id, 0, 0));
    assert_eq!(check_one(&fleet, Answer::Refused(None)), [ran]);
    // An earlier attempt without an answer may have run.
    let attempts = vec![
        attempt(Answer::Broken, 1 << 40),
        attempt(Answer::Refused(None), 1 << 41),
    ];
    assert_eq!(check(&[record(None, attempts)], &fleet, &[]), []);
}

#[test]
fn untrue_failure() {
    let fleet = fleet();
    start(&fleet, "m-0", 0, work());
    let id = NUMBER.parse().unwrap();
    assert_eq!(
        check_one(&fleet, Answer::Failed),
        [Violation::NotFailed(id)]
    );
}

#[test]
fn unasked_task() {
    let fleet = fleet();
    start(&fleet, "m-0", 0, work());
    let task = TaskName::new(&NUMBER.parse().unwrap(), 0, 0);
    assert_eq!(check(&[], &fleet, &[]), [Violation::Unasked(task)]);
}

#[test]
fn altered_work() {
    let fleet = fleet();
    let altered = Work::new(14, Millis(1));
    start(&fleet, "m-0", 0, altered);
    let task = TaskName::new(&NUMBER.parse().unwrap(), 0, 0);
    assert_eq!(
        check_one(&fleet, Answer::Broken),
        [Violation::Unasked(task)]
    );
}

#[test]
fn running_twice() {
    let fleet = fleet();
    let long = Work::new(14, Millis(60_000));
    start(&fleet, "m-0", 0, long);
    start(&fleet, "m-1", 0, long);
    let violations = fleet.violations();
    assert!(
        matches!(violations[..], [MinionViolation::RunsTwice { .. }]),
        "{violations:?}"
    );
}

#[test]
fn overfull_minion() {
    let fleet = fleet();
    let long = Work::new(14, Millis(60_000));
    for index in 0..3 {
        start(&fleet, "m-0", index, long);
    }
    let violations = fleet.violations();
    assert!(
        matches!(violations[..], [MinionViolation::Overfull { .. }]),
        "{violations:?}"
    );
}

/// Fails if a late start in an evacuated domain is not found, or one is reported
/// that was within the bound, after the end, in another domain, or while a VM may
/// have been out of touch.
#[test]
fn evacuated_domain() {
    let fleet = fleet();
    start(&fleet, "m-0", 0, work());
    let at = 20_000;
    let mut starts = fleet.starts();
    starts[0].at = at;
    let evacuation = |domain: &str, begun: u64, ended: Option<u64>| Evacuation {
        domain: domain.parse().unwrap(),
        begun,
        ended,
    };
    let found = |evacuation: Evacuation, disturbed: &[(u64, u64)]| {
        check_evacuations(&fleet.infos(), &starts, &[evacuation], disturbed).len()
    };
    let late = at - 5_000;
    assert_eq!(found(evacuation("d0", late, None), &[]), 1);
    assert_eq!(found(evacuation("d0", late, Some(at + 1)), &[]), 1);
    assert_eq!(found(evacuation("d0", late + 1, None), &[]), 0);
    assert_eq!(found(evacuation("d0", late, Some(at)), &[]), 0);
    assert_eq!(found(evacuation("d1", late, None), &[]), 0);
    let disturbed = [(at - 5_000, at - 4_001), (at + 1, at + 10)];
    assert_eq!(found(evacuation("d0", late, None), &disturbed), 1);
    let disturbed = [(at - 5_000, at - 4_000)];
    assert_eq!(found(evacuation("d0", late, None), &disturbed), 0);
}

#[test]
fn older_version() {
    let fleet = fleet();
    let versions = [(1, 0), (4, 100)];
    let unknown = record(Some(4), vec![attempt(Answer::NoQueue, 120)]);
    let served = |version, sent| {
        let mut record = record(Some(version), vec![attempt(Answer::Failed, sent)]);
        record.job.tasks = 0;
        record
    };
    let regressions = |records: &[Record]| {
        let violations = check(records, &fleet, &versions);
        let regressed = |f: &&Violation| matches!(f, Violation::Regressed(0, 4));
        violations.iter().filter(regressed).count()
    };
    // The version comes into force between the attempts.
    assert_eq!(regressions(&[unknown.clone(), served(4, 200)]), 0);
    // The version was in force, and then no longer.
    assert_eq!(regressions(&[served(4, 100), unknown.clone()]), 1);
    assert_eq!(regressions(&[served(4, 100), served(1, 120)]), 1);
    // The second attempt was sent before the first one had ended.
    assert_eq!(regressions(&[served(4, 100), served(1, 105)]), 0);
}
