//! Tests that the summary counts each kind of violation.

use std::time::{Duration, Instant};

use replay::{Answer, Attempt, End, Submission, Summary, tally};
use standins::{Ledger, Start};

/// Builds records with times in milliseconds since the start of the test.
struct Clock(Instant);

impl Clock {
    fn at(&self, ms: u64) -> Instant {
        self.0 + Duration::from_millis(ms)
    }

    fn attempt(&self, sent: u64, end: Option<(u64, End)>) -> Attempt {
        Attempt {
            vm: "a/vm-0".parse().unwrap(),
            sent: self.at(sent),
            end: end.map(|(ms, end)| (self.at(ms), end)),
        }
    }

    fn submission(&self, attempts: Vec<Attempt>) -> Submission {
        let answer = |a: &Attempt| match a.end {
            Some((at, End::Told(answer, _))) => Some((at, answer)),
            _ => None,
        };
        Submission {
            job: "j1".into(),
            key: "k1".into(),
            ideal: Duration::from_millis(98),
            at: attempts[0].sent,
            answer: attempts.iter().filter_map(answer).next_back(),
            attempts,
            disconnected: false,
            partial: false,
            wrong: false,
        }
    }

    fn ledger(&self, starts: &[(&str, u64)]) -> Ledger {
        let ledger = Ledger::default();
        for (task, ms) in starts {
            ledger.start(Start {
                job: "k1".into(),
                task: (*task).into(),
                minion: "a/m-0".parse().unwrap(),
                incarnation: "".into(),
                at: self.at(*ms),
            });
        }
        ledger
    }
}

fn answered(answer: Answer, reason: &str) -> End {
    End::Told(answer, reason.into())
}

fn summarize(subs: &[Submission], ledger: &Ledger) -> Summary {
    tally(subs, ledger, &[])
}

#[test]
fn true_not_run() {
    let clock = Clock(Instant::now());
    let refused = clock.attempt(0, Some((10, answered(Answer::NotRun, "log_away"))));
    let later = clock.attempt(20, Some((200, answered(Answer::Complete, ""))));
    let subs = [
        clock.submission(vec![refused]),
        clock.submission(vec![later]),
    ];
    let summary = summarize(&subs, &clock.ledger(&[("0", 30)]));
    assert_eq!(
        (summary.false_not_run, summary.jobs, summary.complete),
        (0, 1, 1)
    );
    assert!(summary.passed());
}

#[test]
fn ran_before() {
    let clock = Clock(Instant::now());
    let refused = clock.attempt(0, Some((10, answered(Answer::NotRun, "log_away"))));
    let subs = [clock.submission(vec![refused])];
    assert_eq!(
        summarize(&subs, &clock.ledger(&[("0", 5)])).false_not_run,
        1
    );
}

#[test]
fn ran_later() {
    let clock = Clock(Instant::now());
    let refused = clock.attempt(0, Some((10, answered(Answer::NotRun, "log_away"))));
    let subs = [clock.submission(vec![refused])];
    let summary = summarize(&subs, &clock.ledger(&[("0", 50)]));
    assert_eq!(summary.violations(), ["false_not_run"]);
}

#[test]
fn sent_meanwhile() {
    // Guards against a violation that is counted although the promise held: no VM
    // can know of a submission that is still on its way to another VM.
    let clock = Clock(Instant::now());
    let refused = clock.attempt(0, Some((100, answered(Answer::NotRun, "log_away"))));
    let ends = [
        None,
        Some((300, End::Lost)),
        Some((300, answered(Answer::Complete, ""))),
    ];
    for end in ends {
        let other = clock.attempt(95, end);
        let subs = [
            clock.submission(vec![refused.clone()]),
            clock.submission(vec![other]),
        ];
        let count = |start| summarize(&subs, &clock.ledger(&[("0", start)])).false_not_run;
        assert_eq!((count(120), count(97)), (0, 0));
        assert_eq!(count(90), 1, "started before the other attempt was sent");
    }
}

#[test]
fn sent_before() {
    // Guards against a refusal that ignores a job which another VM has had since
    // before the refused submission.
    let clock = Clock(Instant::now());
    let other = clock.attempt(0, Some((300, answered(Answer::Complete, ""))));
    let refused = clock.attempt(10, Some((100, answered(Answer::NotRun, "log_away"))));
    let subs = [
        clock.submission(vec![other]),
        clock.submission(vec![refused]),
    ];
    let summary = summarize(&subs, &clock.ledger(&[("0", 120)]));
    assert_eq!(summary.violations(), ["false_not_run"]);
}

#[test]
fn refused_twice() {
    // Guards against two untrue refusals that excuse each other.
    let clock = Clock(Instant::now());
    let refused = |sent| {
        let end = (100, answered(Answer::NotRun, "log_away"));
        clock.submission(vec![clock.attempt(sent, Some(end))])
    };
    let subs = [refused(0), refused(10)];
    assert_eq!(
        summarize(&subs, &clock.ledger(&[("0", 120)])).false_not_run,
        2
    );
}

#[test]
fn double_start() {
    let clock = Clock(Instant::now());
    let done = clock.attempt(0, Some((100, answered(Answer::Complete, ""))));
    let subs = [clock.submission(vec![done])];
    let summary = summarize(&subs, &clock.ledger(&[("0", 1), ("1", 1), ("0", 9)]));
    assert_eq!((summary.double_starts, summary.task_starts), (1, 3));
    assert_eq!(summary.response_ratio.p50, 1.0);
}

#[test]
fn no_answer() {
    let clock = Clock(Instant::now());
    let lost = || vec![clock.attempt(0, Some((10, End::Lost)))];
    let mut gone = clock.submission(lost());
    gone.disconnected = true;
    let summary = summarize(&[clock.submission(lost()), gone], &clock.ledger(&[]));
    assert_eq!(summary.unanswered, 1);
}

#[test]
fn cut_by_stop() {
    let clock = Clock(Instant::now());
    let ends = [
        (None, 1),
        (Some((20, End::Lost)), 0),
        (Some((700, End::Lost)), 1),
        (Some((700, End::Unknown("owner_gone".into()))), 1),
        (Some((700, End::Unknown("owner_away".into()))), 0),
        (Some((15_600, End::Unknown("owner_away".into()))), 1),
        (Some((700, answered(Answer::Failed, "stopping"))), 1),
        (Some((700, answered(Answer::Failed, "task_failed"))), 0),
        (Some((700, answered(Answer::NotRun, "stopping"))), 1),
        (Some((700, answered(Answer::Complete, ""))), 0),
    ];
    let stops = [("a/vm-0".parse().unwrap(), clock.at(500))];
    for (end, expected) in ends {
        let subs = [clock.submission(vec![clock.attempt(0, end.clone())])];
        let summary = tally(&subs, &clock.ledger(&[]), &stops);
        assert_eq!(summary.cut_off, expected, "{end:?}");
    }
    let after = clock.submission(vec![clock.attempt(600, Some((700, End::Lost)))]);
    assert_eq!(tally(&[after], &clock.ledger(&[]), &stops).cut_off, 0);
}

#[test]
fn totals_named() {
    let clock = Clock(Instant::now());
    let summary = summarize(&[], &clock.ledger(&[]));
    let json: serde_json::Value = serde_json::from_str(&summary.to_string()).unwrap();
    let numbers = json
        .as_object()
        .unwrap()
        .iter()
        .filter(|(_, v)| v.is_number());
    for (name, value) in numbers {
        let known = summary.total(name);
        let meta = ["expectations", "missed"].contains(&name.as_str());
        assert!(meta || known == value.as_f64(), "{name}");
    }
}
