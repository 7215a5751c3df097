//! What a VM learns from answers and from peers' evidence, and whom it ejects
//! (docs/design/routing.md#outliers).

use std::sync::Arc;
use std::sync::atomic::Ordering;

use kernel::{Domain, HashMap, Millis, Timestamp};

use crate::demand::Demand;
use crate::digest::Evidence;
use crate::fleet::lock;
use crate::health::{Mode, fails_needed};
use crate::minion::Node;
use crate::shared::{Shared, closed};
use crate::slot::Finish;
use crate::table::Table;

/// A VM whose turn it is not waits this much longer before it probes.
const PROBE_TURN: Millis = Millis(2000);

/// Tasks in flight for so many mean run times make a minion suspect.
const STUCK: u64 = 6;

/// A single task in flight may take so many mean run times.
const STUCK_ALONE: u64 = 12;

/// The weight of one answer in the ordinary failure rate.
const RATE_WEIGHT: f64 = 1.0 / 512.0;

impl Shared {
    /// Suspects minions whose tasks have been in flight for too long.
    pub(crate) fn suspect_stuck(&self, table: &Table, now: Timestamp) {
        for offer in table.offers.values() {
            let run = offer.demand.run();
            for at in offer.local.iter() {
                let state = &table.nodes[at].state;
                let held = state.held.read();
                let alone = held.count() == 1;
                let factor = if alone { STUCK_ALONE } else { STUCK };
                if held.age(now) > factor * run && state.mode() == Mode::Normal {
                    set_mode(&table.nodes[at], Mode::Suspect);
                }
            }
        }
    }

    /// Readmits the minions whose hold ends first where too many are ejected,
    /// because then the fault is likely elsewhere.
    pub(crate) fn bound_ejections(&self, table: &Table, now: Timestamp) {
        let mut domains: HashMap<&Domain, (usize, Vec<&Arc<Node>>)> = HashMap::default();
        for node in table.nodes.iter().filter(|n| !n.info.leaving) {
            let (all, held) = domains.entry(&node.info.domain).or_default();
            *all += 1;
            if node.state.mode() == Mode::Ejected && closed(node) > now {
                held.push(node);
            }
        }
        for (all, mut held) in domains.into_values() {
            let max = max_ejected(all, self.cfg.eject_max);
            if held.len() <= max {
                continue;
            }
            held.sort_by_key(|n| closed(n));
            for node in &held[..held.len() - max] {
                set_mode(node, Mode::Suspect);
                node.state.closed.store(0, Ordering::Relaxed);
            }
        }
    }

    /// Learns from the end of a task.
    pub(crate) fn learn(&self, node: &Arc<Node>, demand: &Demand, end: Finish, now: Timestamp) {
        self.learn_domain(node, end, now);
        match end {
            Finish::Answered { run } => self.answered(node, demand.ran(run), now),
            Finish::TaskFailed | Finish::Lost => self.failed(node, now),
            Finish::NotStarted => {
                self.budget.spend();
                let back = lock(&node.state.health).refused();
                node.state.close(now.after(back));
            }
            Finish::Cancelled => {}
        }
    }

    /// Learns what the end of a task shows of another domain.
    fn learn_domain(&self, node: &Node, end: Finish, now: Timestamp) {
        let domain = &node.info.domain;
        if *domain == self.home {
            return;
        }
        match end {
            Finish::Answered { .. } | Finish::TaskFailed => lock(&self.remotes).answered(domain),
            Finish::Lost | Finish::NotStarted => lock(&self.remotes).failed(domain, now),
            Finish::Cancelled => {}
        }
    }

    /// Notes a good answer.
    fn answered(&self, node: &Arc<Node>, ratio: f64, now: Timestamp) {
        self.count_rate(false);
        let mode = node.state.mode();
        let slow = lock(&node.state.health).answered(ratio, mode != Mode::Normal);
        if slow && self.outliers {
            self.eject(node, now);
            return;
        }
        // A task sent before the hold may answer during it; only a probe
        // readmits.
        if mode == Mode::Ejected && closed(node) > now {
            return;
        }
        set_mode(node, Mode::Normal);
        node.state.closed.store(0, Ordering::Relaxed);
    }

    /// Notes a failure.
    fn failed(&self, node: &Arc<Node>, now: Timestamp) {
        let own = lock(&node.state.health).failed();
        // Only the first of a row counts, or one bad minion would raise the
        // rate that it is judged by.
        if own == 1 {
            self.count_rate(true);
        }
        if self.outliers {
            self.judge(node, own, now);
        }
    }

    /// Ejects a minion that failed too often over all VMs, or suspects it.
    fn judge(&self, node: &Arc<Node>, own: u32, now: Timestamp) {
        let held = node.state.mode() == Mode::Ejected && closed(node) > now;
        if held {
            return;
        }
        let rate = f64::from_bits(self.rate.load(Ordering::Relaxed));
        let probe = node.state.mode() == Mode::Ejected;
        if probe || own + self.peer_fails(node) >= fails_needed(rate) {
            self.eject(node, now);
        } else {
            set_mode(node, Mode::Suspect);
        }
    }

    /// Counts the failures in a row that peers reported of a minion.
    fn peer_fails(&self, node: &Node) -> u32 {
        let peers = lock(&self.peers);
        let all = peers.values().flat_map(|p| &p.digest.evidence);
        all.filter(|e| e.minion == node.hash)
            .map(|e| u32::from(e.fails))
            .sum()
    }

    /// Starts a hold. One VM of the domain probes first, the others later, so
    /// that a probe costs one job and not one for each VM.
    fn eject(&self, node: &Arc<Node>, now: Timestamp) {
        let end = lock(&node.state.health).hold(&self.cfg, now);
        set_mode(node, Mode::Ejected);
        node.state.close(self.turn(node, end));
    }

    /// Returns when this VM may probe a minion whose hold ends at `end`.
    fn turn(&self, node: &Node, end: Timestamp) -> Timestamp {
        let place = u64::from(self.place(node));
        end.after(Millis(PROBE_TURN.0 * place))
    }

    /// Moves the ordinary failure rate.
    fn count_rate(&self, failed: bool) {
        let rate = f64::from_bits(self.rate.load(Ordering::Relaxed));
        // Without failures, threads would write the same zero over and over.
        if !failed && rate < RATE_WEIGHT * RATE_WEIGHT {
            return;
        }
        let seen = if failed { 1.0 } else { 0.0 };
        let next = rate + RATE_WEIGHT * (seen - rate);
        self.rate.store(next.to_bits(), Ordering::Relaxed);
    }

    /// Acts on a peer's evidence.
    pub(crate) fn weigh(&self, evidence: &[Evidence], now: Timestamp) {
        let table = self.table.load();
        for seen in evidence {
            let known = table.home.iter().map(|&at| &table.nodes[at]);
            let Some(node) = known.clone().find(|n| n.hash == seen.minion) else {
                continue;
            };
            if seen.hold > Millis(0) {
                set_mode(node, Mode::Ejected);
                node.state.close(self.turn(node, now.after(seen.hold)));
                continue;
            }
            let own = lock(&node.state.health).fails;
            if seen.fails > 0 {
                self.judge(node, own, now);
            }
        }
    }
}

/// Returns how many of a domain's minions may be ejected.
fn max_ejected(all: usize, percent: u32) -> usize {
    let part = all * percent as usize / 100;
    let least = usize::from(all >= 2 && percent > 0);
    part.max(least)
}

/// Sets how far a minion is trusted.
fn set_mode(node: &Node, mode: Mode) {
    node.state.mode.store(mode as u8, Ordering::Relaxed);
}

/// Returns what this VM itself has against a minion.
pub(crate) fn evidence(node: &Node, now: Timestamp) -> Option<Evidence> {
    let health = lock(&node.state.health);
    let hold = health.until.since(now);
    if health.fails == 0 && hold == Millis(0) {
        return None;
    }
    Some(Evidence {
        minion: node.hash,
        fails: health.fails.min(255) as u8,
        hold,
    })
}
