//! Tests of when a renewal is due.

mod common;

use common::{accept, full, json, rng};
use kernel::{Millis, Offset, Timestamp};
use sheet::{Base, LogExtent, RenewalRule, SheetLog, SheetRecord};

const RETENTION: Millis = Millis(3_600_000);

fn log_with_sheet() -> SheetLog {
    let mut log = SheetLog::new();
    accept(&mut log, &full(&mut rng(1), Base::Empty, 1));
    log
}

fn at(seconds: u64) -> Timestamp {
    Timestamp(seconds * 1_000_000)
}

fn untrimmed(log: &SheetLog) -> LogExtent {
    LogExtent {
        first: Offset(0),
        end: log.next(),
    }
}

#[test]
fn due_by_age() {
    let log = log_with_sheet();
    let mut rule = RenewalRule::new(RETENTION);
    let extent = untrimmed(&log);
    let mut due = |s, rank| rule.is_due(at(s), Millis(0), &log, extent, rank);
    assert!(!due(0, 0));
    assert!(!due(1200, 0));
    assert!(due(1206, 0));
    assert!(!due(1206, 3));
    assert!(due(1236, 3));
}

#[test]
fn late_starter() {
    let log = log_with_sheet();
    let mut rule = RenewalRule::new(RETENTION);
    let extent = untrimmed(&log);
    let wall = Millis(1000 + 3_000_000);
    assert!(!rule.is_due(at(0), wall, &log, extent, 0));
    assert!(rule.is_due(at(60), wall, &log, extent, 0));
}

#[test]
fn old_anchor() {
    let log = log_with_sheet();
    let mut rule = RenewalRule::new(RETENTION);
    let extent = LogExtent {
        first: Offset(1),
        end: Offset(5),
    };
    assert!(!rule.is_due(at(0), Millis(0), &log, extent, 0));
    assert!(rule.is_due(at(6), Millis(0), &log, extent, 0));
}

#[test]
fn after_renewal() {
    let mut log = log_with_sheet();
    let mut rule = RenewalRule::new(RETENTION);
    let extent = untrimmed(&log);
    rule.is_due(at(0), Millis(0), &log, extent, 0);
    assert!(rule.is_due(at(2000), Millis(0), &log, extent, 0));
    let renewal = log.renewal(Millis(2_000_000)).unwrap();
    log.apply(log.next(), &json(SheetRecord::Renewal(renewal)));
    assert!(!rule.is_due(at(2010), Millis(2_010_000), &log, untrimmed(&log), 0));
    assert_eq!(log.anchor().offset, Offset(1));
}

#[test]
fn no_sheet_held() {
    let log = SheetLog::new();
    let mut rule = RenewalRule::new(RETENTION);
    let extent = untrimmed(&log);
    rule.is_due(at(0), Millis(0), &log, extent, 0);
    assert!(!rule.is_due(at(9999), Millis(0), &log, extent, 0));
}
