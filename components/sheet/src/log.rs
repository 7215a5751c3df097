//! Decides from the stream's records which sheet is in force. Whatever offset
//! a reader starts from, it comes to the same verdicts (docs/design/sheet.md).

use std::collections::VecDeque;
use std::sync::Arc;

use kernel::{Millis, Offset};

use crate::anchor::Anchor;
use crate::body::Wanted;
use crate::operator::ChangeId;
use crate::record::{Base, Change, Held, Renewal, SheetRecord};
use crate::snapshot::{Adopted, MAX_PAST, Past, Snapshot};
use crate::table::Sheet;
use crate::verdict::{Conflict, Gap, Judged, Refusal, Verdict};
use crate::waiting::Waiting;

/// The most changes whose verdicts are kept for look-up by id.
pub const MAX_HISTORY: usize = 600;

/// Counts of what must never happen, checked in release builds too.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Counters {
    /// Sheets offered that would have taken the version down.
    pub reverts: u64,
    /// Statements of another sheet under a version known here.
    pub forks: u64,
    /// Records that are none.
    pub bad_records: u64,
    /// Times that records expired unread.
    pub gaps: u64,
}

/// Where a reader stands.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Reading {
    /// It knows the sheet in force before the next record.
    Settled,
    /// It does not, and keeps the records since.
    Waiting(Waiting),
}

/// The reader of the sheet's stream.
#[derive(Debug, Clone)]
pub struct SheetLog {
    /// The newest sheet known to have come into force.
    held: Option<Held>,
    /// The offset of the next record.
    next: Offset,
    /// Whether the sheet held is the one in force before `next`.
    reading: Reading,
    /// The last changes judged, oldest first.
    history: VecDeque<Judged>,
    /// Where the newest renewal lets a new reader start, and its writing time.
    anchor: Anchor,
    /// What must never happen.
    counters: Counters,
}

impl Default for SheetLog {
    fn default() -> SheetLog {
        SheetLog::new()
    }
}

impl SheetLog {
    /// Starts a reader at the log's first record, where no sheet is in force.
    /// If that record has expired, [`SheetLog::trimmed`] says so.
    pub fn new() -> SheetLog {
        SheetLog {
            held: None,
            next: Offset(0),
            reading: Reading::Settled,
            history: VecDeque::new(),
            anchor: Anchor::default(),
            counters: Counters::default(),
        }
    }

    /// Returns the newest sheet known to have come into force. It is served
    /// also while the reader waits, as it is never newer than the log.
    pub fn held(&self) -> Option<&Held> {
        self.held.as_ref()
    }

    /// Returns the offset of the change whose sheet is held.
    pub fn version(&self) -> Option<Offset> {
        self.held.as_ref().map(|held| held.version)
    }

    /// Returns the offset to read next.
    pub fn next(&self) -> Offset {
        self.next
    }

    /// Tells whether the sheet held is the one in force before the next record.
    pub fn is_settled(&self) -> bool {
        self.reading == Reading::Settled
    }

    /// Returns the point from which a new reader needs the log.
    pub fn anchor(&self) -> Anchor {
        self.anchor
    }

    /// Returns the counts of what must never happen.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Returns what became of a change; `None` when it has not been read, or so
    /// long ago that it is no longer kept.
    pub fn judged(&self, id: ChangeId) -> Option<&Judged> {
        self.history.iter().find(|j| j.id == id)
    }

    /// Tells the reader the oldest offset that the log still keeps. It answers
    /// the gap when records have expired unread; the reader then waits for a
    /// renewal or a peer's snapshot.
    pub fn trimmed(&mut self, first: Offset) -> Option<Gap> {
        if first <= self.next {
            return None;
        }
        let gap = Gap {
            expected: self.next,
            found: first,
        };
        self.counters.gaps += 1;
        self.next = first;
        self.reading = Reading::Waiting(Waiting::new(first));
        Some(gap)
    }

    /// Takes the record at an offset. Records come in order; one read before
    /// is skipped.
    pub fn apply(&mut self, offset: Offset, text: &str) -> Verdict {
        if offset < self.next {
            return Verdict::Repeated;
        }
        if let Some(gap) = self.trimmed(offset) {
            return Verdict::Gap(gap);
        }
        self.next = offset.next();
        let record = match SheetRecord::from_json(offset, text) {
            Ok(record) => record,
            Err(fault) => {
                self.counters.bad_records += 1;
                return Verdict::BadRecord(fault);
            }
        };
        if self.is_settled() {
            return self.decide(offset, &record);
        }
        self.wait(offset, record, text.len())
    }

    /// Returns what a lagging peer needs; `None` while this reader itself does
    /// not know where it stands.
    pub fn snapshot(&self) -> Option<Snapshot> {
        if !self.is_settled() {
            return None;
        }
        let skip = self.history.len().saturating_sub(MAX_PAST);
        let past = self.history.iter().skip(skip).map(|j| Past {
            id: j.id,
            offset: j.offset,
            accepted: j.refusal.is_none(),
        });
        Some(Snapshot {
            position: self.next,
            held: self.held.clone(),
            anchor: self.anchor,
            past: past.collect(),
        })
    }

    /// Takes a peer's snapshot. The version never goes down.
    pub fn adopt(&mut self, snapshot: Snapshot) -> Adopted {
        if !snapshot.held.as_ref().is_none_or(|held| self.agrees(held)) {
            return Adopted::Contradicts;
        }
        let useful_from = match &self.reading {
            Reading::Settled => self.next.next(),
            Reading::Waiting(waiting) => waiting.from(),
        };
        if snapshot.position >= useful_from {
            let settled = self.settle(snapshot.position, snapshot.held);
            if !settled {
                return Adopted::Contradicts;
            }
            self.anchor = self.anchor.later(snapshot.anchor);
            self.remember(&snapshot.past);
            return Adopted::Settled;
        }
        let newer = snapshot.held.filter(|h| Some(h.version) > self.version());
        if newer.is_some() {
            self.held = newer;
            return Adopted::SheetOnly;
        }
        Adopted::Behind
    }

    /// Writes the renewal of what is in force; `None` while that is not known
    /// or there is no sheet.
    pub fn renewal(&self, at: Millis) -> Option<Renewal> {
        let held = self.held.clone().filter(|_| self.is_settled())?;
        Some(Renewal {
            read_to: self.next,
            at,
            held,
        })
    }

    /// Decides a record at a reader that knows the sheet in force before it.
    fn decide(&mut self, offset: Offset, record: &SheetRecord) -> Verdict {
        match record {
            SheetRecord::Change(change) => self.judge(offset, change),
            SheetRecord::Renewal(renewal) => {
                self.check(renewal);
                self.move_anchor(renewal.read_to, renewal.at);
                Verdict::Renewed
            }
        }
    }

    fn judge(&mut self, offset: Offset, change: &Change) -> Verdict {
        let refusal = self.try_change(offset, change).err();
        if refusal.is_none() {
            self.anchor_at(offset, change);
        }
        self.note(Judged {
            id: change.id,
            offset,
            refusal: refusal.clone(),
        });
        refusal.map_or(Verdict::InForce, Verdict::Refused)
    }

    /// Notes from where a new reader can start, as of a change in force.
    fn anchor_at(&mut self, offset: Offset, change: &Change) {
        match change.base {
            Base::Before(_) => self.move_anchor(offset, change.at),
            Base::Empty => self.move_anchor(Offset(0), change.at),
            Base::At(_) => {}
        }
    }

    fn move_anchor(&mut self, offset: Offset, at: Millis) {
        self.anchor = self.anchor.later(Anchor { offset, at });
    }

    fn try_change(&mut self, offset: Offset, change: &Change) -> Result<(), Refusal> {
        let wanted = change.body.read().map_err(Refusal::BadRows)?;
        let fits = match change.base {
            Base::Empty => self.held.is_none(),
            Base::At(version) => self.version() == Some(version),
            Base::Before(end) => self.version() < Some(end),
        };
        if !fits {
            let conflict = self.conflict(change.base, &wanted);
            return Err(Refusal::Stale(Box::new(conflict)));
        }
        let base = self.held.as_ref().map(|held| held.sheet.as_ref());
        let sheet = wanted.over(base).map_err(Refusal::BadRows)?;
        debug_assert!(self.version() < Some(offset), "the version goes up");
        self.held = Some(Held {
            version: offset,
            id: change.id,
            by: change.by.clone(),
            sheet: Arc::new(sheet),
        });
        Ok(())
    }

    /// Tells a refused change what beat it.
    fn conflict(&self, base: Base, wanted: &Wanted) -> Conflict {
        let held = self.held.as_ref();
        let none = Sheet::default();
        let sheet = held.map_or(&none, |h| h.sheet.as_ref());
        Conflict {
            base,
            version: self.version(),
            winner: held.map(|h| h.id),
            by: held.map(|h| h.by.clone()),
            diff: wanted.differs(sheet),
        }
    }

    /// Takes a record at a reader that does not know where it stands.
    fn wait(&mut self, offset: Offset, record: SheetRecord, bytes: usize) -> Verdict {
        let Reading::Waiting(waiting) = &mut self.reading else {
            return self.decide(offset, &record);
        };
        if waiting.replaced_by(&record) {
            self.reading = Reading::Settled;
            self.decide(offset, &record);
            return Verdict::Settled;
        }
        waiting.push(offset, record, bytes);
        let Some(renewal) = waiting.seed() else {
            return Verdict::Waiting;
        };
        match self.settle(renewal.read_to, Some(renewal.held)) {
            true => Verdict::Settled,
            false => Verdict::Waiting,
        }
    }

    /// Takes the sheet in force before a position, and decides the records that
    /// waited from there on. It answers false, and changes nothing, when that
    /// would take the version down.
    fn settle(&mut self, position: Offset, held: Option<Held>) -> bool {
        if held.as_ref().map(|h| h.version) < self.version() {
            self.counters.reverts += 1;
            return false;
        }
        self.held = held;
        self.next = self.next.max(position);
        let reading = std::mem::replace(&mut self.reading, Reading::Settled);
        let Reading::Waiting(waiting) = reading else {
            return true;
        };
        for (offset, record) in waiting.records() {
            if offset >= position {
                self.decide(offset, record);
            } else if let SheetRecord::Change(change) = record {
                self.judge_late(offset, change);
            }
        }
        true
    }

    /// Judges a change that waited from before the position where the sheet in
    /// force became known. One that is older than that sheet can't be told.
    fn judge_late(&mut self, offset: Offset, change: &Change) {
        let version = self.version();
        if Some(offset) < version {
            return;
        }
        let refusal = match change.body.read() {
            Err(faults) => Some(Refusal::BadRows(faults)),
            Ok(_) if Some(offset) == version => None,
            Ok(wanted) => {
                let conflict = self.conflict(change.base, &wanted);
                Some(Refusal::Stale(Box::new(conflict)))
            }
        };
        self.note(Judged {
            id: change.id,
            offset,
            refusal,
        });
    }

    /// Checks a renewal against what a settled reader knows.
    fn check(&mut self, renewal: &Renewal) {
        if !self.agrees(&renewal.held) {
            return;
        }
        let known = self.version();
        let hidden = known.is_some_and(|v| v < renewal.read_to && v > renewal.held.version);
        if hidden || Some(renewal.held.version) > known {
            self.counters.forks += 1;
        }
    }

    /// Tells whether a sheet is the one known here under its version.
    fn agrees(&mut self, held: &Held) -> bool {
        let Some(own) = &self.held else {
            return true;
        };
        let same = own.version != held.version || own.sheet == held.sheet;
        self.counters.forks += u64::from(!same);
        same
    }

    /// Keeps a verdict, unless the id has one: an id comes into force at most
    /// once, and its second record is always stale.
    fn note(&mut self, judged: Judged) {
        if self.judged(judged.id).is_some() {
            return;
        }
        self.history.push_back(judged);
        if self.history.len() > MAX_HISTORY {
            self.history.pop_front();
        }
    }

    fn remember(&mut self, past: &[Past]) {
        for p in past.iter().take(MAX_PAST) {
            self.note(Judged {
                id: p.id,
                offset: p.offset,
                refusal: (!p.accepted).then_some(Refusal::Unexplained),
            });
        }
    }
}
