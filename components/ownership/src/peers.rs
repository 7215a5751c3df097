//! What a VM knows of the others, and when it takes a shard itself.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use kernel::{Epoch, HashMap, Timestamp, key_hash};
use schedule::Load;

use crate::beat::{Beat, Claim, Report, VmInfo};
use crate::config::OwnershipConfig;
use crate::contested::{LOSS_SPAN, Losses, Yielded};
use crate::shard::Shard;

/// Another VM.
#[derive(Debug, Clone)]
pub(crate) struct Peer {
    /// What it last said; nothing if it was only heard of.
    pub(crate) info: Option<VmInfo>,
    /// When it was last heard, or first heard of.
    pub(crate) heard: Timestamp,
    /// Since when its present process has been heard without a gap.
    pub(crate) since: Timestamp,
    /// The version of its configuration.
    pub(crate) version: u64,
}

/// The owner of a shard as far as this VM knows.
#[derive(Debug, Clone, PartialEq)]
pub struct Owner {
    /// Its claim.
    pub claim: Claim,
    /// Its last report of the shard.
    pub load: Load,
    /// When that came.
    pub heard: Timestamp,
}

/// What has changed in who owns what.
#[derive(Debug, Clone, PartialEq)]
pub enum Change {
    /// This VM owns the shard from now on.
    Taken(Shard, Epoch),
    /// Another VM owns the shard that was ours.
    Yielded(Shard, SocketAddr),
    /// The shard's owner, another VM, has changed.
    Owner(Shard, SocketAddr),
    /// The shard's owner is not heard any more.
    Lost(Shard, SocketAddr),
    /// This VM has given the shard up, as its minions obey another VM.
    Contested(Shard),
}

/// The VMs and shards as one VM sees them.
#[derive(Debug)]
pub struct Peers {
    pub(crate) cfg: OwnershipConfig,
    pub(crate) me: VmInfo,
    pub(crate) started: Timestamp,
    pub(crate) peers: HashMap<Ipv4Addr, Peer>,
    pub(crate) owners: HashMap<Shard, Owner>,
    /// Shards that this VM owns.
    pub(crate) mine: HashMap<Shard, Claim>,
    /// The highest epoch heard of.
    pub(crate) epochs: HashMap<Shard, Epoch>,
    /// Since when a shard has had no owner.
    pub(crate) vacant: HashMap<Shard, Timestamp>,
    /// Owners that are not heard any more, and since when.
    pub(crate) lost: HashMap<SocketAddr, Timestamp>,
    /// Losses of minions of own shards.
    pub(crate) losses: HashMap<Shard, Losses>,
    /// Shards that were given up as contested.
    pub(crate) yielded: HashMap<Shard, Yielded>,
}

impl Peers {
    /// Starts with nothing known.
    pub fn new(cfg: OwnershipConfig, me: VmInfo, now: Timestamp) -> Peers {
        Peers {
            cfg,
            me,
            started: now,
            peers: HashMap::default(),
            owners: HashMap::default(),
            mine: HashMap::default(),
            epochs: HashMap::default(),
            vacant: HashMap::default(),
            lost: HashMap::default(),
            losses: HashMap::default(),
            yielded: HashMap::default(),
        }
    }

    /// Returns who this VM is.
    pub fn me(&self) -> &VmInfo {
        &self.me
    }

    /// Notes an address where a VM may be.
    pub fn hint(&mut self, addr: Ipv4Addr, now: Timestamp) {
        if SocketAddr::from((addr, 0)).ip() == self.me.addr.ip() {
            return;
        }
        self.peers.entry(addr).or_insert(Peer {
            info: None,
            heard: now,
            since: now,
            version: 0,
        });
    }

    /// Tells whether a VM is new to this one, and should hear from it at once.
    pub fn is_new(&self, from: &VmInfo) -> bool {
        let std::net::IpAddr::V4(ip) = from.addr.ip() else {
            return false;
        };
        let known = self.peers.get(&ip).and_then(|p| p.info.as_ref());
        known.is_none_or(|info| info.incarnation != from.incarnation)
    }

    /// Returns a VM that was heard of lately.
    pub fn any(&self, now: Timestamp) -> Option<SocketAddr> {
        self.alive(now).map(|vm| vm.addr).min()
    }

    /// Takes note of a beat.
    pub fn hear(&mut self, beat: Beat, now: Timestamp) -> Vec<Change> {
        let std::net::IpAddr::V4(ip) = beat.from.addr.ip() else {
            return Vec::new();
        };
        if beat.from.addr == self.me.addr {
            return Vec::new();
        }
        for addr in beat.known {
            self.hint(addr, now);
        }
        let from = beat.from.addr;
        let leaving = beat.from.leaving;
        let peer = Peer {
            since: self.heard_since(ip, &beat.from, now),
            info: Some(beat.from),
            heard: now,
            version: beat.version,
        };
        self.peers.insert(ip, peer);
        // An owner that no longer reports a shard has given it up.
        let kept = |shard: &Shard| beat.reports.iter().any(|r| r.shard == *shard);
        self.owners
            .retain(|shard, owner| owner.claim.addr != from || kept(shard));
        let reports = beat.reports.into_iter();
        reports
            .filter_map(|report| self.hear_report(report, leaving, now))
            .collect()
    }

    fn heard_since(&self, ip: Ipv4Addr, from: &VmInfo, now: Timestamp) -> Timestamp {
        let gapless = |p: &&Peer| now.since(p.heard) < self.cfg.idle_silence;
        let known = self.peers.get(&ip).filter(gapless);
        let same = known.filter(|p| {
            let info = p.info.as_ref();
            info.is_some_and(|i| i.incarnation == from.incarnation)
        });
        same.map_or(now, |p| p.since)
    }

    fn hear_report(&mut self, report: Report, leaving: bool, now: Timestamp) -> Option<Change> {
        let Report { shard, claim, load } = report;
        let epoch = self.epochs.entry(shard.clone()).or_default();
        *epoch = (*epoch).max(claim.epoch);
        if let Some(mine) = self.mine.get(&shard) {
            if !claim.beats(mine) || leaving {
                return None;
            }
            self.mine.remove(&shard);
            self.own(&shard, claim, load, now);
            return Some(Change::Yielded(shard, claim.addr));
        }
        let known = self.owners.get(&shard).map(|o| o.claim);
        if let Some(known) = known
            && known.addr != claim.addr
            && known.beats(&claim)
        {
            return None;
        }
        self.own(&shard, claim, load, now);
        let same = known.is_some_and(|k| k.addr == claim.addr);
        (!same).then_some(Change::Owner(shard, claim.addr))
    }

    fn own(&mut self, shard: &Shard, claim: Claim, load: Load, now: Timestamp) {
        self.vacant.remove(shard);
        let owner = Owner {
            claim,
            load,
            heard: now,
        };
        self.owners.insert(shard.clone(), owner);
    }

    /// Tells whether this VM has started so lately that shards are only being
    /// taken.
    pub fn starting(&self, now: Timestamp) -> bool {
        now.since(self.started) < self.cfg.start_span
    }

    /// Does what time asks for, given the shards that there are.
    pub fn tick(&mut self, shards: &[Shard], now: Timestamp) -> Vec<Change> {
        let mut changes = Vec::new();
        let silence = self.cfg.silence;
        self.owners.retain(|shard, owner| {
            let alive = now.since(owner.heard) < silence;
            if !alive {
                self.lost.insert(owner.claim.addr, now);
                changes.push(Change::Lost(shard.clone(), owner.claim.addr));
            }
            alive
        });
        let forget = self.cfg.forget;
        self.peers.retain(|_, p| now.since(p.heard) < forget);
        self.lost.retain(|_, at| now.since(*at) < LOSS_SPAN);
        changes.extend(self.give_up_contested(now));
        // Remembered for a while longer, so that the next time is longer.
        let most = self.cfg.yield_most;
        self.yielded.retain(|_, y| now < y.until.after(most));
        if self.me.leaving || now.since(self.started) < self.cfg.listen {
            return changes;
        }
        for shard in shards {
            let left_alone = self.yielded.get(shard).is_some_and(|y| now < y.until);
            if self.mine.contains_key(shard) || self.owners.contains_key(shard) || left_alone {
                continue;
            }
            let since = *self.vacant.entry(shard.clone()).or_insert(now);
            let Some(delay) = self.delay(shard, now) else {
                continue;
            };
            if now.micros_since(since) >= delay {
                let epoch = self.claim(shard);
                changes.push(Change::Taken(shard.clone(), epoch));
            }
        }
        changes
    }

    /// Returns after how many microseconds without owner this VM takes a shard.
    fn delay(&self, shard: &Shard, now: Timestamp) -> Option<u64> {
        let mine = score(shard, &self.me);
        let before = self.alive(now).filter(|vm| !vm.leaving);
        let before = before.filter(|vm| score(shard, vm) > mine);
        let before: Vec<_> = before.map(|vm| vm.domain == shard.domain).collect();
        let rank = before.len() as u64;
        let mut delay = rank * self.cfg.stagger.micros();
        if self.me.domain != shard.domain {
            // Its own domain's VMs reach the minions best.
            if before.contains(&true) {
                return None;
            }
            delay += self.cfg.abroad.micros();
        }
        Some(delay)
    }

    /// Returns how many VMs of this one's domain would take a shard before it.
    pub fn rank(&self, shard: &Shard, now: Timestamp) -> usize {
        let mine = score(shard, &self.me);
        let alive = self.alive(now).filter(|vm| !vm.leaving);
        let home = alive.filter(|vm| vm.domain == self.me.domain);
        home.filter(|vm| score(shard, vm) > mine).count()
    }

    fn claim(&mut self, shard: &Shard) -> Epoch {
        let epoch = self.epochs.entry(shard.clone()).or_default();
        epoch.0 += 1;
        let claim = Claim {
            home: self.me.domain == shard.domain,
            epoch: *epoch,
            share: self.me.share,
            addr: self.me.addr,
        };
        self.vacant.remove(shard);
        self.mine.insert(shard.clone(), claim);
        claim.epoch
    }

    /// Takes a shard at once, because its owner hands it over.
    pub fn accept(&mut self, shard: &Shard) -> Epoch {
        self.owners.remove(shard);
        self.claim(shard)
    }

    /// Stops taking shards.
    pub fn leave(&mut self) {
        self.me.leaving = true;
    }

    /// Gives up a shard that another VM has accepted.
    pub fn hand_over(&mut self, shard: &Shard, to: SocketAddr, now: Timestamp) {
        if let Some(mine) = self.mine.remove(shard) {
            let claim = Claim {
                epoch: Epoch(mine.epoch.0 + 1),
                addr: to,
                ..mine
            };
            self.own(shard, claim, Load::default(), now);
        }
    }

    /// Returns the VM that should take over a shard of this one, from another
    /// domain only if `anywhere`.
    pub fn successor(&self, shard: &Shard, anywhere: bool, now: Timestamp) -> Option<VmInfo> {
        let fit = self.alive(now).filter(|vm| !vm.leaving);
        let fit = fit.filter(|vm| anywhere || vm.domain == shard.domain);
        fit.max_by_key(|vm| (vm.domain == shard.domain, vm.share, vm.addr))
            .cloned()
    }

    /// Returns the VM that should have a shard of ours in our place: one of the
    /// shard's domain where we are not, or one of at least twice our size. It
    /// must have been there for a while, as each change costs some work.
    pub fn better_owner(&self, shard: &Shard, now: Timestamp) -> Option<SocketAddr> {
        let best = self.successor(shard, false, now)?;
        let IpAddr::V4(ip) = best.addr.ip() else {
            return None;
        };
        let settled = self.peers.get(&ip)?.since.after(self.cfg.settle) <= now;
        let own = self.started.after(self.cfg.settle) <= now;
        let away = self.me.domain != shard.domain;
        let larger = best.share >= self.me.share.saturating_mul(2);
        (settled && own && (away || larger)).then_some(best.addr)
    }

    /// Returns the VMs heard of lately.
    pub fn alive(&self, now: Timestamp) -> impl Iterator<Item = &VmInfo> {
        let silence = self.cfg.idle_silence;
        let heard = self
            .peers
            .values()
            .filter(move |p| now.since(p.heard) < silence);
        heard.filter_map(|p| p.info.as_ref())
    }

    /// Tells whether a VM was heard within the time of an owner's silence.
    pub fn heard(&self, addr: SocketAddr, now: Timestamp) -> bool {
        let std::net::IpAddr::V4(ip) = addr.ip() else {
            return false;
        };
        let silence = self.cfg.silence;
        let peer = self.peers.get(&ip);
        peer.is_some_and(|p| now.since(p.heard) < silence)
    }

    /// Takes note of a sign of life other than a beat.
    pub fn touch(&mut self, addr: SocketAddr, now: Timestamp) {
        if let std::net::IpAddr::V4(ip) = addr.ip() {
            self.hint(ip, now);
            if let Some(peer) = self.peers.get_mut(&ip) {
                peer.heard = now;
            }
        }
    }

    /// Returns all addresses where a VM may be.
    pub fn addrs(&self) -> impl Iterator<Item = Ipv4Addr> {
        self.peers.keys().copied()
    }

    /// Returns the newest VM with a configuration later than `version`.
    pub fn ahead(&self, version: u64, now: Timestamp) -> Option<SocketAddr> {
        let silence = self.cfg.idle_silence;
        let heard = self.peers.values();
        let heard = heard.filter(|p| p.version > version && now.since(p.heard) < silence);
        let newest = heard.max_by_key(|p| p.version)?;
        newest.info.as_ref().map(|i| i.addr)
    }

    /// Returns a shard's owner, other than this VM.
    pub fn owner(&self, shard: &Shard) -> Option<&Owner> {
        self.owners.get(shard)
    }

    /// Returns the shards of other VMs and their owners.
    pub fn owners(&self) -> impl Iterator<Item = (&Shard, &Owner)> {
        self.owners.iter()
    }

    /// Returns the shards of this VM.
    pub fn mine(&self) -> impl Iterator<Item = (&Shard, &Claim)> {
        self.mine.iter()
    }

    /// Tells whether this VM owns a shard.
    pub fn owns(&self, shard: &Shard) -> bool {
        self.mine.contains_key(shard)
    }
}

/// Ranks a VM as a shard's owner: those of its domain first, then the largest;
/// the hash spreads shards over equal VMs.
fn score(shard: &Shard, vm: &VmInfo) -> (bool, u32, u128) {
    let key = format!("{shard} {}", vm.addr);
    (
        vm.domain == shard.domain,
        vm.share,
        key_hash(key.as_bytes()),
    )
}
