//! Claims the keys that callers made up, by records in the platform's log. Many
//! keys are claimed with one append (group commit).

use std::collections::VecDeque;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use arc_swap::ArcSwapOption;
use bytes::Bytes;
use jobs::{
    ClaimError, ClaimRecord, Claims, Coverage, Decisions, KeyHash, KeyState, Owner, Release,
};
use kernel::{HashMap, Offset};
use logstore::{AppendError, Chunk, Platform, Stream};
use tokio::sync::{Notify, oneshot};
use tokio::time::{Instant, sleep_until};

use crate::claimed::{Applied, ClaimResult, Departed, KeyOwner};
use crate::config::LogLimits;

/// Maximum number of keys in one record; keeps records below 40 kB.
const MAX_BATCH_KEYS: usize = 1000;

/// Keys that wait for one of the next appends.
#[derive(Debug, Default)]
struct Batch {
    /// Keys to claim.
    claims: Vec<KeyHash>,
    /// Claims to release.
    releases: Vec<Release>,
}

/// Claims keys for this VM and tracks who owns which key.
#[derive(Debug)]
pub struct Claimer {
    /// This VM and its incarnation.
    me: Owner,
    /// Limits on the use of the log.
    limits: LogLimits,
    /// Claims as read from the log.
    claims: Mutex<Claims>,
    /// Claims and releases for the next appends.
    batch: Mutex<Batch>,
    /// Senders that notify the waits for a key's owner.
    waiters: Mutex<HashMap<KeyHash, oneshot::Sender<ClaimResult>>>,
    /// Appended keys, each with the time by which they must be read back from
    /// the log.
    readbacks: Mutex<VecDeque<(Instant, Vec<KeyHash>)>>,
    /// Wakes the loop that appends.
    wake: Notify,
    /// True while the log does not answer.
    log_away: AtomicBool,
    /// True once the log was read to its end.
    caught_up: AtomicBool,
    /// Incarnations known to be gone before the log was last read to its end.
    /// All their claims are known.
    departed_read: ArcSwapOption<Departed>,
    /// Number of VMs that share the append rate.
    sharers: AtomicU64,
    /// Number of appends made so far.
    appends: AtomicU64,
}

impl Claimer {
    /// Creates a claimer that has not read the log yet. It remembers up to
    /// `claim_count` keys.
    pub fn new(me: Owner, limits: LogLimits, claim_count: usize) -> Claimer {
        Claimer {
            claims: Mutex::new(Claims::new(me.clone(), claim_count)),
            me,
            limits,
            batch: Mutex::default(),
            waiters: Mutex::default(),
            readbacks: Mutex::default(),
            wake: Notify::new(),
            log_away: AtomicBool::new(true),
            caught_up: AtomicBool::new(false),
            departed_read: ArcSwapOption::empty(),
            sharers: AtomicU64::new(1),
            appends: AtomicU64::new(0),
        }
    }

    /// Returns the owner of a key, as far as is known.
    pub fn owner_of(&self, key: KeyHash) -> KeyOwner {
        let claims = lock(&self.claims);
        if claims.is_releasing(key) {
            return KeyOwner::Releasing;
        }
        match claims.owner(key) {
            Some(owner) => KeyOwner::OwnedBy(owner.clone()),
            None if self.caught_up.load(Ordering::Acquire) => KeyOwner::Unclaimed,
            None => KeyOwner::Unknown,
        }
    }

    /// Returns whether the log is away.
    pub fn is_log_away(&self) -> bool {
        self.log_away.load(Ordering::Acquire)
    }

    /// Returns the next offset to read and the number of known keys.
    pub fn position(&self) -> (Offset, usize) {
        let claims = lock(&self.claims);
        (claims.next(), claims.len())
    }

    /// Returns the number of appends made so far.
    pub fn appends(&self) -> u64 {
        self.appends.load(Ordering::Relaxed)
    }

    /// Sets the number of VMs that share the log's append rate.
    pub fn set_sharers(&self, vms: usize) {
        self.sharers.store(vms.max(1) as u64, Ordering::Relaxed);
    }

    /// Claims a key and waits until the owner is known. Returns
    /// [`ClaimResult::LogAway`] at once while the log is away or was not read
    /// to its end yet. Dropping the future releases the key.
    pub async fn claim(&self, key: KeyHash) -> ClaimResult {
        if self.is_log_away() || !self.caught_up.load(Ordering::Acquire) {
            return ClaimResult::LogAway;
        }
        let (result_tx, result_rx) = oneshot::channel();
        if let Some(result) = self.wait_for(key, result_tx) {
            return result;
        }
        self.wake.notify_one();
        let mut wait = ClaimWait {
            claimer: self,
            key,
            result_rx,
            done: false,
        };
        let claimed = (&mut wait.result_rx).await;
        wait.done = true;
        claimed.unwrap_or(ClaimResult::LogAway)
    }

    /// Releases a key that this VM owns and whose job was never started.
    pub fn release(&self, key: KeyHash) {
        let Some(record) = lock(&self.claims).begin_release(key) else {
            return;
        };
        lock(&self.batch).releases.push(record);
        self.wake.notify_one();
    }

    /// Adds a key to the next append, unless its owner is known already.
    /// Returns the result if there is nothing to wait for.
    fn wait_for(
        &self,
        key: KeyHash,
        result_tx: oneshot::Sender<ClaimResult>,
    ) -> Option<ClaimResult> {
        let mut claims = lock(&self.claims);
        match claims.wait_for(key) {
            KeyState::Waiting => {}
            KeyState::Owned(owner) => return Some(ClaimResult::Lost(owner)),
            KeyState::Releasing => return Some(ClaimResult::LogAway),
        }
        lock(&self.waiters).insert(key, result_tx);
        lock(&self.batch).claims.push(key);
        None
    }

    /// Appends claims and releases in a loop that never ends. Keys that arrive
    /// while an append is in flight go into the next one.
    pub async fn append_all<S: Platform>(&self, platform: &S) {
        let mut due = Instant::now();
        loop {
            self.wake.notified().await;
            while let Some((record, keys)) = self.next_record() {
                sleep_until(due).await;
                due = Instant::now() + self.append_interval();
                self.append(platform, record, keys).await;
            }
        }
    }

    /// Returns the time between two appends that keeps to this VM's share of
    /// the rate.
    fn append_interval(&self) -> std::time::Duration {
        let sharers = self.sharers.load(Ordering::Relaxed);
        std::time::Duration::from_micros(1_000_000 * sharers / self.limits.append_rate)
    }

    fn next_record(&self) -> Option<(ClaimRecord, Vec<KeyHash>)> {
        let mut batch = lock(&self.batch);
        let by = self.me.clone();
        if !batch.claims.is_empty() {
            let count = batch.claims.len().min(MAX_BATCH_KEYS);
            let keys: Vec<_> = batch.claims.drain(..count).collect();
            let record = ClaimRecord::Claim {
                by,
                keys: keys.clone(),
            };
            return Some((record, keys));
        }
        if self.is_log_away() || batch.releases.is_empty() {
            return None;
        }
        let count = batch.releases.len().min(MAX_BATCH_KEYS);
        let keys = batch.releases.drain(..count).collect();
        Some((ClaimRecord::Release { by, keys }, Vec::new()))
    }

    async fn append<S: Platform>(&self, platform: &S, record: ClaimRecord, keys: Vec<KeyHash>) {
        let Ok(bytes) = serde_json::to_vec(&record) else {
            return self.fail_waits(&keys);
        };
        self.appends.fetch_add(1, Ordering::Relaxed);
        let answer = platform.append(Stream::Claims, Bytes::from(bytes)).await;
        match (&answer, record) {
            (Ok(_), _) => {
                self.log_away.store(false, Ordering::Release);
                self.expect(keys);
            }
            (Err(_), ClaimRecord::Release { keys, .. }) => lock(&self.batch).releases.extend(keys),
            (Err(AppendError::Refused), _) => {
                self.log_away.store(true, Ordering::Release);
                self.fail_waits(&keys);
            }
            // The record may be in the log, which the next reads will show.
            (Err(AppendError::Unknown), _) => self.expect(keys),
        }
    }

    /// Records the time by which the keys of an append must be read back.
    fn expect(&self, keys: Vec<KeyHash>) {
        if !keys.is_empty() {
            let due = Instant::now() + self.limits.resolve_wait.duration();
            lock(&self.readbacks).push_back((due, keys));
        }
    }

    /// Ends the waits for keys that were not read back in time.
    pub fn expire(&self) {
        let now = Instant::now();
        loop {
            let mut readbacks = lock(&self.readbacks);
            if readbacks.front().is_none_or(|(due, _)| *due > now) {
                return;
            }
            let late = readbacks.pop_front();
            drop(readbacks);
            if let Some((_, keys)) = late {
                self.fail_waits(&keys);
            }
        }
    }

    /// Sets the incarnations that were known to be gone before a read that
    /// reached the end of the log.
    pub fn set_departed_read(&self, departed: Arc<Departed>) {
        self.departed_read.store(Some(departed));
    }

    /// Returns whether all claims are known of every incarnation that is gone
    /// without a successor.
    pub fn has_all_claims_of(&self, departed: &Departed) -> bool {
        let read = self.departed_read.load();
        let Some(read) = read.as_ref() else {
            return false;
        };
        let mut lost = departed.iter().filter(|(_, next)| next.is_none());
        lost.all(|(incarnation, _)| read.contains_key(incarnation))
    }

    /// Records that the log could not be read.
    pub fn set_log_away(&self) {
        self.log_away.store(true, Ordering::Release);
    }

    /// Applies a chunk read from the log. Returns [`Applied::Gap`] if records
    /// before the chunk are missing, which a peer may still know.
    pub fn apply(&self, chunk: &Chunk) -> Applied {
        let mut claims = lock(&self.claims);
        if chunk.first > claims.next() {
            return Applied::Gap;
        }
        let mut malformed = 0;
        for record in &chunk.records {
            match claims.apply(record.offset, &record.data) {
                Ok(decided) => self.apply_decisions(decided),
                Err(ClaimError::Malformed(_)) => malformed += 1,
                Err(ClaimError::Gap { .. }) => return Applied::Gap,
            }
        }
        let complete = claims.next() >= chunk.end;
        drop(claims);
        if complete {
            self.caught_up.store(true, Ordering::Release);
        }
        self.log_away.store(false, Ordering::Release);
        if !lock(&self.batch).releases.is_empty() {
            self.wake.notify_one();
        }
        Applied::Read {
            malformed,
            complete,
        }
    }

    /// Returns whether releases wait to be appended.
    pub fn has_releases(&self) -> bool {
        !lock(&self.batch).releases.is_empty()
    }

    /// Continues reading at the oldest record that the log still has.
    pub fn skip_to(&self, first: Offset) {
        lock(&self.claims).skip_to(first);
    }

    /// Returns the claims that this VM knows, for a peer.
    pub fn export(&self) -> Coverage {
        lock(&self.claims).export()
    }

    /// Takes over the claims that a peer knows. Returns whether they closed the
    /// gap.
    pub fn import(&self, coverage: &Coverage) -> bool {
        let mut claims = lock(&self.claims);
        match claims.import(coverage) {
            Some(decided) => {
                self.apply_decisions(decided);
                true
            }
            None => false,
        }
    }

    /// Notifies the waits whose keys were decided, and releases the keys that
    /// were won but are no longer waited for. Called with the claims locked, so
    /// that no dropped wait gives up a key that was just won.
    fn apply_decisions(&self, decided: Decisions) {
        for key in decided.won {
            self.notify(key, ClaimResult::Won);
        }
        for (key, owner) in decided.lost {
            self.notify(key, ClaimResult::Lost(owner));
        }
        lock(&self.batch).releases.extend(decided.unwanted);
    }

    /// Ends the remaining waits for some keys with [`ClaimResult::LogAway`].
    fn fail_waits(&self, keys: &[KeyHash]) {
        let mut claims = lock(&self.claims);
        for &key in keys {
            claims.stop_waiting(key);
            self.notify(key, ClaimResult::LogAway);
        }
    }

    fn notify(&self, key: KeyHash, claimed: ClaimResult) {
        if let Some(waiter) = lock(&self.waiters).remove(&key) {
            // A wait that was just dropped releases the key itself.
            let _ = waiter.send(claimed);
        }
    }

    /// Ends a wait that was dropped: a key that is not decided yet is no longer
    /// waited for, and one that was won in the meantime is released.
    fn cancel_wait(&self, key: KeyHash, result_rx: &mut oneshot::Receiver<ClaimResult>) {
        let mut claims = lock(&self.claims);
        claims.stop_waiting(key);
        lock(&self.waiters).remove(&key);
        result_rx.close();
        let won = matches!(result_rx.try_recv(), Ok(ClaimResult::Won));
        let release = if won { claims.begin_release(key) } else { None };
        drop(claims);
        lock(&self.batch).releases.extend(release);
        self.wake.notify_one();
    }
}

/// A wait for the result of a claim. Dropping it before the result was received
/// cancels the wait.
struct ClaimWait<'a> {
    /// Claimer that appends the claim.
    claimer: &'a Claimer,
    /// Claimed key.
    key: KeyHash,
    /// Receives the result.
    result_rx: oneshot::Receiver<ClaimResult>,
    /// True once the result was received.
    done: bool,
}

impl Drop for ClaimWait<'_> {
    fn drop(&mut self) {
        if !self.done {
            self.claimer.cancel_wait(self.key, &mut self.result_rx);
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
