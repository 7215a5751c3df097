//! Claims to keys that callers make up. The first claim in the log's order owns
//! the key; whoever reads the log sees the same owner. An owner that never
//! started the job may release the key, and the next claim in order then owns
//! it.

use std::collections::VecDeque;

use kernel::{HashMap, HashSet, Incarnation, Offset};

use crate::record::{
    ClaimError, ClaimRecord, Coverage, Decided, Enlisted, Held, KeyHash, Owner, Release,
};

/// The claims as read from the log.
#[derive(Debug)]
pub struct Claims {
    /// This VM.
    me: Owner,
    /// The oldest offset whose claims are known.
    first: Offset,
    /// The next offset to apply.
    next: Offset,
    /// The owners, by the index that keys use.
    owners: Vec<Owner>,
    /// The index of each owner's incarnation.
    index: HashMap<Incarnation, u32>,
    /// How each key is held.
    keys: HashMap<KeyHash, Held>,
    /// The claims in order.
    order: VecDeque<Release>,
    /// The most keys remembered.
    most: usize,
    /// The keys that this VM waits to own.
    pending: HashSet<KeyHash>,
    /// The keys that this VM is giving up.
    leaving: HashSet<KeyHash>,
}

impl Claims {
    /// Makes an empty set of claims that remembers up to `most` keys.
    pub fn new(me: Owner, most: usize) -> Claims {
        Claims {
            me,
            first: Offset(0),
            next: Offset(0),
            owners: Vec::new(),
            index: HashMap::default(),
            keys: HashMap::default(),
            order: VecDeque::new(),
            most,
            pending: HashSet::default(),
            leaving: HashSet::default(),
        }
    }

    /// Returns the next offset to read.
    pub fn next(&self) -> Offset {
        self.next
    }

    /// Returns how many keys are remembered.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Tells whether no key is remembered.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Returns a key's owner.
    pub fn owner(&self, key: KeyHash) -> Option<&Owner> {
        let held = self.keys.get(&key)?;
        self.owners.get(held.owner as usize)
    }

    /// Tells whether this VM is giving up a key, so that it can't be had now.
    pub fn leaving(&self, key: KeyHash) -> bool {
        self.leaving.contains(&key)
    }

    /// Notes that this VM waits to own a key, unless the key is owned.
    pub fn enlist(&mut self, key: KeyHash) -> Enlisted {
        if self.leaving(key) {
            return Enlisted::Leaving;
        }
        if let Some(owner) = self.owner(key) {
            return Enlisted::Owned(owner.clone());
        }
        self.pending.insert(key);
        Enlisted::Waiting
    }

    /// Notes that this VM no longer waits for a key. Should its claim turn up
    /// later, the key is released.
    pub fn give_up(&mut self, key: KeyHash) {
        self.pending.remove(&key);
    }

    /// Applies the record at an offset. One that was applied before is passed
    /// over.
    ///
    /// # Errors
    ///
    /// A broken record is passed over; a gap applies nothing.
    pub fn apply(&mut self, offset: Offset, data: &str) -> Result<Decided, ClaimError> {
        if offset < self.next {
            return Ok(Decided::default());
        }
        if offset > self.next {
            return Err(ClaimError::Gap { wanted: self.next });
        }
        self.next = offset.next();
        let record = serde_json::from_str(data).map_err(ClaimError::Broken)?;
        let mut decided = Decided::default();
        match record {
            ClaimRecord::Claim { by, keys } => {
                for key in keys {
                    self.claim(Release { key, claim: offset }, &by, &mut decided);
                }
            }
            ClaimRecord::Release { by, keys } => {
                for key in keys {
                    self.release(key, &by);
                }
            }
        }
        Ok(decided)
    }

    /// Jumps over records that the log no longer has and no peer could give.
    pub fn skip_to(&mut self, first: Offset) {
        if first > self.next {
            self.first = first;
            self.next = first;
        }
    }

    /// Returns all that is known, for a peer.
    pub fn export(&self) -> Coverage {
        Coverage {
            first: self.first,
            next: self.next,
            owners: self.owners.clone(),
            keys: self
                .order
                .iter()
                .filter_map(|claim| self.live(*claim))
                .collect(),
        }
    }

    /// Takes over what a peer knows, if it reaches back to here and further
    /// ahead. It answers `None` if the peer's coverage doesn't help.
    pub fn import(&mut self, theirs: &Coverage) -> Option<Decided> {
        if theirs.next <= self.next || theirs.first > self.next {
            return None;
        }
        // Releases between here and there are not told, so all is replaced.
        let read = self.next;
        let left = std::mem::take(&mut self.leaving);
        self.keys.clear();
        self.order.clear();
        self.first = theirs.first;
        self.next = theirs.next;
        let mut decided = Decided::default();
        for &(key, held) in &theirs.keys {
            let claim = Release {
                key,
                claim: held.claim,
            };
            if let Some(owner) = theirs.owners.get(held.owner as usize) {
                self.claim(claim, owner, &mut decided);
            }
        }
        // What this VM read before has been waited for, and may run by now.
        decided.stray.retain(|r| r.claim >= read);
        self.leaving.retain(|key| {
            let held = self.keys.get(key);
            held.is_some_and(|h| h.claim >= read || left.contains(key))
        });
        Some(decided)
    }

    fn claim(&mut self, claim: Release, by: &Owner, decided: &mut Decided) {
        if !self.keys.contains_key(&claim.key) {
            let held = Held {
                owner: self.index_of(by),
                claim: claim.claim,
            };
            self.keys.insert(claim.key, held);
            self.order.push_back(claim);
            self.bound();
            self.own(claim, by, decided);
        }
        self.settle(claim.key, decided);
    }

    /// Notes a key that has just become this VM's without anybody waiting.
    fn own(&mut self, claim: Release, by: &Owner, decided: &mut Decided) {
        let mine = by.incarnation == self.me.incarnation;
        if mine && !self.pending.contains(&claim.key) {
            self.leaving.insert(claim.key);
            decided.stray.push(claim);
        }
    }

    /// Decides a key that this VM waits for.
    fn settle(&mut self, key: KeyHash, decided: &mut Decided) {
        if !self.pending.remove(&key) {
            return;
        }
        match self.owner(key) {
            Some(owner) if owner.incarnation == self.me.incarnation => decided.won.push(key),
            Some(owner) => {
                let owner = owner.clone();
                decided.lost.push((key, owner));
            }
            None => {}
        }
    }

    fn release(&mut self, claim: Release, by: &Owner) {
        let owned = self.owner(claim.key).map(|o| o.incarnation);
        if owned != Some(by.incarnation) || self.live(claim).is_none() {
            return;
        }
        self.keys.remove(&claim.key);
        self.leaving.remove(&claim.key);
    }

    /// Returns how a key is held, if it is by this very claim.
    fn live(&self, claim: Release) -> Option<(KeyHash, Held)> {
        let held = *self.keys.get(&claim.key)?;
        (held.claim == claim.claim).then_some((claim.key, held))
    }

    /// Gives up a key that this VM owns and whose job was never started.
    pub fn resign(&mut self, key: KeyHash) -> Option<Release> {
        let mine = self.owner(key)?.incarnation == self.me.incarnation;
        let claim = self.keys.get(&key)?.claim;
        if !mine || !self.leaving.insert(key) {
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

    fn bound(&mut self) {
        while self.order.len() > self.most {
            let Some(old) = self.order.pop_front() else {
                return;
            };
            if self.live(old).is_some() {
                self.keys.remove(&old.key);
            }
        }
    }
}
