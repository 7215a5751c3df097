//! Contested shards. Two VMs that receive no heartbeats from each other may
//! both own a shard and take its minions from each other. The VM that reaches
//! fewer of the other VMs gives the shard up.

use std::cmp::Ordering;
use std::net::IpAddr;

use kernel::{Epoch, Millis, Timestamp};

use crate::config::OwnershipConfig;
use crate::peers::{Change, Peer, Peers};
use crate::shard::Shard;

/// Time for which the loss of an owner or a minion is counted.
pub(crate) const LOSS_WINDOW: Millis = Millis(5_000);

/// Losses of a shard's minions to another VM.
#[derive(Debug, Clone, Default)]
pub(crate) struct MinionLosses {
    /// Number of minions of the shard.
    pub minions: usize,
    /// Time of each loss.
    pub times: Vec<Timestamp>,
}

/// State of a shard that this VM gave up as contested.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Yielded {
    /// Time until which this VM does not retake the shard.
    pub until: Timestamp,
    /// Number of times in a row that the shard was given up.
    pub count: u32,
}

impl Peers {
    /// Records that another VM has taken a minion of a shard of this VM, which
    /// has `minions` in all.
    pub fn record_loss(&mut self, shard: &Shard, minions: usize, now: Timestamp) {
        let losses = self.minion_losses.entry(shard.clone()).or_default();
        losses.minions = minions;
        losses.times.push(now);
    }

    /// Returns whether this VM is probably isolated from the others: it has
    /// lost several owners at once and knows none, or it reaches only a
    /// minority of the VMs.
    pub fn is_isolated(&self, now: Timestamp) -> bool {
        let lost = self.lost_owners.values();
        let lost = lost.filter(|at| now.since(**at) < LOSS_WINDOW);
        let owners_lost = self.owners.is_empty() && lost.count() >= 2;
        owners_lost || self.in_minority(now)
    }

    /// Returns whether this VM reaches less than half of the recently known
    /// VMs, or has never received a heartbeat. Of two equal halves the one
    /// without the lowest address counts as the minority.
    fn in_minority(&self, now: Timestamp) -> bool {
        let known = self.peers.iter().filter(|(_, p)| p.info.is_some());
        let cfg = &self.cfg;
        let reaches = |p: &Peer| {
            let limit =
                OwnershipConfig::scaled(cfg.unreachable_after, cfg.idle_interval, p.interval);
            now.since(p.last_heartbeat) < limit
        };
        let (reached, unreached): (Vec<_>, Vec<_>) = known.partition(|(_, p)| reaches(p));
        if reached.is_empty() && unreached.is_empty() {
            return now.since(self.started) >= self.cfg.unreachable_after;
        }
        let ours = reached.len() + 1;
        match ours.cmp(&unreached.len()) {
            Ordering::Less => true,
            Ordering::Greater => false,
            Ordering::Equal => {
                let lowest = unreached.iter().map(|(ip, _)| IpAddr::V4(**ip)).min();
                let others = reached.iter().map(|(ip, _)| IpAddr::V4(**ip));
                lowest < others.chain([self.me.addr.ip()]).min()
            }
        }
    }

    /// Gives up the shards whose minions another VM takes while this one is
    /// isolated: callers are served better by the VM that most VMs reach.
    pub(crate) fn yield_contested(&mut self, now: Timestamp) -> Vec<Change> {
        self.minion_losses.retain(|_, losses| {
            losses.times.retain(|at| now.since(*at) < LOSS_WINDOW);
            !losses.times.is_empty()
        });
        if self.minion_losses.is_empty() || !self.is_isolated(now) {
            return Vec::new();
        }
        let contested = self
            .minion_losses
            .iter()
            .filter(|(_, l)| l.times.len() * 2 >= l.minions);
        let contested: Vec<Shard> = contested.map(|(shard, _)| shard.clone()).collect();
        let mut changes = Vec::new();
        for shard in contested {
            self.minion_losses.remove(&shard);
            let Some(claim) = self.claims.remove(&shard) else {
                continue;
            };
            // The other VMs do not know this claim, so its epoch must not make
            // a later claim of this VM win over theirs.
            self.epochs
                .insert(shard.clone(), Epoch(claim.epoch.0.saturating_sub(1)));
            let count = self.yielded.get(&shard).map_or(0, |y| y.count);
            let span = self.cfg.yield_time.0 << count.min(16);
            let until = now.after(Millis(span).min(self.cfg.max_yield));
            let yielded = Yielded {
                until,
                count: count + 1,
            };
            self.yielded.insert(shard.clone(), yielded);
            changes.push(Change::Contested(shard));
        }
        changes
    }
}
