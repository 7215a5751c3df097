//! Tests that many readers of one log agree, from whatever offset they start.

mod common;

use std::collections::BTreeMap;

use common::{TestRng, json, rng, sheet_of};
use kernel::{Millis, Offset};
use rand::Rng;
use sheet::{Base, Body, Change, ChangeId, Held, Refusal, SheetLog, SheetRecord, Verdict};

/// A simulation of the platform's log and its readers, with the reference state
/// of a reader that reads every record.
struct Simulation {
    /// All records ever appended.
    records: Vec<String>,
    /// Oldest offset that the log still keeps.
    first: u64,
    /// Reader that reads every record.
    reference: SheetLog,
    /// Sheet in force before each offset.
    states: Vec<Option<Held>>,
    /// The reference reader's verdict on each change.
    verdicts: BTreeMap<ChangeId, Option<Refusal>>,
    /// Readers under test.
    readers: Vec<SheetLog>,
    /// Source of random numbers.
    rng: TestRng,
}

impl Simulation {
    fn new(seed: u64) -> Simulation {
        Simulation {
            records: Vec::new(),
            first: 0,
            reference: SheetLog::new(),
            states: vec![None],
            verdicts: BTreeMap::new(),
            readers: vec![SheetLog::new(); 6],
            rng: rng(seed),
        }
    }

    fn append(&mut self, record: String) {
        let offset = Offset(self.records.len() as u64);
        self.reference.apply(offset, &record);
        if let Ok(SheetRecord::Change(c)) = SheetRecord::from_json(offset, &record) {
            let refusal = self.reference.outcome(c.id).unwrap().refusal.clone();
            self.verdicts.insert(c.id, refusal);
        }
        self.records.push(record);
        self.states.push(self.reference.held().cloned());
    }

    fn publish(&mut self, at: usize) {
        let reader = &self.readers[at];
        let wanted = sheet_of(self.rng.random_range(0..1000));
        let held = reader.held();
        let (base, body) = match (held, self.rng.random_range(0..20)) {
            (_, 0) => (Base::Before(reader.next()), Body::Full(wanted.cells())),
            (None, _) => (Base::Empty, Body::Full(wanted.cells())),
            (Some(h), _) => (Base::At(h.version), Body::encode(Some(&h.sheet), &wanted)),
        };
        let change = Change {
            id: ChangeId::draw(&mut self.rng),
            by: "op1".parse().unwrap(),
            base,
            at: Millis(1),
            body,
        };
        let record = json(SheetRecord::Change(change));
        // Sometimes the answer is lost and the change is appended again.
        if self.rng.random_range(0..5) == 0 {
            self.append(record.clone());
        }
        self.append(record);
    }

    fn renew(&mut self, at: usize) {
        if let Some(renewal) = self.readers[at].renewal(Millis(1)) {
            self.append(json(SheetRecord::Renewal(renewal)));
        }
    }

    fn read(&mut self, at: usize) {
        let reader = &mut self.readers[at];
        reader.skip_trimmed(Offset(self.first));
        let count = self.rng.random_range(0..6);
        let from = reader.next().0 as usize;
        for (i, record) in self.records.iter().enumerate().skip(from).take(count) {
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
                "the sheet differs from the log's"
            );
        }
        if let Some(held) = reader.held() {
            let state = self.states[held.version.next().0 as usize].as_ref();
            assert_eq!(Some(held), state, "the sheet was never in force");
        }
        for (id, refusal) in &self.verdicts {
            let Some(outcome) = reader.outcome(*id) else {
                continue;
            };
            // A reader that starts between two records of one change decides only
            // the second, which is refused. Its verdict then differs, since it
            // belongs to the second record's offset.
            let is_second = outcome.refusal.is_some() && refusal.is_none();
            let has_earlier = self.records[..outcome.offset.0 as usize]
                .iter()
                .any(|r| r.contains(&id.to_string()));
            assert!(outcome.refusal.is_none() == refusal.is_none() || (is_second && has_earlier));
        }
        let counters = reader.counters();
        assert_eq!((counters.reverts, counters.forks), (0, 0));
    }
}

#[test]
fn readers_agree() {
    let (mut settled, mut changes, mut gaps) = (0, 0, 0);
    for seed in 0..100 {
        let mut simulation = Simulation::new(seed);
        for _ in 0..400 {
            simulation.step();
        }
        settled += simulation.readers.iter().filter(|r| r.is_settled()).count();
        changes += simulation.verdicts.values().filter(|v| v.is_none()).count();
        gaps += simulation
            .readers
            .iter()
            .map(|r| r.counters().gaps)
            .sum::<u64>();
    }
    // Without enough settled readers, changes in force and gaps the test would
    // prove nothing.
    assert!(
        settled > 66 && changes > 333 && gaps > 100,
        "{settled} {changes} {gaps}"
    );
}
