//! Decides from the stream's records which sheet is in force. All readers reach
//! the same verdicts, from whatever offset they start (docs/design/sheet.md).

use std::collections::VecDeque;
use std::sync::Arc;

use kernel::{Millis, Offset};

use crate::anchor::Anchor;
use crate::body::ParsedBody;
use crate::operator::ChangeId;
use crate::record::{Base, Change, Held, Renewal, SheetRecord};
use crate::snapshot::{Adopted, ChangeSummary, MAX_PAST_CHANGES, Snapshot};
use crate::table::Sheet;
use crate::verdict::{ChangeOutcome, Conflict, Gap, Refusal, Verdict};
use crate::waiting::WaitingRecords;

/// Greatest number of changes whose verdicts are kept for lookup by id.
pub const MAX_HISTORY: usize = 600;

/// Counts of violated invariants and of expired or invalid records. They are
/// kept in release builds too.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Counters {
    /// Sheets offered to this reader that were older than its own, and refused.
    pub reverts: u64,
    /// Renewals and snapshots that disagree with this reader about the sheet in
    /// force.
    pub forks: u64,
    /// Invalid records in the stream.
    pub bad_records: u64,
    /// Gaps where records expired before this reader read them.
    pub gaps: u64,
}

/// Whether a reader knows the sheet in force at its position.
#[derive(Debug, Clone, PartialEq, Eq)]
enum State {
    /// The reader knows the sheet in force before the next record.
    Settled,
    /// The reader doesn't know it, and keeps the records read meanwhile.
    Waiting(WaitingRecords),
}

/// A reader of the sheet's stream, which tracks the sheet in force.
#[derive(Debug, Clone)]
pub struct SheetLog {
    /// Newest sheet known to have come into force.
    held: Option<Held>,
    /// Offset of the next record to read.
    next: Offset,
    /// Whether `held` is the sheet in force before `next`.
    state: State,
    /// Verdicts on the last changes, oldest first.
    history: VecDeque<ChangeOutcome>,
    /// Point from which a new reader can start.
    anchor: Anchor,
    /// Counts of violated invariants and of expired or invalid records.
    counters: Counters,
}

impl Default for SheetLog {
    fn default() -> SheetLog {
        SheetLog::new()
    }
}

impl SheetLog {
    /// Creates a reader at the log's first record, before which no sheet is in
    /// force. If that record has expired, [`SheetLog::skip_trimmed`] moves the reader
    /// on.
    pub fn new() -> SheetLog {
        SheetLog {
            held: None,
            next: Offset(0),
            state: State::Settled,
            history: VecDeque::new(),
            anchor: Anchor::default(),
            counters: Counters::default(),
        }
    }

    /// Returns the newest sheet known to have come into force. It is available
    /// while the reader waits too, since it is never newer than the log.
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

    /// Returns whether the sheet held is the one in force before the next record.
    pub fn is_settled(&self) -> bool {
        self.state == State::Settled
    }

    /// Returns the point from which a new reader needs the log.
    pub fn anchor(&self) -> Anchor {
        self.anchor
    }

    /// Returns the counts of violated invariants and of expired or invalid
    /// records.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Returns the verdict on a change; `None` if the change has not been read or
    /// its verdict is no longer kept.
    pub fn outcome(&self, id: ChangeId) -> Option<&ChangeOutcome> {
        self.history.iter().find(|j| j.id == id)
    }

    /// Moves the reader to `first`, the oldest offset that the log still keeps, if
    /// it lies beyond the reader's position. Returns the gap of records that
    /// expired unread; the reader then waits for a renewal or a peer's snapshot.
    pub fn skip_trimmed(&mut self, first: Offset) -> Option<Gap> {
        if first <= self.next {
            return None;
        }
        let gap = Gap {
            expected: self.next,
            found: first,
        };
        self.counters.gaps += 1;
        self.next = first;
        self.state = State::Waiting(WaitingRecords::new(first));
        Some(gap)
    }

    /// Applies the record at an offset. Records must be applied in order; one that
    /// was read before is skipped.
    pub fn apply(&mut self, offset: Offset, text: &str) -> Verdict {
        if offset < self.next {
            return Verdict::Repeated;
        }
        if let Some(gap) = self.skip_trimmed(offset) {
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
        self.add_waiting(offset, record, text.len())
    }

    /// Returns a snapshot for a peer that lags; `None` while this reader itself
    /// doesn't know the sheet in force.
    pub fn snapshot(&self) -> Option<Snapshot> {
        if !self.is_settled() {
            return None;
        }
        let skip = self.history.len().saturating_sub(MAX_PAST_CHANGES);
        let past = self.history.iter().skip(skip).map(|j| ChangeSummary {
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

    /// Adopts a peer's snapshot. The version never goes down.
    pub fn adopt(&mut self, snapshot: Snapshot) -> Adopted {
        if !snapshot
            .held
            .as_ref()
            .is_none_or(|held| self.check_same_sheet(held))
        {
            return Adopted::Contradicts;
        }
        let useful_from = match &self.state {
            State::Settled => self.next.next(),
            State::Waiting(waiting) => waiting.from(),
        };
        if snapshot.position >= useful_from {
            let settled = self.settle(snapshot.position, snapshot.held);
            if !settled {
                return Adopted::Contradicts;
            }
            self.anchor = self.anchor.later(snapshot.anchor);
            self.add_peer_verdicts(&snapshot.past);
            return Adopted::Settled;
        }
        let newer = snapshot.held.filter(|h| Some(h.version) > self.version());
        if newer.is_some() {
            self.held = newer;
            return Adopted::SheetOnly;
        }
        Adopted::Behind
    }

    /// Returns a renewal of the sheet in force; `None` while it is unknown or
    /// there is none.
    pub fn renewal(&self, at: Millis) -> Option<Renewal> {
        let held = self.held.clone().filter(|_| self.is_settled())?;
        Some(Renewal {
            read_to: self.next,
            at,
            held,
        })
    }

    /// Decides a record while the reader knows the sheet in force before it.
    fn decide(&mut self, offset: Offset, record: &SheetRecord) -> Verdict {
        match record {
            SheetRecord::Change(change) => self.decide_change(offset, change),
            SheetRecord::Renewal(renewal) => {
                self.check_renewal(renewal);
                self.advance_anchor(renewal.read_to, renewal.at);
                Verdict::Renewed
            }
        }
    }

    fn decide_change(&mut self, offset: Offset, change: &Change) -> Verdict {
        let refusal = self.apply_change(offset, change).err();
        if refusal.is_none() {
            self.update_anchor(offset, change);
        }
        self.add_verdict(ChangeOutcome {
            id: change.id,
            offset,
            refusal: refusal.clone(),
        });
        refusal.map_or(Verdict::InForce, Verdict::Refused)
    }

    /// Moves the anchor if a new reader can start at the change, which is in
    /// force.
    fn update_anchor(&mut self, offset: Offset, change: &Change) {
        match change.base {
            Base::Before(_) => self.advance_anchor(offset, change.at),
            Base::Empty => self.advance_anchor(Offset(0), change.at),
            Base::At(_) => {}
        }
    }

    fn advance_anchor(&mut self, offset: Offset, at: Millis) {
        self.anchor = self.anchor.later(Anchor { offset, at });
    }

    fn apply_change(&mut self, offset: Offset, change: &Change) -> Result<(), Refusal> {
        let wanted = change.body.parse().map_err(Refusal::BadRows)?;
        let is_current = match change.base {
            Base::Empty => self.held.is_none(),
            Base::At(version) => self.version() == Some(version),
            Base::Before(end) => self.version() < Some(end),
        };
        if !is_current {
            let conflict = self.conflict(change.base, &wanted);
            return Err(Refusal::Stale(Box::new(conflict)));
        }
        let base = self.held.as_ref().map(|held| held.sheet.as_ref());
        let sheet = wanted.apply_to(base).map_err(Refusal::BadRows)?;
        debug_assert!(self.version() < Some(offset), "the version goes up");
        self.held = Some(Held {
            version: offset,
            id: change.id,
            by: change.by.clone(),
            sheet: Arc::new(sheet),
        });
        Ok(())
    }

    /// Describes how a refused change conflicts with the sheet in force.
    fn conflict(&self, base: Base, wanted: &ParsedBody) -> Conflict {
        let held = self.held.as_ref();
        let empty = Sheet::default();
        let sheet = held.map_or(&empty, |h| h.sheet.as_ref());
        Conflict {
            base,
            version: self.version(),
            winner: held.map(|h| h.id),
            by: held.map(|h| h.by.clone()),
            diff: wanted.diff_from(sheet),
        }
    }

    /// Adds a record while the reader doesn't know the sheet in force, and settles
    /// the reader if the record gives that sheet.
    fn add_waiting(&mut self, offset: Offset, record: SheetRecord, bytes: usize) -> Verdict {
        let State::Waiting(waiting) = &mut self.state else {
            return self.decide(offset, &record);
        };
        if waiting.is_replaced_by(&record) {
            self.state = State::Settled;
            self.decide(offset, &record);
            return Verdict::Settled;
        }
        waiting.push(offset, record, bytes);
        let Some(renewal) = waiting.usable_renewal() else {
            return Verdict::Waiting;
        };
        match self.settle(renewal.read_to, Some(renewal.held)) {
            true => Verdict::Settled,
            false => Verdict::Waiting,
        }
    }

    /// Sets the sheet in force before a position, and decides the waiting records
    /// from there on. Returns false, and only counts a revert, if the version
    /// would go down.
    fn settle(&mut self, position: Offset, held: Option<Held>) -> bool {
        if held.as_ref().map(|h| h.version) < self.version() {
            self.counters.reverts += 1;
            return false;
        }
        self.held = held;
        self.next = self.next.max(position);
        let state = std::mem::replace(&mut self.state, State::Settled);
        let State::Waiting(waiting) = state else {
            return true;
        };
        for (offset, record) in waiting.records() {
            if offset >= position {
                self.decide(offset, record);
            } else if let SheetRecord::Change(change) = record {
                self.decide_earlier_change(offset, change);
            }
        }
        true
    }

    /// Decides a waiting change from before the position at which the sheet in
    /// force became known. A change older than that sheet gets no verdict, as
    /// the reader can't know whether it was ever in force.
    fn decide_earlier_change(&mut self, offset: Offset, change: &Change) {
        let version = self.version();
        if Some(offset) < version {
            return;
        }
        let refusal = match change.body.parse() {
            Err(faults) => Some(Refusal::BadRows(faults)),
            Ok(_) if Some(offset) == version => None,
            Ok(wanted) => {
                let conflict = self.conflict(change.base, &wanted);
                Some(Refusal::Stale(Box::new(conflict)))
            }
        };
        self.add_verdict(ChangeOutcome {
            id: change.id,
            offset,
            refusal,
        });
    }

    /// Counts a renewal that disagrees with a settled reader.
    fn check_renewal(&mut self, renewal: &Renewal) {
        if !self.check_same_sheet(&renewal.held) {
            return;
        }
        let known = self.version();
        let is_outdated = known.is_some_and(|v| v < renewal.read_to && v > renewal.held.version);
        if is_outdated || Some(renewal.held.version) > known {
            self.counters.forks += 1;
        }
    }

    /// Returns false, and counts a fork, if another sheet is known here under the
    /// same version.
    fn check_same_sheet(&mut self, held: &Held) -> bool {
        let Some(own) = &self.held else {
            return true;
        };
        let same = own.version != held.version || own.sheet == held.sheet;
        self.counters.forks += u64::from(!same);
        same
    }

    /// Stores a verdict, unless the id already has one: an id comes into force at
    /// most once, and its second record is always stale.
    fn add_verdict(&mut self, outcome: ChangeOutcome) {
        if self.outcome(outcome.id).is_some() {
            return;
        }
        self.history.push_back(outcome);
        if self.history.len() > MAX_HISTORY {
            self.history.pop_front();
        }
    }

    fn add_peer_verdicts(&mut self, past: &[ChangeSummary]) {
        for p in past.iter().take(MAX_PAST_CHANGES) {
            self.add_verdict(ChangeOutcome {
                id: p.id,
                offset: p.offset,
                refusal: (!p.accepted).then_some(Refusal::Unexplained),
            });
        }
    }
}
