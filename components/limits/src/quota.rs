//! Team quotas that hold over all VMs without a message per task. Each VM has a
//! part of each quota and lends the slots that it does not need to VMs that
//! request more. Loans are agreed in the regular heartbeats
//! (docs/design/limits.md#quotas).

use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use arc_swap::ArcSwap;
use kernel::{HashMap, Millis, Slots, Team, Timestamp, VmId, key_hash};
use serde::{Deserialize, Serialize};

use crate::counter::Counter;
use crate::ledger::Ledger;
use crate::share::Share;

/// The error that a team already holds all slots that this VM may give it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OverQuota;

impl fmt::Display for OverQuota {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the team's quota is used up")
    }
}

impl std::error::Error for OverQuota {}

/// A slot counted against a team's quota. Dropping the guard releases the slot.
#[derive(Debug)]
pub struct QuotaGuard {
    /// The counter of the team; `None` for a team without a quota.
    counter: Option<Arc<Counter>>,
}

impl Drop for QuotaGuard {
    fn drop(&mut self) {
        if let Some(counter) = &self.counter {
            counter.release();
        }
    }
}

/// A loan of slots from one VM to another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Loan {
    /// The hash of the other VM's id.
    pub vm: u64,
    /// The number of slots.
    pub slots: u32,
}

/// The part of a digest on one team.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamDigest {
    /// The hash of the team's name.
    pub team: u64,
    /// The number of slots that the team holds on the sender.
    pub held: u32,
    /// The number of slots requested there and not available since the last
    /// digest.
    pub want: u32,
    /// The slots that the sender lends, by borrower.
    pub lent: Vec<Loan>,
    /// The slots that the sender has borrowed and not given back, by lender.
    pub owed: Vec<Loan>,
}

/// A digest of a VM's quotas: about 20 bytes for each of at most 64 teams with
/// loans or requests.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct QuotaDigest {
    /// The serial number of the digest, counted by the sender.
    pub serial: u64,
    /// The serial of the last digest that the sender received from each VM.
    pub heard: Vec<(u64, u64)>,
    /// The teams for which there is something to report.
    pub teams: Vec<TeamDigest>,
}

impl QuotaDigest {
    /// Returns the part of the digest that one VM needs: the last serial
    /// received from it and the loans between it and the sender. With 40 VMs the
    /// serials of all others would take up most of a heartbeat.
    pub fn addressed_to(&self, vm: &VmId) -> QuotaDigest {
        let vm = vm_hash(vm);
        QuotaDigest {
            serial: self.serial,
            heard: self.heard.iter().filter(|h| h.0 == vm).copied().collect(),
            teams: self.teams.iter().filter_map(|t| t.addressed(vm)).collect(),
        }
    }
}

impl TeamDigest {
    /// Returns the digest with the loans of one VM only, or `None` where the
    /// sender neither requests slots nor has a loan to or from that VM.
    fn addressed(&self, vm: u64) -> Option<TeamDigest> {
        let loans_of = |loans: &[Loan]| -> Vec<Loan> {
            let found = loans.iter().filter(|l| l.vm == vm);
            found.copied().collect()
        };
        let (lent, owed) = (loans_of(&self.lent), loans_of(&self.owed));
        let empty = self.want == 0 && lent.is_empty() && owed.is_empty();
        (!empty).then_some(TeamDigest {
            team: self.team,
            held: self.held,
            want: self.want,
            lent,
            owed,
        })
    }
}

/// The status of a team's quota on this VM, shown to operators.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct QuotaStatus {
    /// The team that has the quota.
    pub team: Team,
    /// The quota over all VMs.
    pub quota: Slots,
    /// The number of slots that this VM may give the team now.
    pub limit: Slots,
    /// The number of slots that the team holds on this VM.
    pub held: Slots,
}

/// The quotas of all teams. Taking a slot changes a single atomic word.
#[derive(Debug)]
pub struct Quotas {
    /// The counters by team.
    counters: ArcSwap<HashMap<Team, Arc<Counter>>>,
    /// The loans between VMs.
    ledger: Mutex<Ledger>,
    /// The number of slots refused.
    refused: AtomicU64,
    /// The number of slots released that were not held, for counters that have
    /// been removed.
    past_violations: AtomicU64,
}

impl Quotas {
    /// Creates quotas without any team. A peer that sends no digest for `ttl`
    /// is dropped, with its loans.
    pub fn new(ttl: Millis) -> Quotas {
        Quotas {
            counters: ArcSwap::default(),
            ledger: Mutex::new(Ledger::new(ttl)),
            refused: AtomicU64::new(0),
            past_violations: AtomicU64::new(0),
        }
    }

    /// Replaces all quotas and this VM's part of them. Teams left out have no
    /// limit. Slots that teams hold stay counted.
    pub fn update(&self, quotas: &[(Team, Slots)], share: Share) {
        let mut ledger = self.ledger();
        let old = self.counters.load();
        let existing = |team: &Team| old.get(team).cloned().unwrap_or_default();
        let counters = quotas.iter().map(|(t, _)| (t.clone(), existing(t)));
        let mut counters: HashMap<Team, Arc<Counter>> = counters.collect();
        for (team, counter) in old.iter().filter(|(_, c)| c.read().1 > 0) {
            counters
                .entry(team.clone())
                .or_insert_with(|| counter.clone());
        }
        let removed = old.iter().filter(|(team, _)| !counters.contains_key(*team));
        let violations = removed.map(|(_, c)| u64::from(c.violations())).sum();
        self.past_violations
            .fetch_add(violations, Ordering::Relaxed);
        ledger.update(quotas, &counters, share);
        self.counters.store(Arc::new(counters));
    }

    /// Takes a slot of a team's quota.
    ///
    /// # Errors
    ///
    /// Returns [`OverQuota`] when the team holds all slots that this VM may
    /// give it.
    pub fn acquire(&self, team: &Team) -> Result<QuotaGuard, OverQuota> {
        let counters = self.counters.load();
        let Some(counter) = counters.get(team) else {
            return Ok(QuotaGuard { counter: None });
        };
        if !counter.try_take() {
            counter.add_wanted();
            self.refused.fetch_add(1, Ordering::Relaxed);
            return Err(OverQuota);
        }
        Ok(QuotaGuard {
            counter: Some(counter.clone()),
        })
    }

    /// Takes a slot of a team's quota, but does not request one from peers on
    /// failure, so that waiting tasks can try often. [`Quotas::report_waiting`] reports
    /// the number of waiting tasks instead.
    ///
    /// # Errors
    ///
    /// Returns [`OverQuota`] when the team holds all slots that this VM may
    /// give it.
    pub fn try_acquire(&self, team: &Team) -> Result<QuotaGuard, OverQuota> {
        let counter = self.counters.load().get(team).cloned();
        match counter {
            Some(counter) if !counter.try_take() => Err(OverQuota),
            counter => Ok(QuotaGuard { counter }),
        }
    }

    /// Records for the next digest how many tasks wait for a slot of a team.
    pub fn report_waiting(&self, team: &Team, tasks: usize) {
        if let Some(counter) = self.counters.load().get(team) {
            counter.raise_wanted(u32::try_from(tasks).unwrap_or(u32::MAX));
        }
    }

    /// Returns the number of slots that could be taken now, which is
    /// `usize::MAX` for a team without a quota.
    pub fn free_slots(&self, team: &Team) -> usize {
        let counters = self.counters.load();
        counters.get(team).map_or(usize::MAX, |counter| {
            let (limit, held) = counter.read();
            limit.saturating_sub(held) as usize
        })
    }

    /// Returns whether a slot could be taken now, without requesting one from
    /// peers.
    pub fn has_free_slot(&self, team: &Team) -> bool {
        self.free_slots(team) > 0
    }

    /// Adjusts the loans and builds the digest for the heartbeats to all other
    /// VMs.
    pub fn digest(&self, now: Timestamp) -> QuotaDigest {
        self.ledger().digest(now)
    }

    /// Applies the digest of another VM.
    pub fn apply_digest(&self, from: &VmId, digest: &QuotaDigest, now: Timestamp) {
        self.ledger().apply_digest(vm_hash(from), digest, now);
    }

    /// Returns the status of all quotas, shown to operators.
    pub fn status(&self) -> Vec<QuotaStatus> {
        self.ledger().status()
    }

    /// Returns the number of slots refused.
    pub fn refused(&self) -> u64 {
        self.refused.load(Ordering::Relaxed)
    }

    /// Returns how often a slot was released that was not held. Any value but
    /// zero is a bug in this crate.
    pub fn violations(&self) -> u64 {
        let counters = self.counters.load();
        let current: u64 = counters.values().map(|c| u64::from(c.violations())).sum();
        current + self.past_violations.load(Ordering::Relaxed)
    }

    /// Locks the ledger. No holder of the lock blocks on anything else.
    fn ledger(&self) -> MutexGuard<'_, Ledger> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the 8-byte hash of a VM's id.
pub(crate) fn vm_hash(vm: &VmId) -> u64 {
    key_hash(vm.as_str().as_bytes()) as u64
}

/// Returns the 8-byte hash of a team's name.
pub(crate) fn team_hash(team: &Team) -> u64 {
    key_hash(team.as_str().as_bytes()) as u64
}
