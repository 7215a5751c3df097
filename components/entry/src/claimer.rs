//! Claims keys that callers made up, many with one append (group commit).

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

use crate::claimed::{Applied, Claimed, Departed, Known};
use crate::config::LogLimits;

/// The most keys in one record, which keeps records below 40 kB.
const BATCH: usize = 1000;

/// The keys for the next appends.
#[derive(Debug, Default)]
struct Batch {
    /// Keys to claim.
    claims: Vec<KeyHash>,
    /// Claims to give up.
    releases: Vec<Release>,
}

/// Claims, and what waits for them.
#[derive(Debug)]
pub struct Claimer {
    /// This VM.
    me: Owner,
    /// Bounds.
    limits: LogLimits,
    /// The claims as read.
    claims: Mutex<Claims>,
    /// The next appends.
    batch: Mutex<Batch>,
    /// Who waits for a key's owner.
    waiters: Mutex<HashMap<KeyHash, oneshot::Sender<Claimed>>>,
    /// When the keys of each append must have been read back.
    expected: Mutex<VecDeque<(Instant, Vec<KeyHash>)>>,
    /// Wakes the appender.
    wake: Notify,
    /// True while the log does not answer.
    away: AtomicBool,
    /// True once all claims in the log are known here.
    covered: AtomicBool,
    /// The incarnations known to be gone before the log was last read to its
    /// end, so that all their claims are known.
    past: ArcSwapOption<Departed>,
    /// How many VMs share the append rate.
    sharers: AtomicU64,
    /// Appends made so far.
    appends: AtomicU64,
}

impl Claimer {
    /// Makes a claimer that has read nothing yet.
    pub fn new(me: Owner, limits: LogLimits, claim_count: usize) -> Claimer {
        Claimer {
            claims: Mutex::new(Claims::new(me.clone(), claim_count)),
            me,
            limits,
            batch: Mutex::default(),
            waiters: Mutex::default(),
            expected: Mutex::default(),
            wake: Notify::new(),
            away: AtomicBool::new(true),
            covered: AtomicBool::new(false),
            past: ArcSwapOption::empty(),
            sharers: AtomicU64::new(1),
            appends: AtomicU64::new(0),
        }
    }

    /// Tells who owns a key, as far as is known.
    pub fn known(&self, key: KeyHash) -> Known {
        let claims = lock(&self.claims);
        if claims.is_releasing(key) {
            return Known::Leaving;
        }
        match claims.owner(key) {
            Some(owner) => Known::Owner(owner.clone()),
            None if self.covered.load(Ordering::Acquire) => Known::Nobody,
            None => Known::Uncovered,
        }
    }

    /// Tells whether the log is away.
    pub fn away(&self) -> bool {
        self.away.load(Ordering::Acquire)
    }

    /// Returns the next offset to read and the number of keys known.
    pub fn position(&self) -> (Offset, usize) {
        let claims = lock(&self.claims);
        (claims.next(), claims.len())
    }

    /// Returns how many appends were made.
    pub fn appends(&self) -> u64 {
        self.appends.load(Ordering::Relaxed)
    }

    /// Notes how many VMs share the log's append rate.
    pub fn share_with(&self, vms: usize) {
        self.sharers.store(vms.max(1) as u64, Ordering::Relaxed);
    }

    /// Claims a key. While the log is known to be away, or was never read to
    /// its end, it answers at once. A wait that is dropped gives the key up.
    pub async fn claim(&self, key: KeyHash) -> Claimed {
        if self.away() || !self.covered.load(Ordering::Acquire) {
            return Claimed::Away;
        }
        let (sender, told) = oneshot::channel();
        if let Some(known) = self.enlist(key, sender) {
            return known;
        }
        self.wake.notify_one();
        let mut wait = Wait {
            claimer: self,
            key,
            told,
            done: false,
        };
        let claimed = (&mut wait.told).await;
        wait.done = true;
        claimed.unwrap_or(Claimed::Away)
    }

    /// Gives up a key that this VM owns and whose job was never started.
    pub fn resign(&self, key: KeyHash) {
        let Some(release) = lock(&self.claims).begin_release(key) else {
            return;
        };
        lock(&self.batch).releases.push(release);
        self.wake.notify_one();
    }

    /// Puts a key into the next append, unless its owner is known already.
    fn enlist(&self, key: KeyHash, waiter: oneshot::Sender<Claimed>) -> Option<Claimed> {
        let mut claims = lock(&self.claims);
        match claims.wait_for(key) {
            KeyState::Waiting => {}
            KeyState::Owned(owner) => return Some(Claimed::Lost(owner)),
            KeyState::Releasing => return Some(Claimed::Away),
        }
        lock(&self.waiters).insert(key, waiter);
        lock(&self.batch).claims.push(key);
        None
    }

    /// Appends what is waiting, for ever. While an append is in flight, later
    /// keys gather for the next.
    pub async fn append_all<S: Platform>(&self, platform: &S) {
        let mut due = Instant::now();
        loop {
            self.wake.notified().await;
            while let Some((record, keys)) = self.next_record() {
                sleep_until(due).await;
                due = Instant::now() + self.spacing();
                self.append(platform, record, keys).await;
            }
        }
    }

    /// The time between two appends that keeps to this VM's share of the rate.
    fn spacing(&self) -> std::time::Duration {
        let sharers = self.sharers.load(Ordering::Relaxed);
        std::time::Duration::from_micros(1_000_000 * sharers / self.limits.append_rate)
    }

    fn next_record(&self) -> Option<(ClaimRecord, Vec<KeyHash>)> {
        let mut batch = lock(&self.batch);
        let by = self.me.clone();
        if !batch.claims.is_empty() {
            let count = batch.claims.len().min(BATCH);
            let keys: Vec<_> = batch.claims.drain(..count).collect();
            let record = ClaimRecord::Claim {
                by,
                keys: keys.clone(),
            };
            return Some((record, keys));
        }
        if self.away() || batch.releases.is_empty() {
            return None;
        }
        let count = batch.releases.len().min(BATCH);
        let keys = batch.releases.drain(..count).collect();
        Some((ClaimRecord::Release { by, keys }, Vec::new()))
    }

    async fn append<S: Platform>(&self, platform: &S, record: ClaimRecord, keys: Vec<KeyHash>) {
        let Ok(bytes) = serde_json::to_vec(&record) else {
            return self.fail(&keys);
        };
        self.appends.fetch_add(1, Ordering::Relaxed);
        let answer = platform.append(Stream::Claims, Bytes::from(bytes)).await;
        match (&answer, record) {
            (Ok(_), _) => {
                self.away.store(false, Ordering::Release);
                self.expect(keys);
            }
            (Err(_), ClaimRecord::Release { keys, .. }) => lock(&self.batch).releases.extend(keys),
            (Err(AppendError::Refused), _) => {
                self.away.store(true, Ordering::Release);
                self.fail(&keys);
            }
            // It may be in the log; reading on tells.
            (Err(AppendError::Unknown), _) => self.expect(keys),
        }
    }

    /// Notes when the keys of an append must have been read back.
    fn expect(&self, keys: Vec<KeyHash>) {
        if !keys.is_empty() {
            let due = Instant::now() + self.limits.resolve_wait.duration();
            lock(&self.expected).push_back((due, keys));
        }
    }

    /// Gives up the keys that were not read back in time.
    pub fn expire(&self) {
        let now = Instant::now();
        loop {
            let mut expected = lock(&self.expected);
            if expected.front().is_none_or(|(due, _)| *due > now) {
                return;
            }
            let late = expected.pop_front();
            drop(expected);
            if let Some((_, keys)) = late {
                self.fail(&keys);
            }
        }
    }

    /// Notes who was known to be gone before a read that reached the end of the
    /// log.
    pub fn read_after(&self, departed: Arc<Departed>) {
        self.past.store(Some(departed));
    }

    /// Tells whether all claims are known of every incarnation that is gone
    /// and has left its jobs to nobody.
    pub fn covers(&self, departed: &Departed) -> bool {
        let past = self.past.load();
        let Some(past) = past.as_ref() else {
            return false;
        };
        let mut lost = departed.iter().filter(|(_, next)| next.is_none());
        lost.all(|(incarnation, _)| past.contains_key(incarnation))
    }

    /// Notes that the log could not be read.
    pub fn lose_log(&self) {
        self.away.store(true, Ordering::Release);
    }

    /// Applies what was read from the log. It answers whether anything is
    /// missing in between, which a peer may know.
    pub fn apply(&self, chunk: &Chunk) -> Applied {
        let mut claims = lock(&self.claims);
        if chunk.first > claims.next() {
            return Applied::Gap;
        }
        let mut broken = 0;
        for record in &chunk.records {
            match claims.apply(record.offset, &record.data) {
                Ok(decided) => self.settle(decided),
                Err(ClaimError::Malformed(_)) => broken += 1,
                Err(ClaimError::Gap { .. }) => return Applied::Gap,
            }
        }
        let whole = claims.next() >= chunk.end;
        drop(claims);
        if whole {
            self.covered.store(true, Ordering::Release);
        }
        self.away.store(false, Ordering::Release);
        if !lock(&self.batch).releases.is_empty() {
            self.wake.notify_one();
        }
        Applied::Read { broken, whole }
    }

    /// Tells whether claims wait to be released.
    pub fn releasing(&self) -> bool {
        !lock(&self.batch).releases.is_empty()
    }

    /// Goes on from the oldest record that the log still has.
    pub fn skip_to(&self, first: Offset) {
        lock(&self.claims).skip_to(first);
    }

    /// Returns what this VM knows, for a peer.
    pub fn export(&self) -> Coverage {
        lock(&self.claims).export()
    }

    /// Takes over what a peer knows. It answers whether that helped.
    pub fn import(&self, coverage: &Coverage) -> bool {
        let mut claims = lock(&self.claims);
        match claims.import(coverage) {
            Some(decided) => {
                self.settle(decided);
                true
            }
            None => false,
        }
    }

    /// Tells the waiters what was decided. The claims are locked meanwhile, so
    /// that nobody gives a key up that has just been won.
    fn settle(&self, decided: Decisions) {
        for key in decided.won {
            self.tell(key, Claimed::Won);
        }
        for (key, owner) in decided.lost {
            self.tell(key, Claimed::Lost(owner));
        }
        lock(&self.batch).releases.extend(decided.unwanted);
    }

    /// Answers [`Claimed::Away`] to whoever waits for the keys still.
    fn fail(&self, keys: &[KeyHash]) {
        let mut claims = lock(&self.claims);
        for &key in keys {
            claims.stop_waiting(key);
            self.tell(key, Claimed::Away);
        }
    }

    fn tell(&self, key: KeyHash, claimed: Claimed) {
        if let Some(waiter) = lock(&self.waiters).remove(&key) {
            // A waiter that has just gone resigns the key itself.
            let _ = waiter.send(claimed);
        }
    }

    /// Ends a wait that was dropped: a key not yet decided is given up, one
    /// won meanwhile is released.
    fn abandon(&self, key: KeyHash, told: &mut oneshot::Receiver<Claimed>) {
        let mut claims = lock(&self.claims);
        claims.stop_waiting(key);
        lock(&self.waiters).remove(&key);
        told.close();
        let won = matches!(told.try_recv(), Ok(Claimed::Won));
        let release = if won { claims.begin_release(key) } else { None };
        drop(claims);
        lock(&self.batch).releases.extend(release);
        self.wake.notify_one();
    }
}

/// A wait for a key's owner.
struct Wait<'a> {
    /// The claimer.
    claimer: &'a Claimer,
    /// The key.
    key: KeyHash,
    /// Gets the answer.
    told: oneshot::Receiver<Claimed>,
    /// True once the answer was taken.
    done: bool,
}

impl Drop for Wait<'_> {
    fn drop(&mut self) {
        if !self.done {
            self.claimer.abandon(self.key, &mut self.told);
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
