//! Tests of a single reader's verdicts.

mod common;

use common::{accept, apply, change, full, json, rng, sheet_of};
use kernel::{Millis, Offset};
use sheet::{
    Adopted, Base, Body, Gap, RecordFault, Refusal, Renewal, Sheet, SheetLog, SheetRecord, Verdict,
};

fn renewal(log: &SheetLog) -> String {
    json(SheetRecord::Renewal(log.renewal(Millis(5)).unwrap()))
}

#[test]
fn first_wins() {
    let rng = &mut rng(1);
    let mut log = SheetLog::new();
    let base = accept(&mut log, &full(rng, Base::Empty, 1));
    let winner = full(rng, Base::At(base), 2);
    let loser = full(rng, Base::At(base), 3);
    let version = accept(&mut log, &winner);
    let Verdict::Refused(Refusal::Stale(conflict)) = apply(&mut log, &loser) else {
        panic!("stale");
    };
    assert_eq!(conflict.version, Some(version));
    assert_eq!(conflict.winner, Some(winner.id));
    assert_eq!(conflict.diff.rows[0].to_string(), "team,t1,*: 2 -> 3");
    assert_eq!(conflict.diff.total, 1);
    assert_eq!(log.held().unwrap().sheet.as_ref(), &sheet_of(2));
    let shown = log
        .outcome(loser.id)
        .unwrap()
        .refusal
        .clone()
        .unwrap()
        .to_string();
    assert_eq!(
        shown,
        "stale base: beaten by op1's change at offset 1, 1 rows differ"
    );
}

#[test]
fn delta_body() {
    let rng = &mut rng(2);
    let mut log = SheetLog::new();
    let base = accept(&mut log, &full(rng, Base::Empty, 1));
    let text = "what,name,where,amount\nteam,t1,*,4\n";
    let wanted = Sheet::parse(text).unwrap();
    let body = Body::Delta {
        set: wanted.cells(),
        drop: vec![["team".into(), "t2".into(), "*".into()]],
    };
    accept(&mut log, &change(rng, Base::At(base), body.clone()));
    assert_eq!(log.held().unwrap().sheet.as_ref(), &wanted);
    let Verdict::Refused(Refusal::Stale(conflict)) =
        apply(&mut log, &change(rng, Base::At(base), body))
    else {
        panic!("stale");
    };
    assert!(conflict.diff.is_empty());
}

#[test]
fn bad_rows() {
    let rng = &mut rng(3);
    let mut log = SheetLog::new();
    let cells = ["team", "t1", "*", "-1"].map(Into::into);
    let bad = change(rng, Base::Empty, Body::Full(vec![cells]));
    assert!(matches!(
        apply(&mut log, &bad),
        Verdict::Refused(Refusal::BadRows(_))
    ));
    assert_eq!(log.held(), None);
    assert!(log.outcome(bad.id).is_some());
}

#[test]
fn bad_records() {
    let rng = &mut rng(4);
    let mut log = SheetLog::new();
    assert_eq!(
        log.apply(Offset(0), "{}"),
        Verdict::BadRecord(RecordFault::Json)
    );
    let ahead = full(rng, Base::At(Offset(9)), 1);
    let fault = RecordFault::Ahead { offset: Offset(9) };
    assert_eq!(apply(&mut log, &ahead), Verdict::BadRecord(fault));
    let delta = Body::Delta {
        set: vec![],
        drop: vec![],
    };
    let baseless = change(rng, Base::Before(Offset(1)), delta);
    assert_eq!(
        apply(&mut log, &baseless),
        Verdict::BadRecord(RecordFault::Baseless)
    );
    assert_eq!(log.counters().bad_records, 3);
    assert_eq!(log.next(), Offset(3));
}

#[test]
fn lost_answer() {
    let rng = &mut rng(5);
    let mut log = SheetLog::new();
    let first = full(rng, Base::Empty, 1);
    let offset = accept(&mut log, &first);
    // The publisher didn't get the answer and appended the change again.
    assert!(matches!(apply(&mut log, &first), Verdict::Refused(_)));
    let outcome = log.outcome(first.id).unwrap();
    assert_eq!((outcome.offset, &outcome.refusal), (offset, &None));
}

#[test]
fn trimmed_start() {
    let rng = &mut rng(6);
    let mut old = SheetLog::new();
    let v0 = accept(&mut old, &full(rng, Base::Empty, 1));
    let stale = renewal(&old);
    let v1 = accept(&mut old, &full(rng, Base::At(v0), 2));
    old.apply(old.next(), &stale);

    // A new reader only gets the renewal, which holds the sheet from before the
    // second change: it must not put that sheet in force.
    let mut new = SheetLog::new();
    let gap = Gap {
        expected: Offset(0),
        found: Offset(2),
    };
    assert_eq!(new.apply(Offset(2), &stale), Verdict::Gap(gap));
    assert_eq!(new.apply(Offset(2), &stale), Verdict::Waiting);
    assert_eq!(new.held(), None);
    assert!(new.snapshot().is_none());

    let change = full(rng, Base::At(v1), 3);
    let v2 = accept(&mut old, &change);
    assert_eq!(apply(&mut new, &change), Verdict::Waiting);
    let again = renewal(&old);
    assert_eq!(old.apply(old.next(), &again), Verdict::Renewed);
    assert_eq!(new.apply(new.next(), &again), Verdict::Settled);
    assert_eq!(new.held(), old.held());
    assert_eq!(new.version(), Some(v2));
    assert_eq!(new.outcome(change.id), old.outcome(change.id));
}

#[test]
fn renewal_race() {
    let rng = &mut rng(7);
    let mut old = SheetLog::new();
    let v0 = accept(&mut old, &full(rng, Base::Empty, 1));
    let raced = renewal(&old);
    let change = full(rng, Base::At(v0), 2);
    accept(&mut old, &change);
    old.apply(old.next(), &raced);

    // For a reader that starts at the change, the renewal gives the sheet before
    // the change, and the change is decided against that sheet.
    let mut new = SheetLog::new();
    new.skip_trimmed(Offset(1));
    assert_eq!(apply(&mut new, &change), Verdict::Waiting);
    assert_eq!(new.apply(Offset(2), &raced), Verdict::Settled);
    assert_eq!(new.held(), old.held());
}

#[test]
fn expired_unread() {
    let rng = &mut rng(8);
    let mut log = SheetLog::new();
    let v0 = accept(&mut log, &full(rng, Base::Empty, 1));
    let mut peer = log.clone();
    for amount in 2..6 {
        let base = Base::At(peer.version().unwrap());
        accept(&mut peer, &full(rng, base, amount));
    }
    assert!(log.skip_trimmed(Offset(4)).is_some());
    assert_eq!(log.version(), Some(v0));
    assert!(!log.is_settled());
    assert_eq!(log.adopt(peer.snapshot().unwrap()), Adopted::Settled);
    assert_eq!(log.held(), peer.held());
    assert_eq!(log.next(), peer.next());
    assert_eq!(log.adopt(peer.snapshot().unwrap()), Adopted::Behind);
}

#[test]
fn snapshot_codec() {
    let rng = &mut rng(15);
    let mut log = SheetLog::new();
    let v0 = accept(&mut log, &full(rng, Base::Empty, 1));
    accept(&mut log, &full(rng, Base::At(v0), 2));
    apply(&mut log, &full(rng, Base::At(v0), 3));
    let snapshot = log.snapshot().unwrap();
    let bytes = rmp_serde::to_vec(&snapshot).unwrap();
    let read: sheet::Snapshot = rmp_serde::from_slice(&bytes).unwrap();
    assert_eq!(read, snapshot);
    let mut new = SheetLog::new();
    new.skip_trimmed(Offset(1));
    assert_eq!(new.adopt(read), Adopted::Settled);
    assert_eq!(new.held(), log.held());
}

#[test]
fn sheet_only() {
    let rng = &mut rng(9);
    let mut peer = SheetLog::new();
    let v0 = accept(&mut peer, &full(rng, Base::Empty, 1));
    let snapshot = peer.snapshot().unwrap();
    let mut log = SheetLog::new();
    log.skip_trimmed(Offset(7));
    assert_eq!(log.adopt(snapshot), Adopted::SheetOnly);
    assert_eq!(log.version(), Some(v0));
    assert!(!log.is_settled());
}

#[test]
fn forked_peer() {
    let rng = &mut rng(10);
    let mut log = SheetLog::new();
    accept(&mut log, &full(rng, Base::Empty, 1));
    let mut other = SheetLog::new();
    accept(&mut other, &full(rng, Base::Empty, 2));
    other.apply(Offset(1), "x");
    assert_eq!(log.adopt(other.snapshot().unwrap()), Adopted::Contradicts);
    assert_eq!(log.counters().forks, 1);
    let mut empty = SheetLog::new();
    for _ in 0..3 {
        empty.apply(empty.next(), "x");
    }
    assert_eq!(log.adopt(empty.snapshot().unwrap()), Adopted::Contradicts);
    assert_eq!(log.counters().reverts, 1);
    assert_eq!(log.version(), Some(Offset(0)));
}

#[test]
fn sheet_lost() {
    let rng = &mut rng(11);
    // No VM knows the sheet, and the log's older records have expired.
    let mut reader_1 = SheetLog::new();
    reader_1.skip_trimmed(Offset(50));
    let mut reader_2 = reader_1.clone();
    reader_2.skip_trimmed(Offset(51));
    let plain = full(rng, Base::Empty, 1);
    assert_eq!(apply(&mut reader_1, &plain), Verdict::Waiting);
    let replace = full(rng, Base::Before(Offset(51)), 2);
    assert_eq!(apply(&mut reader_1, &replace), Verdict::Settled);
    assert_eq!(apply(&mut reader_2, &replace), Verdict::Settled);
    assert_eq!(reader_1.held(), reader_2.held());
    assert_eq!(reader_1.version(), Some(Offset(51)));
    // The same record again is stale, as its first copy is in force.
    assert!(matches!(
        apply(&mut reader_1, &replace),
        Verdict::Refused(_)
    ));
    assert!(reader_1.outcome(replace.id).unwrap().refusal.is_none());
}

#[test]
fn stale_replacement() {
    let rng = &mut rng(12);
    let mut log = SheetLog::new();
    let v0 = accept(&mut log, &full(rng, Base::Empty, 1));
    let replace = full(rng, Base::Before(log.next()), 9);
    let mut waiting = SheetLog::new();
    waiting.skip_trimmed(Offset(1));
    let change = full(rng, Base::At(v0), 2);
    accept(&mut log, &change);
    apply(&mut waiting, &change);
    assert!(matches!(apply(&mut log, &replace), Verdict::Refused(_)));
    assert_eq!(apply(&mut waiting, &replace), Verdict::Waiting);
}

#[test]
fn wrong_renewal() {
    let rng = &mut rng(13);
    let mut log = SheetLog::new();
    accept(&mut log, &full(rng, Base::Empty, 1));
    let mut wrong: Renewal = log.renewal(Millis(5)).unwrap();
    wrong.held.sheet = sheet_of(7).into();
    log.apply(log.next(), &json(SheetRecord::Renewal(wrong)));
    assert_eq!(log.counters().forks, 1);
    assert_eq!(log.held().unwrap().sheet.as_ref(), &sheet_of(1));
}

#[test]
fn waiting_bound() {
    let rng = &mut rng(14);
    let mut log = SheetLog::new();
    log.skip_trimmed(Offset(10));
    let mut peer = SheetLog::new();
    accept(&mut peer, &full(rng, Base::Empty, 1));
    let early_renewal = {
        let mut r = peer.renewal(Millis(5)).unwrap();
        r.read_to = Offset(10);
        json(SheetRecord::Renewal(r))
    };
    let filler = json(SheetRecord::Change(full(rng, Base::At(Offset(3)), 1)));
    for _ in 0..=sheet::MAX_WAITING {
        log.apply(log.next(), &filler);
    }
    // The renewal's `read_to` lies before the records that are still kept.
    assert_eq!(log.apply(log.next(), &early_renewal), Verdict::Waiting);
}
