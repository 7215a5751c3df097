//! The sheet in force. It is read from the log, exchanged with peers, and
//! written to the log again before the log drops it.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use arc_swap::ArcSwapOption;
use bytes::Bytes;
use kernel::{Millis, Offset, Timestamp};
use logstore::{Chunk, Platform, Stream};
use sheet::{Adopted, Held, LogExtent, RenewalRule, SheetLog, SheetRecord, Snapshot, Verdict};
use timeline::{EventKind, Note};
use tokio::sync::Notify;

use crate::notes::Notes;

/// State of the control loop.
struct State {
    /// Reader of the log of sheets.
    log: SheetLog,
    /// Rule that decides when the sheet is renewed.
    rule: RenewalRule,
    /// Range of offsets that the log keeps, as last read.
    extent: Option<LogExtent>,
}

/// The sheet as this VM knows it.
pub struct Sheets {
    /// State that decides which sheet is in force.
    state: Mutex<State>,
    /// Sheet in force, for readers that must not wait for a lock.
    held: ArcSwapOption<Held>,
    /// Notified when another sheet has come into force.
    changed: Notify,
    /// Number of times that an older sheet was about to replace a newer one.
    reverts: AtomicU64,
    /// Records events.
    notes: Notes,
}

impl Sheets {
    /// Creates a reader that knows no sheet yet, for a log that keeps records
    /// for `retention`.
    pub fn new(retention: Millis, notes: Notes) -> Sheets {
        Sheets {
            state: Mutex::new(State {
                log: SheetLog::new(),
                rule: RenewalRule::new(retention),
                extent: None,
            }),
            held: ArcSwapOption::empty(),
            changed: Notify::new(),
            reverts: AtomicU64::new(0),
            notes,
        }
    }

    /// Returns whether a sheet is known.
    pub fn is_known(&self) -> bool {
        self.held.load().is_some()
    }

    /// Returns the sheet in force.
    pub fn held(&self) -> Option<Arc<Held>> {
        self.held.load_full()
    }

    /// Returns the offset of the change whose sheet is in force here.
    pub fn version(&self) -> Option<Offset> {
        self.held.load().as_ref().map(|h| h.version)
    }

    /// Returns the offset to read next.
    pub fn next(&self) -> Offset {
        self.lock().log.next()
    }

    /// Waits until another sheet comes into force.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Returns the verdict on a change, if the change was read recently.
    pub fn outcome(&self, id: sheet::ChangeId) -> Option<sheet::ChangeOutcome> {
        self.lock().log.outcome(id).cloned()
    }

    /// Returns the last changes, newest first.
    pub fn recent(&self) -> Vec<sheet::ChangeSummary> {
        let mut past = self.lock().log.snapshot().map_or(Vec::new(), |s| s.past);
        past.reverse();
        past
    }

    /// Returns the counters of violated invariants.
    pub fn counters(&self) -> sheet::Counters {
        self.lock().log.counters()
    }

    /// Returns how many times an older sheet was about to replace a newer one.
    /// The reader of the log should rule this out.
    pub fn reverts(&self) -> u64 {
        self.reverts.load(Ordering::Relaxed)
    }

    /// Returns the state that a peer which lags behind needs.
    pub fn snapshot(&self) -> Option<Snapshot> {
        self.lock().log.snapshot()
    }

    /// Applies a chunk read from the log. Returns whether a peer must be asked
    /// for records that the log no longer has.
    pub fn apply(&self, chunk: &Chunk) -> bool {
        let mut state = self.lock();
        state.extent = Some(LogExtent {
            first: chunk.first,
            end: chunk.end,
        });
        if state.log.skip_trimmed(chunk.first).is_some() {
            self.note(EventKind::SheetGap(chunk.first));
        }
        for record in &chunk.records {
            let verdict = state.log.apply(record.offset, &record.data);
            self.note_verdict(record.offset, &verdict);
        }
        let settled = state.log.is_settled();
        self.publish(state);
        !settled
    }

    /// Takes over a peer's sheet if it is newer.
    pub fn adopt(&self, snapshot: Snapshot) {
        let version = snapshot.held.as_ref().map(|h| h.version);
        let mut state = self.lock();
        let before = state.log.version();
        let adopted = state.log.adopt(snapshot);
        let newer = state.log.version() > before;
        self.publish(state);
        if let (Adopted::Settled | Adopted::SheetOnly, Some(version), true) =
            (adopted, version, newer)
        {
            self.note(EventKind::SheetAdopted(version));
        }
    }

    /// Renews the sheet by writing it to the log again, if it is this VM's
    /// turn.
    pub async fn renew<S: Platform>(
        &self,
        platform: &S,
        now: Timestamp,
        wall: Millis,
        rank: usize,
    ) {
        let Some(record) = self.renewal(now, wall, rank) else {
            return;
        };
        if let Ok(offset) = platform.append(Stream::Sheet, record).await {
            self.note(EventKind::SheetRenewed(offset));
        }
    }

    fn renewal(&self, now: Timestamp, wall: Millis, rank: usize) -> Option<Bytes> {
        let mut state = self.lock();
        let State { log, rule, extent } = &mut *state;
        if !rule.is_due(now, wall, log, (*extent)?, rank) {
            return None;
        }
        let record = SheetRecord::Renewal(log.renewal(wall)?);
        record.to_json().ok().map(Bytes::from)
    }

    /// Publishes the sheet in force to readers. The state stays locked while
    /// the versions are compared, so an older sheet never replaces a newer one.
    fn publish(&self, state: MutexGuard<'_, State>) {
        let version = state.log.version();
        if version < self.version() {
            self.reverts.fetch_add(1, Ordering::Relaxed);
        }
        if version > self.version() {
            self.held.store(state.log.held().cloned().map(Arc::new));
            drop(state);
            self.changed.notify_one();
        }
    }

    /// Records the verdict on a record on the time line.
    fn note_verdict(&self, offset: Offset, verdict: &Verdict) {
        match verdict {
            Verdict::InForce => self.note(EventKind::SheetInForce(offset)),
            Verdict::Refused(_) | Verdict::BadRecord(_) => {
                self.note(EventKind::SheetRefused(offset));
            }
            Verdict::Renewed
            | Verdict::Settled
            | Verdict::Waiting
            | Verdict::Repeated
            | Verdict::Gap(_) => {}
        }
    }

    fn note(&self, kind: EventKind) {
        self.notes.note(Note::new(kind));
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
