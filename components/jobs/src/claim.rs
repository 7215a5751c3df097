//! Claims to keys that callers choose. The first claim in the order of the log
//! owns the key, so every reader of the log sees the same owner. An owner that
//! never started the job may release the key; the next claim in order then owns
//! it.

use std::collections::VecDeque;

use kernel::{HashMap, HashSet, Incarnation, Offset};

use crate::record::{
    ClaimError, ClaimRecord, Coverage, Decisions, KeyClaim, KeyHash, KeyState, Owner, Release,
};

/// State of the claims, as read from the log.
#[derive(Debug)]
pub struct Claims {
    /// This VM, as an owner of keys.
    me: Owner,
    /// Oldest offset whose claims are known.
    first: Offset,
    /// Next offset to apply.
    next: Offset,
    /// Owners, by the index in [`KeyClaim::owner`].
    owners: Vec<Owner>,
    /// Index of each owner by incarnation.
    index: HashMap<Incarnation, u32>,
    /// Current claim of each owned key.
    keys: HashMap<KeyHash, KeyClaim>,
    /// Claims in the order of the log, for eviction.
    order: VecDeque<Release>,
    /// Maximum number of claims remembered.
    max_keys: usize,
    /// Keys whose claims this VM waits for.
    pending: HashSet<KeyHash>,
    /// Keys that this VM owns and is releasing.
    releasing: HashSet<KeyHash>,
}

impl Claims {
    /// Creates an empty state that remembers up to `max_keys` claims.
    pub fn new(me: Owner, max_keys: usize) -> Claims {
        Claims {
            me,
            first: Offset(0),
            next: Offset(0),
            owners: Vec::new(),
            index: HashMap::default(),
            keys: HashMap::default(),
            order: VecDeque::new(),
            max_keys,
            pending: HashSet::default(),
            releasing: HashSet::default(),
        }
    }

    /// Returns the next offset to read.
    pub fn next(&self) -> Offset {
        self.next
    }

    /// Returns the number of keys remembered.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Returns whether no key is remembered.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Returns a key's owner.
    pub fn owner(&self, key: KeyHash) -> Option<&Owner> {
        let held = self.keys.get(&key)?;
        self.owners.get(held.owner as usize)
    }

    /// Returns whether this VM is releasing a key, so that it can't be claimed now.
    pub fn is_releasing(&self, key: KeyHash) -> bool {
        self.releasing.contains(&key)
    }

    /// Registers that this VM waits to own a key, unless the key is owned or being
    /// released.
    pub fn wait_for(&mut self, key: KeyHash) -> KeyState {
        if self.is_releasing(key) {
            return KeyState::Releasing;
        }
        if let Some(owner) = self.owner(key) {
            return KeyState::Owned(owner.clone());
        }
        self.pending.insert(key);
        KeyState::Waiting
    }

    /// Stops waiting for a key. If this VM's claim appears in the log later, the
    /// key is released.
    pub fn stop_waiting(&mut self, key: KeyHash) {
        self.pending.remove(&key);
    }

    /// Applies the record at an offset. A record that was applied before is
    /// skipped.
    ///
    /// # Errors
    ///
    /// Returns [`ClaimError::Malformed`] if the record can't be parsed; it is then
    /// skipped. Returns [`ClaimError::Gap`] if earlier records are missing; the
    /// record is then not applied.
    pub fn apply(&mut self, offset: Offset, data: &str) -> Result<Decisions, ClaimError> {
        if offset < self.next {
            return Ok(Decisions::default());
        }
        if offset > self.next {
            return Err(ClaimError::Gap { wanted: self.next });
        }
        self.next = offset.next();
        let record = serde_json::from_str(data).map_err(ClaimError::Malformed)?;
        let mut decisions = Decisions::default();
        match record {
            ClaimRecord::Claim { by, keys } => {
                for key in keys {
                    self.claim(Release { key, claim: offset }, &by, &mut decisions);
                }
            }
            ClaimRecord::Release { by, keys } => {
                for key in keys {
                    self.release(key, &by);
                }
            }
        }
        Ok(decisions)
    }

    /// Skips records that the log no longer has and no peer could supply.
    pub fn skip_to(&mut self, first: Offset) {
        if first > self.next {
            self.first = first;
            self.next = first;
        }
    }

    /// Returns the whole state, for a peer.
    pub fn export(&self) -> Coverage {
        Coverage {
            first: self.first,
            next: self.next,
            owners: self.owners.clone(),
            keys: self
                .order
                .iter()
                .filter_map(|claim| self.current_claim(*claim))
                .collect(),
        }
    }

    /// Replaces the state by a peer's, if that one has no gap to this one and
    /// reaches further. Returns `None` if it does not.
    pub fn import(&mut self, coverage: &Coverage) -> Option<Decisions> {
        if coverage.next <= self.next || coverage.first > self.next {
            return None;
        }
        // The coverage does not list the releases between the two offsets, so
        // the whole state is replaced.
        let read_before = self.next;
        let were_releasing = std::mem::take(&mut self.releasing);
        self.keys.clear();
        self.order.clear();
        self.first = coverage.first;
        self.next = coverage.next;
        let mut decisions = Decisions::default();
        for &(key, held) in &coverage.keys {
            let claim = Release {
                key,
                claim: held.claim,
            };
            if let Some(owner) = coverage.owners.get(held.owner as usize) {
                self.claim(claim, owner, &mut decisions);
            }
        }
        // Claims that this VM has read before were waited for, and their jobs
        // may be running by now.
        decisions.unwanted.retain(|r| r.claim >= read_before);
        self.releasing.retain(|key| {
            let held = self.keys.get(key);
            held.is_some_and(|h| h.claim >= read_before || were_releasing.contains(key))
        });
        Some(decisions)
    }

    fn claim(&mut self, claim: Release, by: &Owner, decisions: &mut Decisions) {
        if !self.keys.contains_key(&claim.key) {
            let held = KeyClaim {
                owner: self.index_of(by),
                claim: claim.claim,
            };
            self.keys.insert(claim.key, held);
            self.order.push_back(claim);
            self.evict_oldest();
            self.check_unrequested(claim, by, decisions);
        }
        self.resolve(claim.key, decisions);
    }

    /// Marks a key for release if this VM now owns it but does not wait for it.
    fn check_unrequested(&mut self, claim: Release, by: &Owner, decisions: &mut Decisions) {
        let is_mine = by.incarnation == self.me.incarnation;
        if is_mine && !self.pending.contains(&claim.key) {
            self.releasing.insert(claim.key);
            decisions.unwanted.push(claim);
        }
    }

    /// Records the result for a key that this VM waits for.
    fn resolve(&mut self, key: KeyHash, decisions: &mut Decisions) {
        if !self.pending.remove(&key) {
            return;
        }
        match self.owner(key) {
            Some(owner) if owner.incarnation == self.me.incarnation => decisions.won.push(key),
            Some(owner) => {
                let owner = owner.clone();
                decisions.lost.push((key, owner));
            }
            None => {}
        }
    }

    fn release(&mut self, claim: Release, by: &Owner) {
        let owned = self.owner(claim.key).map(|o| o.incarnation);
        if owned != Some(by.incarnation) || self.current_claim(claim).is_none() {
            return;
        }
        self.keys.remove(&claim.key);
        self.releasing.remove(&claim.key);
    }

    /// Returns a key's current claim, if it is the given one.
    fn current_claim(&self, claim: Release) -> Option<(KeyHash, KeyClaim)> {
        let held = *self.keys.get(&claim.key)?;
        (held.claim == claim.claim).then_some((claim.key, held))
    }

    /// Starts the release of a key that this VM owns and whose job was never
    /// started. Returns the release to append to the log.
    pub fn begin_release(&mut self, key: KeyHash) -> Option<Release> {
        let is_mine = self.owner(key)?.incarnation == self.me.incarnation;
        let claim = self.keys.get(&key)?.claim;
        if !is_mine || !self.releasing.insert(key) {
            return None;
        }
        Some(Release { key, claim })
    }

    fn index_of(&mut self, owner: &Owner) -> u32 {
        if let Some(&i) = self.index.get(&owner.incarnation) {
            return i;
        }
        let i = self.owners.len() as u32;
        self.owners.push(owner.clone());
        self.index.insert(owner.incarnation, i);
        i
    }

    fn evict_oldest(&mut self) {
        while self.order.len() > self.max_keys {
            let Some(old) = self.order.pop_front() else {
                return;
            };
            if self.current_claim(old).is_some() {
                self.keys.remove(&old.key);
            }
        }
    }
}
