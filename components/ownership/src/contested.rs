//! Shards whose minions another VM takes, because neither hears the other: who
//! goes on owning them is decided by who hears most of the others.

use std::cmp::Ordering;
use std::net::IpAddr;

use kernel::{Epoch, Millis, Timestamp};

use crate::peers::{Change, Peer, Peers};
use crate::shard::Shard;

/// How long the loss of an owner or a minion counts.
pub(crate) const LOSS_SPAN: Millis = Millis(5_000);

/// Minions of a shard that another VM has taken.
#[derive(Debug, Clone, Default)]
pub(crate) struct Losses {
    /// How many minions the shard has.
    pub minions: usize,
    /// When each loss was.
    pub times: Vec<Timestamp>,
}

/// A shard that was given up as contested.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Yielded {
    /// Until when it is left alone.
    pub until: Timestamp,
    /// How often in a row.
    pub times: u32,
}

impl Peers {
    /// Takes note that another VM has taken a minion of a shard of ours, one of
    /// `minions`.
    pub fn lost_minion(&mut self, shard: &Shard, minions: usize, now: Timestamp) {
        let losses = self.losses.entry(shard.clone()).or_default();
        losses.minions = minions;
        losses.times.push(now);
    }

    /// Tells whether this VM is likely cut off from the others: it has lost
    /// several owners at once and hears none, or hears few VMs.
    pub fn cut_off(&self, now: Timestamp) -> bool {
        let lost = self.lost.values();
        let lost = lost.filter(|at| now.since(**at) < LOSS_SPAN);
        let owners_lost = self.owners.is_empty() && lost.count() >= 2;
        owners_lost || self.minority(now)
    }

    /// Tells whether this VM hears less than half of the VMs that there were
    /// lately, or has never heard any. Of two halves the one without the lowest
    /// address counts as the smaller.
    fn minority(&self, now: Timestamp) -> bool {
        let known = self.peers.iter().filter(|(_, p)| p.info.is_some());
        let heard = |p: &Peer| now.since(p.heard) < self.cfg.alone;
        let (heard, silent): (Vec<_>, Vec<_>) = known.partition(|(_, p)| heard(p));
        if heard.is_empty() && silent.is_empty() {
            return now.since(self.started) >= self.cfg.alone;
        }
        let ours = heard.len() + 1;
        match ours.cmp(&silent.len()) {
            Ordering::Less => true,
            Ordering::Greater => false,
            Ordering::Equal => {
                let lowest = silent.iter().map(|(ip, _)| IpAddr::V4(**ip)).min();
                let others = heard.iter().map(|(ip, _)| IpAddr::V4(**ip));
                lowest < others.chain([self.me.addr.ip()]).min()
            }
        }
    }

    /// Gives up the shards whose minions another VM takes while this one hears
    /// few others: callers do better with the one that most of them hear.
    pub(crate) fn give_up_contested(&mut self, now: Timestamp) -> Vec<Change> {
        self.losses.retain(|_, losses| {
            losses.times.retain(|at| now.since(*at) < LOSS_SPAN);
            !losses.times.is_empty()
        });
        if self.losses.is_empty() || !self.cut_off(now) {
            return Vec::new();
        }
        let contested = self
            .losses
            .iter()
            .filter(|(_, l)| l.times.len() * 2 >= l.minions);
        let contested: Vec<Shard> = contested.map(|(shard, _)| shard.clone()).collect();
        let mut changes = Vec::new();
        for shard in contested {
            self.losses.remove(&shard);
            let Some(claim) = self.mine.remove(&shard) else {
                continue;
            };
            // Nobody has heard the claim, so it must not win over theirs later.
            self.epochs
                .insert(shard.clone(), Epoch(claim.epoch.0.saturating_sub(1)));
            let times = self.yielded.get(&shard).map_or(0, |y| y.times);
            let span = self.cfg.yield_time.0 << times.min(16);
            let until = now.after(Millis(span).min(self.cfg.yield_most));
            let yielded = Yielded {
                until,
                times: times + 1,
            };
            self.yielded.insert(shard.clone(), yielded);
            changes.push(Change::Contested(shard));
        }
        changes
    }
}
