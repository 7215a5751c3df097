//! Many readers of one log, whatever they start from, agree.

mod common;

use std::collections::BTreeMap;

use common::{Dice, dice, sheet_of, text};
use kernel::{Millis, Offset};
use rand::Rng;
use sheet::{Base, Body, Change, ChangeId, Held, Refusal, SheetLog, SheetRecord, Verdict};

/// The platform's log, and what a reader of all of it knows.
struct World {
    /// Every record ever appended.
    records: Vec<String>,
    /// The oldest offset still kept.
    first: u64,
    /// The reader that misses nothing.
    truth: SheetLog,
    /// The sheet in force before each offset.
    states: Vec<Option<Held>>,
    /// The truth's verdicts on each change.
    verdicts: BTreeMap<ChangeId, Option<Refusal>>,
    /// The other readers.
    readers: Vec<SheetLog>,
    /// Randomness.
    rng: Dice,
}

impl World {
    fn new(seed: u64) -> World {
        World {
            records: Vec::new(),
            first: 0,
            truth: SheetLog::new(),
            states: vec![None],
            verdicts: BTreeMap::new(),
            readers: vec![SheetLog::new(); 6],
            rng: dice(seed),
        }
    }

    fn append(&mut self, record: String) {
        let offset = Offset(self.records.len() as u64);
        self.truth.apply(offset, &record);
        if let Ok(SheetRecord::Change(c)) = SheetRecord::from_json(offset, &record) {
            let refusal = self.truth.judged(c.id).unwrap().refusal.clone();
            self.verdicts.insert(c.id, refusal);
        }
        self.records.push(record);
        self.states.push(self.truth.held().cloned());
    }

    fn publish(&mut self, at: usize) {
        let reader = &self.readers[at];
        let wanted = sheet_of(self.rng.random_range(0..1000));
        let held = reader.held();
        let (base, body) = match (held, self.rng.random_range(0..20)) {
            (_, 0) => (Base::Before(reader.next()), Body::Full(wanted.cells())),
            (None, _) => (Base::Empty, Body::Full(wanted.cells())),
            (Some(h), _) => (Base::At(h.version), Body::against(Some(&h.sheet), &wanted)),
        };
        let change = Change {
            id: ChangeId::draw(&mut self.rng),
            by: "op1".parse().unwrap(),
            base,
            at: Millis(1),
            body,
        };
        let record = text(SheetRecord::Change(change));
        // The answer may be lost and the change appended again.
        if self.rng.random_range(0..5) == 0 {
            self.append(record.clone());
        }
        self.append(record);
    }

    fn renew(&mut self, at: usize) {
        if let Some(renewal) = self.readers[at].renewal(Millis(1)) {
            self.append(text(SheetRecord::Renewal(renewal)));
        }
    }

    fn read(&mut self, at: usize) {
        let reader = &mut self.readers[at];
        reader.trimmed(Offset(self.first));
        let some = self.rng.random_range(0..6);
        let from = reader.next().0 as usize;
        for (i, record) in self.records.iter().enumerate().skip(from).take(some) {
            let verdict = reader.apply(Offset(i as u64), record);
            assert!(!matches!(verdict, Verdict::Gap(_) | Verdict::Repeated));
        }
    }

    fn step(&mut self) {
        let at = self.rng.random_range(0..self.readers.len());
        let before = self.readers[at].version();
        match self.rng.random_range(0..100) {
            0..15 => self.publish(at),
            15..22 => self.renew(at),
            22..24 => self.append("broken".into()),
            24..30 => {
                let kept = self.rng.random_range(0..12);
                let first = self.records.len().saturating_sub(kept) as u64;
                self.first = self.first.max(first);
            }
            30..33 => {
                self.readers[at] = SheetLog::new();
                return;
            }
            33..40 => {
                let from = self.rng.random_range(0..self.readers.len());
                if let Some(snapshot) = self.readers[from].snapshot() {
                    self.readers[at].adopt(snapshot);
                }
            }
            _ => self.read(at),
        }
        assert!(
            self.readers[at].version() >= before,
            "the version went down"
        );
        self.check(at);
    }

    fn check(&self, at: usize) {
        let reader = &self.readers[at];
        if reader.is_settled() {
            let state = &self.states[reader.next().0 as usize];
            assert_eq!(
                reader.held(),
                state.as_ref(),
                "another sheet than the log's"
            );
        }
        if let Some(held) = reader.held() {
            let state = self.states[held.version.next().0 as usize].as_ref();
            assert_eq!(Some(held), state, "a sheet that was never in force");
        }
        for (id, refusal) in &self.verdicts {
            let Some(judged) = reader.judged(*id) else {
                continue;
            };
            // A reader that starts between two records of one id judges the
            // second, which is refused; it then has the id's offset wrong only.
            let second = judged.refusal.is_some() && refusal.is_none();
            let twice = self.records[..judged.offset.0 as usize]
                .iter()
                .any(|r| r.contains(&id.to_string()));
            assert!(judged.refusal.is_none() == refusal.is_none() || (second && twice));
        }
        let counters = reader.counters();
        assert_eq!((counters.reverts, counters.forks), (0, 0));
    }
}

#[test]
fn readers_agree() {
    let (mut settled, mut changes, mut gaps) = (0, 0, 0);
    for seed in 0..100 {
        let mut world = World::new(seed);
        for _ in 0..400 {
            world.step();
        }
        settled += world.readers.iter().filter(|r| r.is_settled()).count();
        changes += world.verdicts.values().filter(|v| v.is_none()).count();
        gaps += world.readers.iter().map(|r| r.counters().gaps).sum::<u64>();
    }
    // The runs would show nothing if they came to none of this.
    assert!(
        settled > 66 && changes > 333 && gaps > 100,
        "{settled} {changes} {gaps}"
    );
}
