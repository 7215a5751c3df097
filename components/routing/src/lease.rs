//! Soft leases on slots, which the VMs of a domain pass to each other in their
//! digests (docs/design/routing.md#slots). The leases of all VMs on a minion
//! add up to its slots, so that a task on a leased slot is not refused. A lost
//! digest or VM breaks this sum, which is repaired a few digests later.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use kernel::{HashMap, Millis, Timestamp, VmId};

use crate::digest::{Digest, Grant, MAX_LOADS};
use crate::health::Mode;
use crate::minion::Node;
use crate::shared::{Peer, Shared, closed_until};
use crate::table::Table;

/// Largest number of grants in a digest.
const MAX_GRANTS: usize = 128;

/// Number of digests in a row in which the leases on a minion must differ from
/// its slots before the difference is repaired.
const MAX_DRIFT: u32 = 5;

/// Shortest time between a digest and a following urgent one.
const URGENT_INTERVAL: Millis = Millis(25);

/// Shortest time between two checks whether an urgent digest is needed.
const CHECK_INTERVAL: Millis = Millis(2);

/// The spare leases of another VM.
struct PeerSpare {
    /// The rank of the VM among the live VMs of the domain.
    rank: u8,
    /// Its free leases less its waiting tasks.
    spare: i32,
}

impl Shared {
    /// Returns the free leases of this VM less its waiting tasks.
    pub(crate) fn spare(&self, table: &Table, now: Timestamp) -> i32 {
        let home = table.home.iter().map(|&at| &table.nodes[at]);
        let waiting = waiting(table);
        let free: u32 = home.map(|n| free_leases(n, waiting, now)).sum();
        free as i32 - waiting as i32
    }

    /// Returns whether a digest ahead of the next heartbeat would shorten
    /// waits: tasks wait here while a peer has spare leases, or the other way
    /// round. It returns false within [`URGENT_INTERVAL`] of the last digest.
    pub(crate) fn urgent(&self, now: Timestamp) -> bool {
        let last_digest = Timestamp(self.last_digest.load(Ordering::Relaxed));
        let last_check = Timestamp(self.last_check.load(Ordering::Relaxed));
        if now < last_digest.after(URGENT_INTERVAL) || now < last_check.after(CHECK_INTERVAL) {
            return false;
        }
        self.last_check.store(now.0, Ordering::Relaxed);
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

    /// Chooses the leases to grant so that all VMs get equally many spare ones,
    /// and subtracts them from the leases of this VM.
    pub(crate) fn balance(&self, table: &Table, now: Timestamp) -> Vec<Grant> {
        let mut peers = self.peers.lock().unwrap_or_else(|e| e.into_inner());
        self.repair(table, &peers);
        let mine = self.spare(table, now);
        let mut others: Vec<_> = peers
            .values()
            .filter(|p| p.digest.members == table.members)
            .map(|p| PeerSpare {
                rank: p.digest.rank,
                spare: p.digest.spare,
            })
            .collect();
        // The hash map has no fixed order; runs with one seed must not differ.
        others.sort_by_key(|o| o.rank);
        let mut grants = Vec::new();
        for (rank, count) in split_surplus(mine, &others) {
            self.hand_over(table, rank, count, now, &mut grants);
        }
        for peer in peers.values_mut() {
            add_grants(&mut peer.digest, &grants);
        }
        grants
    }

    /// Moves up to `count` free leases into `grants` for the VM of rank `rank`,
    /// starting with minions on which this VM has at least three free leases.
    fn hand_over(
        &self,
        table: &Table,
        rank: u8,
        mut count: u32,
        now: Timestamp,
        grants: &mut Vec<Grant>,
    ) {
        let waiting = waiting(table);
        for least in [3, 2, 1] {
            for (i, &at) in table.home.iter().enumerate().take(MAX_LOADS) {
                let node = &table.nodes[at];
                let free = free_leases(node, waiting, now);
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

    /// Applies the grants of a digest: adds those to this VM to its leases and
    /// updates the stored digests of the other receivers.
    pub(crate) fn apply_grants(&self, peers: &mut HashMap<VmId, Peer>, digest: &Digest) {
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
            add_grants(&mut peer.digest, &digest.grants);
        }
    }

    /// Repairs the leases after lost digests or VMs: one VM takes the leases
    /// that no VM has, and VMs with excess leases drop them, one VM at a time.
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

    /// Repairs the leases on one minion, on which the other VMs have `others`
    /// leases together.
    fn repair_one(&self, node: &Arc<Node>, others: u32) {
        let state = &node.state;
        let lease = state.lease.load(Ordering::Relaxed);
        let (all, slots) = (lease + others, node.info.slots.0);
        if all == slots {
            state.drift_count.store(0, Ordering::Relaxed);
            return;
        }
        let drift = state.drift_count.fetch_add(1, Ordering::Relaxed);
        let rank = self.rotated_rank(node);
        if drift < MAX_DRIFT + rank {
            return;
        }
        state.drift_count.store(0, Ordering::Relaxed);
        if all < slots && rank == 0 {
            state.lease.store(lease + slots - all, Ordering::Relaxed);
        } else if all > slots {
            state
                .lease
                .store(lease.saturating_sub(all - slots), Ordering::Relaxed);
        }
    }
}

/// Returns the number of tasks of this VM that wait for a slot.
fn waiting(table: &Table) -> u32 {
    table.services.values().map(|s| s.demand.waiting()).sum()
}

/// Returns the number of leases on a minion that no task uses. On a minion that
/// is not in normal mode this VM can use one lease at a time, so the others don't
/// count as long as a task runs there or waits to probe it. Without such a task
/// nothing here would clear the minion, so its leases must be free for peers,
/// which may see it as healthy.
fn free_leases(node: &Node, waiting: u32, now: Timestamp) -> u32 {
    if node.info.leaving || closed_until(node) > now {
        return 0;
    }
    let own = node.state.in_flight.count();
    if node.state.mode() != Mode::Normal && own + waiting > 0 {
        return 0;
    }
    let lease = node.state.lease.load(Ordering::Relaxed);
    lease.saturating_sub(own)
}

/// Adds the grants that a VM got since its last digest to that digest.
fn add_grants(digest: &mut Digest, grants: &[Grant]) {
    for grant in grants.iter().filter(|g| g.rank == digest.rank) {
        if let Some(lease) = digest.leases.get_mut(usize::from(grant.minion)) {
            *lease = lease.saturating_add(grant.slots);
        }
        digest.spare += i32::from(grant.slots);
    }
}

/// Splits the spare leases of this VM above the mean among the VMs below the
/// mean and returns the number for each rank. Each VM above the mean closes its
/// part of every gap, in proportion to its surplus.
fn split_surplus(mine: i32, others: &[PeerSpare]) -> Vec<(u8, u32)> {
    let all = mine + others.iter().map(|o| o.spare).sum::<i32>();
    let mean = all.div_euclid(others.len() as i32 + 1);
    let surplus = |spare: i32| (spare - mean).min(spare).max(0);
    let gap = |o: &PeerSpare| (mean - o.spare).max(0);
    let total_surplus: i32 = surplus(mine) + others.iter().map(|o| surplus(o.spare)).sum::<i32>();
    let total_gap: i32 = others.iter().map(gap).sum();
    if surplus(mine) == 0 || total_gap == 0 {
        return Vec::new();
    }
    let mut left = surplus(mine).min(div_up(total_gap * surplus(mine), total_surplus));
    let total = left;
    let mut grants = Vec::new();
    for other in others {
        let count = div_up(gap(other) * total, total_gap).min(left);
        left -= count;
        if count > 0 {
            grants.push((other.rank, count as u32));
        }
    }
    grants
}

/// Divides two positive numbers, rounding up.
fn div_up(a: i32, b: i32) -> i32 {
    (a + b - 1) / b
}
