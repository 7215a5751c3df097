//! Division of a domain's minions into shards, and the order in which VMs take
//! them. Each VM decides for itself from what it knows of the others; claims
//! settle what two VMs see differently.

use std::net::SocketAddr;

use kernel::{Domain, HashMap, Timestamp, key_hash};

use crate::heartbeat::VmInfo;
use crate::peers::Peers;
use crate::shard::{MAX_SHARDS, Shard};

/// Smallest number of minions of a shard. Below it a job of usual width finds no
/// room in a shard that is not nearly idle.
const MIN_MINIONS: u32 = 8;

/// Minions of shards that are about to be taken, by the VM that will own them.
pub(crate) type Planned = HashMap<SocketAddr, u32>;

impl Peers {
    /// Sets the number of minions in each domain.
    pub fn set_minions(&mut self, minions: HashMap<Domain, u32>) {
        self.minions = minions;
    }

    /// Returns the shards of a domain. They are those that its owners report;
    /// without any, the domain is divided so that its VMs have room for them,
    /// into at least `fewest` shards.
    pub fn shards(&self, domain: &Domain, fewest: u16, now: Timestamp) -> Vec<Shard> {
        let owned = self.claims.keys().chain(self.owners.keys());
        let owned = owned.filter(|s| s.domain == *domain);
        let count = owned.map(|s| s.count).max();
        let count = count.unwrap_or_else(|| self.division(domain, fewest, now));
        let shard = |index| Shard {
            domain: domain.clone(),
            index,
            count,
        };
        (0..count).map(shard).collect()
    }

    /// Returns the least number of shards for which the domain's VMs have room.
    /// If the VMs known so far have too little room for any division, the domain
    /// has a shard for each of them, of at least `MIN_MINIONS`: each VM then
    /// owns as little above its room as possible.
    fn division(&self, domain: &Domain, fewest: u16, now: Timestamp) -> u16 {
        let minions = self.minions.get(domain).copied().unwrap_or(0);
        let home = self.alive(now).chain([&self.me]);
        let home = home.filter(|vm| vm.domain == *domain && !vm.leaving);
        let rooms: Vec<u32> = home.map(|vm| vm.room).collect();
        let mut count = fewest.max(1).next_power_of_two();
        loop {
            let size = minions.div_ceil(u32::from(count)).max(1);
            let places: u32 = rooms.iter().map(|room| room / size).sum();
            let each = usize::from(count) >= rooms.len();
            if places >= u32::from(count) || each || count >= MAX_SHARDS || size < MIN_MINIONS * 2 {
                return count;
            }
            count *= 2;
        }
    }

    /// Returns the number of minions of a shard, or 0 if the register is not
    /// known.
    pub(crate) fn size(&self, shard: &Shard) -> u32 {
        let minions = self.minions.get(&shard.domain).copied().unwrap_or(0);
        minions.div_ceil(u32::from(shard.count.max(1)))
    }

    /// Returns the number of minions of the shards that a VM owns.
    fn carried(&self, addr: SocketAddr) -> u32 {
        if addr == self.me.addr {
            return self.claims.keys().map(|s| self.size(s)).sum();
        }
        let owned = self.owners.iter().filter(|(_, o)| o.claim.addr == addr);
        owned.map(|(s, _)| self.size(s)).sum()
    }

    /// Returns whether a VM has room for a shard beside those that it owns and
    /// those that are planned for it.
    pub(crate) fn fits(&self, shard: &Shard, vm: &VmInfo, planned: &Planned) -> bool {
        self.usage(shard, vm, planned) <= 1_000
    }

    /// Returns how much a VM would exceed its room with a shard, as a rank: 0 for
    /// all VMs that have room for it, and less the more it is exceeded.
    pub(crate) fn spare(&self, shard: &Shard, vm: &VmInfo, planned: &Planned) -> i64 {
        1_000 - i64::from(self.usage(shard, vm, planned).max(1_000))
    }

    /// Sets the number of minions of one of this VM's shards that it holds.
    pub fn set_held(&mut self, shard: &Shard, minions: u32) {
        self.held.insert(shard.clone(), minions);
    }

    /// Sets whether messages queue at this VM's link.
    pub fn set_link_busy(&mut self, busy: bool) {
        self.link_busy = busy;
    }

    /// Returns whether this VM holds more minions than it has room for, or owns
    /// more and its link is busy: behind a full link it holds only a few of them.
    /// Minions that it does not reach leave the link idle and cost next to
    /// nothing.
    pub(crate) fn is_crowded(&self) -> bool {
        let held = |shard| self.held.get(shard).copied().unwrap_or(0);
        let held: u32 = self.claims.keys().map(held).sum();
        held > self.me.room || self.link_busy && self.carried(self.me.addr) > self.me.room
    }

    /// Returns how much of a VM's room it would use with a shard beside those that
    /// it owns and those that are planned for it, in thousandths.
    fn usage(&self, shard: &Shard, vm: &VmInfo, planned: &Planned) -> u32 {
        let planned = planned.get(&vm.addr).copied().unwrap_or(0);
        let minions = self.carried(vm.addr) + planned + self.size(shard);
        minions.saturating_mul(1_000) / vm.room.max(1)
    }

    /// Returns whether a shard of this VM costs less at another VM: that one has
    /// room for it, or would exceed its room by less than this VM does.
    pub(crate) fn relieves(&self, shard: &Shard, vm: &VmInfo) -> bool {
        let usage = self.usage(shard, vm, &HashMap::default());
        let own = self.carried(self.me.addr).saturating_mul(1_000) / self.me.room.max(1);
        usage <= 1_000 || usage < own
    }

    /// Returns the shard that this VM should divide: it owns more minions than
    /// it has room for, and another VM would relieve it of half of a shard, but
    /// not of a whole one.
    pub fn too_large(&self, now: Timestamp) -> Option<Shard> {
        if !self.is_crowded() {
            return None;
        }
        let divisible = |s: &&Shard| s.count < MAX_SHARDS && self.size(s) >= MIN_MINIONS * 2;
        let others = self.alive(now).filter(|vm| !vm.leaving);
        let others: Vec<_> = others.collect();
        let relieved = |shard: &Shard| {
            let mut home = others.iter().filter(|vm| vm.domain == shard.domain);
            home.any(|vm| self.relieves(shard, vm))
        };
        let shards = self.claims.keys().filter(divisible);
        let shards = shards.filter(|s| !relieved(s) && relieved(&s.halves()[1]));
        shards.max_by_key(|s| self.size(s)).cloned()
    }

    /// Returns the shard that this VM should put together: it owns both halves
    /// and has room for all of its minions.
    pub fn divided_needlessly(&self, fewest: u16) -> Option<Shard> {
        if self.is_crowded() || self.carried(self.me.addr) > self.me.room {
            return None;
        }
        let halves = self.claims.keys().filter(|s| s.count > fewest.max(1));
        let wholes = halves.filter_map(Shard::whole);
        let mut owned = wholes.filter(|s| s.halves().iter().all(|h| self.claims.contains_key(h)));
        owned.next()
    }

    /// Puts both halves of a shard together, which this VM owns, and returns
    /// whether it does.
    pub fn unite(&mut self, shard: &Shard) -> bool {
        let halves = shard.halves();
        if !halves.iter().all(|half| self.claims.contains_key(half)) {
            return false;
        }
        for half in &halves {
            self.claims.remove(half);
        }
        self.claim_shard(shard);
        true
    }

    /// Divides a shard of this VM, which owns both halves from then on. Returns
    /// `None` if it does not own the shard.
    pub fn divide(&mut self, shard: &Shard) -> Option<[Shard; 2]> {
        self.claims.remove(shard)?;
        let halves = shard.halves();
        for half in &halves {
            self.claim_shard(half);
        }
        Some(halves)
    }

    /// Returns a VM's score as owner of a shard. VMs of the shard's domain rank
    /// first, then those with room for it and those that would exceed theirs least,
    /// then larger ones; a hash spreads shards over equal VMs.
    pub(crate) fn score(
        &self,
        shard: &Shard,
        vm: &VmInfo,
        planned: &Planned,
    ) -> (bool, i64, u32, u128) {
        let key = format!("{shard} {}", vm.addr);
        (
            vm.domain == shard.domain,
            self.spare(shard, vm, planned),
            vm.share,
            key_hash(key.as_bytes()),
        )
    }
}
