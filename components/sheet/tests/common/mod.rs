//! Builders that several test files share.
#![allow(dead_code)]

use kernel::{Millis, Offset};
use rand::Rng;
use rand_xoshiro::Xoshiro256PlusPlus;
use rand_xoshiro::rand_core::SeedableRng;
use sheet::{Base, Body, Change, ChangeId, Sheet, SheetLog, SheetRecord, Verdict};

pub type Dice = Xoshiro256PlusPlus;

pub fn dice(seed: u64) -> Dice {
    Dice::seed_from_u64(seed)
}

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

pub fn full(rng: &mut impl Rng, base: Base, amount: u32) -> Change {
    change(rng, base, Body::Full(sheet_of(amount).cells()))
}

pub fn text(record: SheetRecord) -> String {
    record.to_json().unwrap()
}

/// Feeds a change to a reader at its next offset.
pub fn feed(log: &mut SheetLog, change: &Change) -> Verdict {
    let record = text(SheetRecord::Change(change.clone()));
    log.apply(log.next(), &record)
}

/// Feeds a change and answers its offset.
pub fn accept(log: &mut SheetLog, change: &Change) -> Offset {
    let offset = log.next();
    assert_eq!(feed(log, change), Verdict::InForce);
    offset
}
