//! Detects failing, slow and stuck minions from answers and from the evidence
//! of peers, and ejects them (docs/design/routing.md#outliers).

use std::sync::Arc;
use std::sync::atomic::Ordering;

use kernel::{Domain, HashMap, Millis, Timestamp};

use crate::demand::Demand;
use crate::digest::Evidence;
use crate::fleet::lock;
use crate::health::{Mode, eject_threshold};
use crate::minion::Node;
use crate::shared::{Shared, closed_until};
use crate::slot::Finish;
use crate::table::Table;

/// Delay of the probes of one VM after those of the VM before it in rank.
const PROBE_DELAY: Millis = Millis(2000);

/// Mean time in flight, in mean run times of the service, above which a minion
/// becomes suspect.
const STUCK_FACTOR: u64 = 6;

/// The same limit where a single task is in flight.
const SINGLE_STUCK_FACTOR: u64 = 12;

/// Weight of one answer in the ordinary failure rate.
const RATE_WEIGHT: f64 = 1.0 / 512.0;

impl Shared {
    /// Marks minions as suspect whose tasks have been in flight for too long.
    pub(crate) fn suspect_stuck(&self, table: &Table, now: Timestamp) {
        for service in table.services.values() {
            let run = service.demand.mean_run();
            for at in service.local.iter() {
                let state = &table.nodes[at].state;
                let tasks = state.in_flight.read();
                let single = tasks.count() == 1;
                let factor = if single {
                    SINGLE_STUCK_FACTOR
                } else {
                    STUCK_FACTOR
                };
                if tasks.mean_age(now) > factor * run && state.mode() == Mode::Normal {
                    set_mode(&table.nodes[at], Mode::Suspect);
                }
            }
        }
    }

    /// Readmits minions of domains where too many are ejected, those whose hold
    /// ends first, because the fault is then probably not in the minions.
    pub(crate) fn bound_ejections(&self, table: &Table, now: Timestamp) {
        let mut domains: HashMap<&Domain, (usize, Vec<&Arc<Node>>)> = HashMap::default();
        for node in table.nodes.iter().filter(|n| !n.info.leaving) {
            let (all, ejected) = domains.entry(&node.info.domain).or_default();
            *all += 1;
            if node.state.mode() == Mode::Ejected && closed_until(node) > now {
                ejected.push(node);
            }
        }
        for (all, mut ejected) in domains.into_values() {
            let max = max_ejected(all, self.cfg.eject_max);
            if ejected.len() <= max {
                continue;
            }
            ejected.sort_by_key(|n| closed_until(n));
            for node in &ejected[..ejected.len() - max] {
                set_mode(node, Mode::Suspect);
                node.state.closed_until.store(0, Ordering::Relaxed);
            }
        }
    }

    /// Records how a task ended.
    pub(crate) fn record_outcome(
        &self,
        node: &Arc<Node>,
        demand: &Demand,
        end: Finish,
        now: Timestamp,
    ) {
        self.record_domain(node, end, now);
        match end {
            Finish::Answered { run } => self.record_answer(node, demand.record_run(run), now),
            Finish::TaskFailed | Finish::Lost => self.record_failure(node, now),
            Finish::NotStarted => {
                self.budget.spend();
                let backoff = lock(&node.state.health).record_refusal();
                node.state.close_until(now.after(backoff));
            }
            Finish::Cancelled => {}
        }
    }

    /// Records how a task in another domain ended.
    fn record_domain(&self, node: &Node, end: Finish, now: Timestamp) {
        let domain = &node.info.domain;
        if *domain == self.home {
            return;
        }
        match end {
            Finish::Answered { .. } | Finish::TaskFailed => {
                lock(&self.remotes).record_answer(domain)
            }
            Finish::Lost | Finish::NotStarted => lock(&self.remotes).record_failure(domain, now),
            Finish::Cancelled => {}
        }
    }

    /// Records a good answer: ejects the minion if it is slow, or else readmits
    /// it.
    fn record_answer(&self, node: &Arc<Node>, ratio: f64, now: Timestamp) {
        self.update_rate(false);
        let mode = node.state.mode();
        let slow = lock(&node.state.health).record_answer(ratio, mode != Mode::Normal);
        if slow && self.outliers {
            self.eject(node, now);
            return;
        }
        // A task that was sent before the hold may be answered during it. Only
        // a probe readmits the minion.
        if mode == Mode::Ejected && closed_until(node) > now {
            return;
        }
        set_mode(node, Mode::Normal);
        node.state.closed_until.store(0, Ordering::Relaxed);
    }

    /// Records a failure.
    fn record_failure(&self, node: &Arc<Node>, now: Timestamp) {
        let own = lock(&node.state.health).record_failure();
        // Only the first failure in a row counts, or one bad minion would raise
        // the ordinary failure rate and with it its own threshold.
        if own == 1 {
            self.update_rate(true);
        }
        if self.outliers {
            self.eject_or_suspect(node, own, now);
        }
    }

    /// Ejects a minion with too many failures in a row, counted over all VMs;
    /// with fewer it becomes suspect.
    fn eject_or_suspect(&self, node: &Arc<Node>, own: u32, now: Timestamp) {
        let on_hold = node.state.mode() == Mode::Ejected && closed_until(node) > now;
        if on_hold {
            return;
        }
        let rate = f64::from_bits(self.failure_rate.load(Ordering::Relaxed));
        let probe = node.state.mode() == Mode::Ejected;
        if probe || own + self.peer_failures(node) >= eject_threshold(rate) {
            self.eject(node, now);
        } else {
            set_mode(node, Mode::Suspect);
        }
    }

    /// Returns the number of failures in a row that peers reported for a
    /// minion.
    fn peer_failures(&self, node: &Node) -> u32 {
        let peers = lock(&self.peers);
        let all = peers.values().flat_map(|p| &p.digest.evidence);
        all.filter(|e| e.minion == node.hash)
            .map(|e| u32::from(e.fails))
            .sum()
    }

    /// Ejects a minion and starts its hold. The VMs of the domain probe it one
    /// after the other, so that a failed probe costs one job and not one per
    /// VM.
    fn eject(&self, node: &Arc<Node>, now: Timestamp) {
        let end = lock(&node.state.health).start_hold(&self.cfg, now);
        set_mode(node, Mode::Ejected);
        node.state.close_until(self.probe_time(node, end));
    }

    /// Returns the time from which this VM may probe a minion whose hold ends
    /// at `end`.
    fn probe_time(&self, node: &Node, end: Timestamp) -> Timestamp {
        let rank = u64::from(self.rotated_rank(node));
        end.after(Millis(PROBE_DELAY.0 * rank))
    }

    /// Updates the ordinary failure rate with one answer.
    fn update_rate(&self, failed: bool) {
        let rate = f64::from_bits(self.failure_rate.load(Ordering::Relaxed));
        // A rate near zero is left alone, so that threads don't contend to
        // write the same value.
        if !failed && rate < RATE_WEIGHT * RATE_WEIGHT {
            return;
        }
        let seen = if failed { 1.0 } else { 0.0 };
        let next = rate + RATE_WEIGHT * (seen - rate);
        self.failure_rate.store(next.to_bits(), Ordering::Relaxed);
    }

    /// Applies the evidence of a peer: ejects minions that it holds ejected and
    /// counts its failures towards those of this VM.
    pub(crate) fn apply_evidence(&self, evidence: &[Evidence], now: Timestamp) {
        let table = self.table.load();
        for seen in evidence {
            let known = table.home.iter().map(|&at| &table.nodes[at]);
            let Some(node) = known.clone().find(|n| n.hash == seen.minion) else {
                continue;
            };
            if seen.hold > Millis(0) {
                set_mode(node, Mode::Ejected);
                node.state
                    .close_until(self.probe_time(node, now.after(seen.hold)));
                continue;
            }
            let own = lock(&node.state.health).failures;
            if seen.fails > 0 {
                self.eject_or_suspect(node, own, now);
            }
        }
    }
}

/// Returns how many of a domain's `all` minions may be ejected.
fn max_ejected(all: usize, percent: u32) -> usize {
    let max = all * percent as usize / 100;
    let least = usize::from(all >= 2 && percent > 0);
    max.max(least)
}

/// Sets the mode of a minion.
fn set_mode(node: &Node, mode: Mode) {
    node.state.mode.store(mode as u8, Ordering::Relaxed);
}

/// Returns the evidence that this VM itself has against a minion, if any.
pub(crate) fn evidence(node: &Node, now: Timestamp) -> Option<Evidence> {
    let health = lock(&node.state.health);
    let hold = health.hold_end.since(now);
    if health.failures == 0 && hold == Millis(0) {
        return None;
    }
    Some(Evidence {
        minion: node.hash,
        fails: health.failures.min(255) as u8,
        hold,
    })
}
