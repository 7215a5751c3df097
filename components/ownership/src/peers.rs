//! Tracks other VMs and the owners of shards, and decides when this VM takes a
//! shard.

use std::collections::hash_map::Entry;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use kernel::{Domain, Epoch, HashMap, HashSet, Millis, Offset, Timestamp};
use schedule::Load;

use crate::config::OwnershipConfig;
use crate::contested::{LOSS_WINDOW, MinionLosses, Yielded};
use crate::heartbeat::{Claim, Heartbeat, Report, VmInfo};
use crate::plan::Planned;
use crate::sent::ClockReading;
use crate::shard::Shard;

/// State of another VM.
#[derive(Debug, Clone)]
pub(crate) struct Peer {
    /// Content of the VM's last heartbeat; `None` if only its address is known.
    pub(crate) info: Option<VmInfo>,
    /// Time of the VM's last message, or time at which its address became
    /// known.
    pub(crate) last_heartbeat: Timestamp,
    /// Time since which the VM's present process has been alive without a gap.
    pub(crate) alive_since: Timestamp,
    /// Version of the VM's configuration.
    pub(crate) version: u64,
    /// Offset of the VM's state of evacuations.
    pub(crate) evacuations: Offset,
    /// Offset up to which the VM has read the register.
    pub(crate) register: Offset,
    /// Longest time until the VM's next heartbeat, as it has announced.
    pub(crate) interval: Millis,
    /// The VM's clock in its last heartbeat.
    pub(crate) clock: Option<ClockReading>,
}

impl Peer {
    /// Returns whether the VM's last message is recent enough for it to be
    /// alive.
    pub(crate) fn is_alive(&self, cfg: &OwnershipConfig, now: Timestamp) -> bool {
        let timeout = OwnershipConfig::scaled(cfg.idle_timeout, cfg.idle_interval, self.interval);
        now.since(self.last_heartbeat) < timeout
    }
}

/// The owner of a shard as far as this VM knows.
#[derive(Debug, Clone, PartialEq)]
pub struct Owner {
    /// The owner's claim to the shard.
    pub claim: Claim,
    /// Load of the shard in the owner's last report.
    pub load: Load,
    /// Time at which that load arrived.
    pub loaded: Timestamp,
    /// Time at which the last report arrived.
    pub last_report: Timestamp,
    /// Longest time until the next report, as the owner has announced.
    pub interval: Millis,
}

impl Owner {
    /// Returns the time without a report after which the owner counts as lost.
    fn timeout(&self, cfg: &OwnershipConfig) -> Millis {
        OwnershipConfig::scaled(cfg.owner_timeout, cfg.heartbeat_interval, self.interval)
    }
}

/// A change in the ownership of a shard.
#[derive(Debug, Clone, PartialEq)]
pub enum Change {
    /// This VM owns the shard from now on.
    Taken(Shard, Epoch),
    /// Another VM's claim has won over this VM's claim to the shard.
    Yielded(Shard, SocketAddr),
    /// Another VM has become the shard's owner.
    NewOwner(Shard, SocketAddr),
    /// The heartbeats of the shard's owner have stopped.
    OwnerLost(Shard, SocketAddr),
    /// This VM has given the shard up because its minions obey another VM.
    Contested(Shard),
}

impl Change {
    /// Returns whether this VM's own shards have changed, which the other VMs
    /// must learn at once.
    pub fn is_own(&self) -> bool {
        match self {
            Change::Taken(..) | Change::Yielded(..) | Change::Contested(_) => true,
            Change::NewOwner(..) | Change::OwnerLost(..) => false,
        }
    }
}

/// The VMs and shards as one VM sees them.
#[derive(Debug)]
pub struct Peers {
    pub(crate) cfg: OwnershipConfig,
    pub(crate) me: VmInfo,
    pub(crate) started: Timestamp,
    /// Time of the first heartbeat of another VM.
    pub(crate) first_heard: Option<Timestamp>,
    pub(crate) peers: HashMap<Ipv4Addr, Peer>,
    pub(crate) owners: HashMap<Shard, Owner>,
    /// Claims of this VM to the shards that it owns.
    pub(crate) claims: HashMap<Shard, Claim>,
    /// Highest known epoch of each shard.
    pub(crate) epochs: HashMap<Shard, Epoch>,
    /// Time since which a shard has had no owner.
    pub(crate) vacant_since: HashMap<Shard, Timestamp>,
    /// Owners whose heartbeats have stopped, with the time of the loss.
    pub(crate) lost_owners: HashMap<SocketAddr, Timestamp>,
    /// Losses of minions of this VM's shards.
    pub(crate) minion_losses: HashMap<Shard, MinionLosses>,
    /// Shards that this VM gave up as contested.
    pub(crate) yielded: HashMap<Shard, Yielded>,
    /// Addresses that became known since they were last taken.
    pub(crate) fresh: Vec<Ipv4Addr>,
    /// Number of minions that this VM holds in each of its shards.
    pub(crate) held: HashMap<Shard, u32>,
    /// Number of minions in each domain, as far as this VM knows the register.
    pub(crate) minions: HashMap<Domain, u32>,
    /// True while messages queue at this VM's link.
    pub(crate) link_busy: bool,
}

impl Peers {
    /// Creates the state of a VM that knows no other VM yet.
    pub fn new(cfg: OwnershipConfig, me: VmInfo, now: Timestamp) -> Peers {
        Peers {
            cfg,
            me,
            started: now,
            first_heard: None,
            peers: HashMap::default(),
            owners: HashMap::default(),
            claims: HashMap::default(),
            epochs: HashMap::default(),
            vacant_since: HashMap::default(),
            lost_owners: HashMap::default(),
            minion_losses: HashMap::default(),
            yielded: HashMap::default(),
            fresh: Vec::new(),
            held: HashMap::default(),
            minions: HashMap::default(),
            link_busy: false,
        }
    }

    /// Returns the identity and state of this VM.
    pub fn me(&self) -> &VmInfo {
        &self.me
    }

    /// Adds an address at which a VM may be.
    pub fn add_address(&mut self, addr: Ipv4Addr, now: Timestamp) {
        if SocketAddr::from((addr, 0)).ip() == self.me.addr.ip() {
            return;
        }
        if let Entry::Vacant(entry) = self.peers.entry(addr) {
            entry.insert(Peer {
                info: None,
                last_heartbeat: now,
                alive_since: now,
                version: 0,
                evacuations: Offset(0),
                register: Offset(0),
                interval: self.cfg.idle_interval,
                clock: None,
            });
            self.fresh.push(addr);
        }
    }

    /// Returns the addresses that became known since the last call and from
    /// which no heartbeat has arrived. They get one at once, so that VMs that
    /// start together know each other before `listen_time` is over.
    pub fn take_fresh(&mut self) -> Vec<Ipv4Addr> {
        let fresh = std::mem::take(&mut self.fresh);
        let silent = |ip: &Ipv4Addr| self.peers.get(ip).is_some_and(|p| p.info.is_none());
        fresh.into_iter().filter(silent).collect()
    }

    /// Returns whether this VM has not seen the process of a VM before, and
    /// should answer its heartbeat at once.
    pub fn is_new(&self, from: &VmInfo) -> bool {
        let std::net::IpAddr::V4(ip) = from.addr.ip() else {
            return false;
        };
        let known = self.peers.get(&ip).and_then(|p| p.info.as_ref());
        known.is_none_or(|info| info.incarnation != from.incarnation)
    }

    /// Returns the live VM with the lowest address.
    pub fn first_alive(&self, now: Timestamp) -> Option<SocketAddr> {
        self.alive(now).map(|vm| vm.addr).min()
    }

    /// Processes a heartbeat and returns the changes of ownership.
    pub fn receive(&mut self, heartbeat: Heartbeat, now: Timestamp) -> Vec<Change> {
        let std::net::IpAddr::V4(ip) = heartbeat.from.addr.ip() else {
            return Vec::new();
        };
        if heartbeat.from.addr == self.me.addr {
            return Vec::new();
        }
        self.first_heard.get_or_insert(now);
        for addr in heartbeat.known {
            self.add_address(addr, now);
        }
        let vm = heartbeat.from.clone();
        let (from, leaving) = (vm.addr, vm.leaving);
        // Four and a half intervals are within `forget_after` then.
        let interval = heartbeat.interval.min(Millis(self.cfg.forget_after.0 / 5));
        let peer = Peer {
            alive_since: self.alive_since(ip, &heartbeat.from, now),
            info: Some(heartbeat.from),
            last_heartbeat: now,
            version: heartbeat.version,
            evacuations: heartbeat.evacuations,
            register: heartbeat.register,
            interval,
            clock: (heartbeat.sent > Timestamp(0)).then_some(ClockReading {
                time: heartbeat.sent,
                arrived: now,
            }),
        };
        self.peers.insert(ip, peer);
        // An owner that no longer reports a shard has given it up.
        let kept = |shard: &Shard| heartbeat.reports.iter().any(|r| r.shard == *shard);
        self.owners
            .retain(|shard, owner| owner.claim.addr != from || kept(shard));
        let mut changes = Vec::new();
        for report in heartbeat.reports {
            if !report.shard.is_valid() || !self.accepts(&report, &vm) {
                continue;
            }
            if let IpAddr::V4(owner) = report.claim.addr.ip() {
                self.add_address(owner, now);
            }
            changes.extend(self.receive_report(report, leaving, interval, now));
        }
        changes
    }

    /// Returns the time since which the sender's process has been alive without
    /// a gap.
    fn alive_since(&self, ip: Ipv4Addr, from: &VmInfo, now: Timestamp) -> Timestamp {
        let recent = |p: &&Peer| p.is_alive(&self.cfg, now);
        let known = self.peers.get(&ip).filter(recent);
        let same = known.filter(|p| {
            let info = p.info.as_ref();
            info.is_some_and(|i| i.incarnation == from.incarnation)
        });
        same.map_or(now, |p| p.alive_since)
    }

    /// Processes an owner's report of a shard. `leaving` tells that the owner
    /// has begun a planned stop, so that its claim does not win over this VM's.
    /// `interval` is the time until the owner's next report.
    fn receive_report(
        &mut self,
        report: Report,
        leaving: bool,
        interval: Millis,
        now: Timestamp,
    ) -> Vec<Change> {
        let Report { shard, claim, load } = report;
        let epoch = self.epochs.entry(shard.clone()).or_default();
        *epoch = (*epoch).max(claim.epoch);
        let wins = |other: &Claim, theirs: &Shard| claim.wins_over(&shard, other, theirs);
        let mine = self.claims.iter().filter(|(s, _)| s.overlaps(&shard));
        let mine: Vec<_> = mine.map(|(s, c)| (s.clone(), *c)).collect();
        if mine.iter().any(|(s, c)| leaving || !wins(c, s)) {
            return Vec::new();
        }
        let others = self.owners.iter().filter(|(s, _)| s.overlaps(&shard));
        let mut others = others.filter(|(_, o)| o.claim.addr != claim.addr);
        if others.any(|(s, o)| o.claim.wins_over(s, &claim, &shard)) {
            return Vec::new();
        }
        let known = self.owners.get(&shard).map(|o| o.claim.addr);
        let owner = Owner {
            claim,
            load,
            loaded: now,
            last_report: now,
            interval,
        };
        self.set_owner(&shard, owner);
        let mut changes = Vec::new();
        for (lost, _) in mine {
            self.claims.remove(&lost);
            changes.push(Change::Yielded(lost, claim.addr));
        }
        if changes.is_empty() && known != Some(claim.addr) {
            changes.push(Change::NewOwner(shard, claim.addr));
        }
        changes
    }

    /// Records another VM as the owner of a shard, in place of the owners of
    /// shards that overlap it.
    fn set_owner(&mut self, shard: &Shard, owner: Owner) {
        self.vacant_since.remove(shard);
        self.owners.retain(|s, _| !s.overlaps(shard));
        self.owners.insert(shard.clone(), owner);
    }

    /// Returns whether this VM started so recently that shards may not have
    /// owners yet.
    pub fn starting(&self, now: Timestamp) -> bool {
        now.since(self.started) < self.cfg.startup_time
    }

    /// Applies timeouts and takes those of `shards`, the shards of the site,
    /// that this VM should own. Called at regular intervals.
    pub fn tick(&mut self, shards: &[Shard], now: Timestamp) -> Vec<Change> {
        let mut changes = Vec::new();
        let cfg = self.cfg;
        self.owners.retain(|shard, owner| {
            let alive = now.since(owner.last_report) < owner.timeout(&cfg);
            if !alive {
                self.lost_owners.insert(owner.claim.addr, now);
                changes.push(Change::OwnerLost(shard.clone(), owner.claim.addr));
            }
            alive
        });
        let forget_after = self.cfg.forget_after;
        self.peers
            .retain(|_, p| now.since(p.last_heartbeat) < forget_after);
        self.lost_owners
            .retain(|_, at| now.since(*at) < LOSS_WINDOW);
        changes.extend(self.yield_contested(now));
        // Entries are kept beyond their end, so that the next yield lasts
        // longer.
        let max_yield = self.cfg.max_yield;
        self.yielded.retain(|_, y| now < y.until.after(max_yield));
        if self.me.leaving {
            return changes;
        }
        // Room of VMs that are first candidates for shards before, so that one
        // VM does not take all of a domain's shards at once.
        let mut planned = HashMap::default();
        self.vacant_since.retain(|shard, _| shards.contains(shard));
        self.held.retain(|shard, _| self.claims.contains_key(shard));
        for shard in shards {
            let yielded = self.yielded.get(shard).is_some_and(|y| now < y.until);
            if self.is_owned(shard) {
                self.vacant_since.remove(shard);
                continue;
            }
            if yielded || !self.has_listened(shard, now) {
                continue;
            }
            let since = *self.vacant_since.entry(shard.clone()).or_insert(now);
            let Some(delay) = self.takeover_delay(shard, &mut planned, now) else {
                continue;
            };
            if now.micros_since(since) >= delay {
                let epoch = self.claim_shard(shard);
                changes.push(Change::Taken(shard.clone(), epoch));
            }
        }
        changes
    }

    /// Returns whether a shard, or one that overlaps it, has a known owner.
    pub(crate) fn is_owned(&self, shard: &Shard) -> bool {
        let mut owned = self.claims.keys().chain(self.owners.keys());
        owned.any(|s| s.overlaps(shard))
    }

    /// Returns the time in microseconds for which a shard must have had no
    /// owner before this VM takes it. Returns `None` on a VM of another domain
    /// while one of the shard's domain is alive. Adds the shard's minions to
    /// those that are `planned` for its first candidate.
    fn takeover_delay(&self, shard: &Shard, planned: &mut Planned, now: Timestamp) -> Option<u64> {
        let mine = self.score(shard, &self.me, planned);
        let others = self.alive(now).filter(|vm| !vm.leaving);
        let others = others.map(|vm| (self.score(shard, vm, planned), vm));
        let better: Vec<_> = others.filter(|(score, _)| *score > mine).collect();
        let first = better.iter().max_by_key(|(score, _)| *score);
        let first = first.map_or(self.me.addr, |(_, vm)| vm.addr);
        let home_better = better.iter().any(|(_, vm)| vm.domain == shard.domain);
        let mut delay = better.len() as u64 * self.cfg.stagger.micros();
        *planned.entry(first).or_insert(0) += self.size(shard);
        if self.me.domain != shard.domain {
            // VMs of the shard's own domain reach the minions best.
            if home_better {
                return None;
            }
            delay += self.cfg.remote_delay.micros();
        }
        Some(delay)
    }

    /// Returns the number of VMs in this VM's domain that would take a shard
    /// before it.
    pub fn rank(&self, shard: &Shard, now: Timestamp) -> usize {
        let planned = HashMap::default();
        let mine = self.score(shard, &self.me, &planned);
        let alive = self.alive(now).filter(|vm| !vm.leaving);
        let home = alive.filter(|vm| vm.domain == self.me.domain);
        home.filter(|vm| self.score(shard, vm, &planned) > mine)
            .count()
    }

    /// Makes this VM the shard's owner under a new epoch.
    pub(crate) fn claim_shard(&mut self, shard: &Shard) -> Epoch {
        let known = self.epochs.iter().filter(|(s, _)| s.overlaps(shard));
        let latest = known.map(|(_, epoch)| *epoch).max().unwrap_or_default();
        let epoch = Epoch(latest.0 + 1);
        self.epochs.insert(shard.clone(), epoch);
        let claim = Claim {
            home: self.me.domain == shard.domain,
            epoch,
            share: self.me.share,
            addr: self.me.addr,
        };
        self.vacant_since.remove(shard);
        self.claims.insert(shard.clone(), claim);
        claim.epoch
    }

    /// Takes a shard at once because its owner hands it over.
    pub fn accept(&mut self, shard: &Shard) -> Epoch {
        self.owners.retain(|s, _| !s.overlaps(shard));
        self.claim_shard(shard)
    }

    /// Begins the planned stop of this VM: it takes no more shards.
    pub fn leave(&mut self) {
        self.me.leaving = true;
    }

    /// Records that another VM has accepted a shard of this VM.
    pub fn hand_over(&mut self, shard: &Shard, to: SocketAddr, now: Timestamp) {
        if let Some(mine) = self.claims.remove(shard) {
            let claim = Claim {
                epoch: Epoch(mine.epoch.0 + 1),
                addr: to,
                ..mine
            };
            let owner = Owner {
                claim,
                load: Load::default(),
                loaded: now,
                last_report: now,
                interval: self.cfg.heartbeat_interval,
            };
            self.set_owner(shard, owner);
        }
    }

    /// Returns the VM that should take over a shard of this one: the largest that
    /// has room for it, if any, and else the one that would exceed its room least. Without `anywhere` only VMs of
    /// the shard's domain are considered.
    pub fn successor(&self, shard: &Shard, anywhere: bool, now: Timestamp) -> Option<VmInfo> {
        let candidates = self.alive(now).filter(|vm| !vm.leaving);
        let candidates = candidates.filter(|vm| anywhere || vm.domain == shard.domain);
        let planned = HashMap::default();
        candidates
            .max_by_key(|vm| {
                let home = vm.domain == shard.domain;
                (home, self.spare(shard, vm, &planned), vm.share, vm.addr)
            })
            .cloned()
    }

    /// Returns the VM that should own a shard of this VM instead: any VM of the
    /// shard's domain if this one is in another domain. Otherwise it must have
    /// room for the shard and at least twice this VM's size, or relieve this VM,
    /// which owns more than it has room for. Both VMs must have
    /// been alive for `settle_time`, as each handover has a cost, or for
    /// `listen_time` if this VM holds too much.
    pub fn better_owner(&self, shard: &Shard, now: Timestamp) -> Option<SocketAddr> {
        let best = self.successor(shard, false, now)?;
        let IpAddr::V4(ip) = best.addr.ip() else {
            return None;
        };
        let away = self.me.domain != shard.domain;
        let larger = best.share >= self.me.share.saturating_mul(2);
        let crowded = self.is_crowded();
        // Waiting costs more than a handover while this VM has too little room.
        let wait = match crowded {
            true => self.cfg.listen_time,
            false => self.cfg.settle_time,
        };
        let settled = self.peers.get(&ip)?.alive_since.after(wait) <= now;
        let own = self.started.after(wait) <= now;
        let fits = self.fits(shard, &best, &HashMap::default());
        let better = away || fits && larger || crowded && self.relieves(shard, &best);
        (settled && own && better).then_some(best.addr)
    }

    /// Returns the VMs that are alive: four heartbeats in a row have not been
    /// missed.
    pub fn alive(&self, now: Timestamp) -> impl Iterator<Item = &VmInfo> {
        let alive = self.peers.values();
        let alive = alive.filter(move |p| p.is_alive(&self.cfg, now));
        alive.filter_map(|p| p.info.as_ref())
    }

    /// Returns whether a VM's last message, or the time `since` from which it
    /// sends heartbeats at the shortest interval, is not older than
    /// `owner_timeout`.
    pub fn within_timeout(&self, addr: SocketAddr, since: Timestamp, now: Timestamp) -> bool {
        let std::net::IpAddr::V4(ip) = addr.ip() else {
            return false;
        };
        let timeout = self.cfg.owner_timeout;
        let peer = self.peers.get(&ip);
        peer.is_some_and(|p| now.since(p.last_heartbeat.max(since)) < timeout)
    }

    /// Returns the VMs that would take a shard first if its owner were lost, at
    /// most `count`.
    pub fn candidates(&self, shard: &Shard, count: usize, now: Timestamp) -> Vec<Ipv4Addr> {
        let planned = HashMap::default();
        let alive = self.alive(now).filter(|vm| !vm.leaving);
        let mut scored: Vec<_> = alive
            .map(|vm| (self.score(shard, vm, &planned), vm.addr))
            .collect();
        scored.sort_by(|a, b| b.cmp(a));
        let first = scored.iter().take(count);
        first
            .filter_map(|(_, addr)| match addr.ip() {
                IpAddr::V4(ip) => Some(ip),
                IpAddr::V6(_) => None,
            })
            .collect()
    }

    /// Returns the number of other VMs that own shards.
    pub fn owner_count(&self) -> usize {
        let addrs: HashSet<_> = self.owners.values().map(|o| o.claim.addr).collect();
        addrs.len()
    }

    /// Records a message other than a heartbeat, which also shows that the VM
    /// was alive when it was `sent`.
    pub fn refresh(&mut self, addr: SocketAddr, sent: Timestamp) {
        if let std::net::IpAddr::V4(ip) = addr.ip() {
            self.add_address(ip, sent);
            if let Some(peer) = self.peers.get_mut(&ip) {
                peer.last_heartbeat = peer.last_heartbeat.max(sent);
            }
            let owners = self.owners.values_mut();
            for owner in owners.filter(|o| o.claim.addr == addr) {
                owner.last_report = owner.last_report.max(sent);
            }
        }
    }

    /// Replaces the load in a shard's last report by the one that its owner has
    /// sent with the refusal of a job.
    pub fn update_load(&mut self, shard: &Shard, addr: SocketAddr, load: Load, now: Timestamp) {
        let owner = self.owners.get_mut(shard);
        if let Some(owner) = owner.filter(|o| o.claim.addr == addr) {
            owner.load = load;
            owner.loaded = now;
        }
    }

    /// Returns all addresses at which a VM may be.
    pub fn addrs(&self) -> impl Iterator<Item = Ipv4Addr> {
        self.peers.keys().copied()
    }

    /// Returns the live VM with the latest configuration, if that is later than
    /// `version`.
    pub fn latest_config(&self, version: u64, now: Timestamp) -> Option<SocketAddr> {
        let alive = self.peers.values();
        let alive = alive.filter(|p| p.version > version && p.is_alive(&self.cfg, now));
        let newest = alive.max_by_key(|p| p.version)?;
        newest.info.as_ref().map(|i| i.addr)
    }

    /// Returns the live VMs whose state of evacuations is later than `as_of`.
    pub fn later_evacuations(
        &self,
        as_of: Offset,
        now: Timestamp,
    ) -> impl Iterator<Item = SocketAddr> {
        let alive = self.peers.values();
        let alive = alive.filter(move |p| p.evacuations > as_of && p.is_alive(&self.cfg, now));
        alive.filter_map(|p| p.info.as_ref().map(|i| i.addr))
    }

    /// Returns the live VM that has read most of the register, with the offset, if
    /// that is more than up to `end`.
    pub fn latest_register(&self, end: Offset, now: Timestamp) -> Option<(SocketAddr, Offset)> {
        let alive = self.peers.values();
        let alive = alive.filter(|p| p.register > end && p.is_alive(&self.cfg, now));
        let latest = alive.max_by_key(|p| p.register)?;
        latest.info.as_ref().map(|i| (i.addr, latest.register))
    }

    /// Returns the VMs that have read the register beyond `end`, with the offsets, those
    /// first whose last message is the latest: VMs that were just lost still count as
    /// alive.
    pub fn later_registers(&self, end: Offset, now: Timestamp) -> Vec<(SocketAddr, Offset)> {
        let alive = self.peers.values();
        let alive = alive.filter(|p| p.register > end && p.is_alive(&self.cfg, now));
        let mut later: Vec<_> = alive.collect();
        later.sort_by_key(|p| std::cmp::Reverse(p.last_heartbeat));
        let later = later.into_iter();
        later
            .filter_map(|p| p.info.as_ref().map(|i| (i.addr, p.register)))
            .collect()
    }

    /// Returns a shard's owner if that is another VM.
    pub fn owner(&self, shard: &Shard) -> Option<&Owner> {
        self.owners.get(shard)
    }

    /// Returns the shards that other VMs own, with their owners.
    pub fn owners(&self) -> impl Iterator<Item = (&Shard, &Owner)> {
        self.owners.iter()
    }

    /// Returns the shards that this VM owns, with its claims.
    pub fn claims(&self) -> impl Iterator<Item = (&Shard, &Claim)> {
        self.claims.iter()
    }

    /// Returns the age of the oldest report of an owner; 0 without owners.
    pub fn oldest_report(&self, now: Timestamp) -> Millis {
        let ages = self.owners.values().map(|o| now.since(o.last_report));
        ages.max().unwrap_or_default()
    }

    /// Returns whether this VM owns a shard.
    pub fn owns(&self, shard: &Shard) -> bool {
        self.claims.contains_key(shard)
    }
}
