//! The table holds one job per key, and bounds the kept outcomes.

use std::sync::Arc;

use bytes::Bytes;
use jobs::{EnterResult, JobTable, Outcome, Reason, TableLimits, TaskAnswer};
use kernel::{JobKey, Timestamp};

fn table(kept_bytes: usize) -> JobTable<u32> {
    JobTable::new(TableLimits { kept_bytes })
}

fn key(n: u32) -> JobKey {
    format!("job-{n}").parse().unwrap()
}

fn outcome(size: usize) -> Arc<Outcome> {
    Arc::new(Outcome::Complete(vec![TaskAnswer {
        id: "0".parse().unwrap(),
        body: Bytes::from(vec![0; size]),
    }]))
}

#[test]
fn started_once() {
    let table = table(1 << 20);
    let new = table.enter(&key(1), || Ok::<_, ()>(7));
    assert!(matches!(new, EnterResult::New(n) if *n == 7));
    let again = table.enter(&key(1), || -> Result<u32, ()> {
        panic!("permit called twice")
    });
    assert!(matches!(again, EnterResult::Running(n) if *n == 7));
}

#[test]
fn outcome_kept() {
    let table = table(1 << 20);
    table.enter(&key(1), || Ok::<_, ()>(7));
    table.finish(&key(1), outcome(10), Timestamp(0));
    let again = table.enter(&key(1), || -> Result<u32, ()> {
        panic!("job started again")
    });
    assert!(matches!(again, EnterResult::Done(o) if o == outcome(10)));
}

#[test]
fn withdrawn_key_reusable() {
    let table = table(1 << 20);
    table.enter(&key(1), || Ok::<_, ()>(7));
    let mut undone = false;
    table.withdraw(&key(1), || undone = true);
    assert!(undone);
    let again = table.enter(&key(1), || Ok::<_, ()>(8));
    assert!(matches!(again, EnterResult::New(n) if *n == 8));
}

#[test]
fn memory_bounded() {
    let table = table(256 << 10);
    for n in 0..2000 {
        table.enter(&key(n), || Ok::<_, ()>(n));
        table.finish(&key(n), outcome(1000), Timestamp(0));
    }
    let (running, kept, bytes) = table.sizes();
    assert_eq!(running, 0);
    assert!(bytes <= 256 << 10, "{bytes}");
    assert!(kept > 100, "{kept}");
    assert!(table.find(&key(0)).is_none());
}

#[test]
fn conflicting_outcome() {
    let (table, key) = (table(1 << 20), key(1));
    let now = Timestamp(0);
    let failed = Arc::new(Outcome::may_have_run(Reason::Deadline));
    table.finish(&key, failed.clone(), now);
    table.finish(&key, failed.clone(), now);
    assert_eq!(table.conflicts(), 0);
    table.finish(&key, Arc::new(Outcome::Complete(Vec::new())), now);
    assert_eq!(table.conflicts(), 1);
    assert_eq!(table.find(&key), Some(Err(failed)));
}
