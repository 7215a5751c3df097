//! Soft leases on slots, which VMs of a domain hand to each other on their
//! digests (docs/design/routing.md#slots). Over all VMs the leases on a minion
//! add up to its slots, so that a task on a leased slot is not refused. A lost
//! digest or VM leaves a difference, which is made up for a few digests later.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use kernel::{HashMap, Millis, Timestamp, VmId};

use crate::digest::{Digest, Grant, MAX_LOADS};
use crate::health::Mode;
use crate::minion::Node;
use crate::shared::{Peer, Shared, closed};
use crate::table::Table;

/// The most grants in a digest.
const MAX_GRANTS: usize = 128;

/// A difference between leases and slots that lasts so many digests is made
/// up for.
const DRIFT_MAX: u32 = 5;

/// The shortest time between a digest and an urgent one.
const URGENT: Millis = Millis(25);

/// How often leases are looked at for an urgent digest.
const LOOK: Millis = Millis(2);

/// Another VM's rank and spare leases.
struct Spare {
    /// The rank.
    rank: u8,
    /// Its spare leases.
    spare: i32,
}

impl Shared {
    /// Counts the free leases of this VM, less its tasks that wait.
    pub(crate) fn spare(&self, table: &Table, now: Timestamp) -> i32 {
        let home = table.home.iter().map(|&at| &table.nodes[at]);
        let free: u32 = home.map(|n| free_leases(n, now)).sum();
        let waiting = table.offers.values().map(|o| o.demand.waiting());
        free as i32 - waiting.sum::<u32>() as i32
    }

    /// Tells whether a digest ahead of the next heartbeat would shorten waits:
    /// tasks wait here while a peer has leases to spare, or the other way
    /// round. It is at most true once in [`URGENT`].
    pub(crate) fn urgent(&self, now: Timestamp) -> bool {
        let told = Timestamp(self.told.load(Ordering::Relaxed));
        let looked = Timestamp(self.looked.load(Ordering::Relaxed));
        if now < told.after(URGENT) || now < looked.after(LOOK) {
            return false;
        }
        self.looked.store(now.0, Ordering::Relaxed);
        let table = self.table.load();
        let mine = self.spare(&table, now);
        let peers = self.peers.lock().unwrap_or_else(|e| e.into_inner());
        let mut spares = peers.values().map(|p| p.digest.spare);
        if mine < 0 {
            spares.any(|n| n > 0)
        } else {
            mine > 0 && spares.any(|n| n < 0)
        }
    }

    /// Decides which leases to hand over, so that all VMs have as many spare,
    /// and takes them off.
    pub(crate) fn balance(&self, table: &Table, now: Timestamp) -> Vec<Grant> {
        let mut peers = self.peers.lock().unwrap_or_else(|e| e.into_inner());
        self.repair(table, &peers);
        let mine = self.spare(table, now);
        let mut others: Vec<_> = peers
            .values()
            .filter(|p| p.digest.members == table.members)
            .map(|p| Spare {
                rank: p.digest.rank,
                spare: p.digest.spare,
            })
            .collect();
        // Without this, equal runs would differ.
        others.sort_by_key(|o| o.rank);
        let mut grants = Vec::new();
        for (rank, count) in gifts(mine, &others) {
            self.hand_over(table, rank, count, now, &mut grants);
        }
        for peer in peers.values_mut() {
            note(&mut peer.digest, &grants);
        }
        grants
    }

    /// Takes up to `count` free leases off, from minions with most of them
    /// first, and writes them down as grants to `rank`.
    fn hand_over(
        &self,
        table: &Table,
        rank: u8,
        mut count: u32,
        now: Timestamp,
        grants: &mut Vec<Grant>,
    ) {
        for least in [3, 2, 1] {
            for (i, &at) in table.home.iter().enumerate().take(MAX_LOADS) {
                let node = &table.nodes[at];
                let free = free_leases(node, now);
                if count == 0 || grants.len() >= MAX_GRANTS {
                    return;
                }
                if free < least {
                    continue;
                }
                node.state.lease.fetch_sub(1, Ordering::Relaxed);
                count -= 1;
                grants.push(Grant {
                    minion: i as u16,
                    rank,
                    slots: 1,
                });
            }
        }
    }

    /// Takes in the leases that a digest hands over, to this VM or others.
    pub(crate) fn granted(&self, peers: &mut HashMap<VmId, Peer>, digest: &Digest) {
        let table = self.table.load();
        if digest.members != table.members {
            return;
        }
        let me = self.rank.load(Ordering::Relaxed) as u8;
        for grant in digest.grants.iter().filter(|g| g.rank == me) {
            if let Some(&at) = table.home.get(usize::from(grant.minion)) {
                let state = &table.nodes[at].state;
                state
                    .lease
                    .fetch_add(u32::from(grant.slots), Ordering::Relaxed);
            }
        }
        for peer in peers.values_mut() {
            note(&mut peer.digest, &digest.grants);
        }
    }

    /// Makes up for lost digests and VMs: one VM takes leases that nobody has,
    /// and VMs in turn give up leases that are one too many.
    fn repair(&self, table: &Table, peers: &HashMap<VmId, Peer>) {
        let known: Vec<_> = peers
            .values()
            .filter(|p| p.digest.members == table.members)
            .collect();
        if known.is_empty() {
            return;
        }
        for (i, &at) in table.home.iter().enumerate().take(MAX_LOADS) {
            let node = &table.nodes[at];
            let others = known.iter().filter_map(|p| p.digest.leases.get(i));
            let others: u32 = others.map(|&n| u32::from(n)).sum();
            self.repair_one(node, others);
        }
    }

    /// Repairs the leases on one minion, on which others have `others`.
    fn repair_one(&self, node: &Arc<Node>, others: u32) {
        let state = &node.state;
        let lease = state.lease.load(Ordering::Relaxed);
        let (all, slots) = (lease + others, node.info.slots.0);
        if all == slots {
            state.drift.store(0, Ordering::Relaxed);
            return;
        }
        let drift = state.drift.fetch_add(1, Ordering::Relaxed);
        let place = self.place(node);
        if drift < DRIFT_MAX + place {
            return;
        }
        state.drift.store(0, Ordering::Relaxed);
        if all < slots && place == 0 {
            state.lease.store(lease + slots - all, Ordering::Relaxed);
        } else if all > slots {
            state
                .lease
                .store(lease.saturating_sub(all - slots), Ordering::Relaxed);
        }
    }
}

/// Counts the leases on a minion that no task uses.
fn free_leases(node: &Node, now: Timestamp) -> u32 {
    if node.info.leaving || node.state.mode() != Mode::Normal || closed(node) > now {
        return 0;
    }
    let lease = node.state.lease.load(Ordering::Relaxed);
    lease.saturating_sub(node.state.held.count())
}

/// Notes in what a VM said last that it was granted leases since.
fn note(digest: &mut Digest, grants: &[Grant]) {
    for grant in grants.iter().filter(|g| g.rank == digest.rank) {
        if let Some(lease) = digest.leases.get_mut(usize::from(grant.minion)) {
            *lease = lease.saturating_add(grant.slots);
        }
        digest.spare += i32::from(grant.slots);
    }
}

/// Splits what this VM has above the mean among those below it. VMs above the
/// mean each fill the same part of every gap.
fn gifts(mine: i32, others: &[Spare]) -> Vec<(u8, u32)> {
    let all = mine + others.iter().map(|o| o.spare).sum::<i32>();
    let mean = all.div_euclid(others.len() as i32 + 1);
    let surplus = |spare: i32| (spare - mean).min(spare).max(0);
    let gap = |o: &Spare| (mean - o.spare).max(0);
    let given: i32 = surplus(mine) + others.iter().map(|o| surplus(o.spare)).sum::<i32>();
    let gaps: i32 = others.iter().map(gap).sum();
    if surplus(mine) == 0 || gaps == 0 {
        return Vec::new();
    }
    let mut left = surplus(mine).min(div_up(gaps * surplus(mine), given));
    let all = left;
    let mut gifts = Vec::new();
    for other in others {
        let count = div_up(gap(other) * all, gaps).min(left);
        left -= count;
        if count > 0 {
            gifts.push((other.rank, count as u32));
        }
    }
    gifts
}

/// Divides and rounds up; both numbers are positive.
fn div_up(a: i32, b: i32) -> i32 {
    (a + b - 1) / b
}
