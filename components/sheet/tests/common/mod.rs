//! Builders shared by several test files.
#![allow(dead_code)]

use kernel::{Millis, Offset};
use rand::Rng;
use rand_xoshiro::Xoshiro256PlusPlus;
use rand_xoshiro::rand_core::SeedableRng;
use sheet::{Base, Body, Change, ChangeId, Sheet, SheetLog, SheetRecord, Verdict};

pub type TestRng = Xoshiro256PlusPlus;

pub fn rng(seed: u64) -> TestRng {
    TestRng::seed_from_u64(seed)
}

/// Returns a sheet that gives team t1 this amount.
pub fn sheet_of(amount: u32) -> Sheet {
    let text = format!("what,name,where,amount\nteam,t1,*,{amount}\nteam,t2,*,1\n");
    Sheet::parse(&text).unwrap()
}

pub fn change(rng: &mut impl Rng, base: Base, body: Body) -> Change {
    Change {
        id: ChangeId::draw(rng),
        by: "op1".parse().unwrap(),
        base,
        at: Millis(1000),
        body,
    }
}

/// Returns a change to the sheet with this amount.
pub fn full(rng: &mut impl Rng, base: Base, amount: u32) -> Change {
    change(rng, base, Body::Full(sheet_of(amount).cells()))
}

pub fn json(record: SheetRecord) -> String {
    record.to_json().unwrap()
}

/// Applies a change to a reader at its next offset.
pub fn apply(log: &mut SheetLog, change: &Change) -> Verdict {
    let record = json(SheetRecord::Change(change.clone()));
    log.apply(log.next(), &record)
}

/// Applies a change, asserts that it comes into force and returns its offset.
pub fn accept(log: &mut SheetLog, change: &Change) -> Offset {
    let offset = log.next();
    assert_eq!(apply(log, change), Verdict::InForce);
    offset
}
