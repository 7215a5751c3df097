//! Team quotas that hold over all VMs without a message per task. Each VM has
//! a part of each quota and lends what it does not need to VMs that ask for
//! more, on the heartbeats that flow anyway (docs/design/limits.md#quotas).

use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use arc_swap::ArcSwap;
use kernel::{HashMap, Millis, Slots, Team, Timestamp, VmId, key_hash};
use serde::{Deserialize, Serialize};

use crate::cell::Cell;
use crate::ledger::Ledger;
use crate::share::Share;

/// The team holds as many slots as this VM may give it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OverQuota;

impl fmt::Display for OverQuota {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the team's quota is used up")
    }
}

impl std::error::Error for OverQuota {}

/// A slot counted against a team's quota. Dropping it gives it back.
#[derive(Debug)]
pub struct QuotaGuard {
    /// The team's count; `None` for a team without a quota.
    cell: Option<Arc<Cell>>,
}

impl Drop for QuotaGuard {
    fn drop(&mut self) {
        if let Some(cell) = &self.cell {
            cell.release();
        }
    }
}

/// Slots lent by one VM to another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Loan {
    /// The hash of the other VM's id.
    pub vm: u64,
    /// The slots.
    pub slots: u32,
}

/// What a VM says of one team.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamDigest {
    /// The hash of the team's name.
    pub team: u64,
    /// Slots held there.
    pub held: u32,
    /// Slots asked for and not got since the last digest.
    pub want: u32,
    /// Slots that the sender lends.
    pub lent: Vec<Loan>,
    /// Slots that the sender has borrowed and not yet given back.
    pub owed: Vec<Loan>,
}

/// A VM's view of quotas: about 20 bytes for each of at most 64 teams that
/// lend or want.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct QuotaDigest {
    /// Counts the sender's digests.
    pub serial: u64,
    /// The newest serial that the sender has from each VM.
    pub heard: Vec<(u64, u64)>,
    /// The teams of which there is something to say.
    pub teams: Vec<TeamDigest>,
}

impl QuotaDigest {
    /// Returns what one VM needs of this. Each reads only what is said to it:
    /// its own serial and the loans between it and the sender. At 40 VMs the
    /// serials of all others would take most of a heartbeat.
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
    /// Keeps the loans of one VM, and nothing at all where the sender neither
    /// wants slots nor has lent or borrowed some there.
    fn addressed(&self, vm: u64) -> Option<TeamDigest> {
        let its = |loans: &[Loan]| -> Vec<Loan> {
            let some = loans.iter().filter(|l| l.vm == vm);
            some.copied().collect()
        };
        let (lent, owed) = (its(&self.lent), its(&self.owed));
        let needless = self.want == 0 && lent.is_empty() && owed.is_empty();
        (!needless).then_some(TeamDigest {
            team: self.team,
            held: self.held,
            want: self.want,
            lent,
            owed,
        })
    }
}

/// What operators see of a team's quota.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct QuotaStatus {
    /// The team.
    pub team: Team,
    /// The quota over all VMs.
    pub quota: Slots,
    /// What this VM may give now.
    pub limit: Slots,
    /// What the team holds on this VM.
    pub held: Slots,
}

/// The quotas of all teams. Taking a slot touches one atomic.
#[derive(Debug)]
pub struct Quotas {
    /// Counts by team.
    cells: ArcSwap<HashMap<Team, Arc<Cell>>>,
    /// Who lends what to whom.
    ledger: Mutex<Ledger>,
    /// Slots refused.
    refused: AtomicU64,
    /// Slots given back that nobody held, of teams that have no quota now.
    past_broken: AtomicU64,
}

impl Quotas {
    /// Makes quotas without any team; a peer unheard of for `ttl` neither
    /// lends nor owes.
    pub fn new(ttl: Millis) -> Quotas {
        Quotas {
            cells: ArcSwap::default(),
            ledger: Mutex::new(Ledger::new(ttl)),
            refused: AtomicU64::new(0),
            past_broken: AtomicU64::new(0),
        }
    }

    /// Replaces all quotas and this VM's part of them. Teams left out have no
    /// limit; what teams hold is kept.
    pub fn update(&self, quotas: &[(Team, Slots)], share: Share) {
        let mut ledger = self.ledger();
        let old = self.cells.load();
        let keep = |team: &Team| old.get(team).cloned().unwrap_or_default();
        let cells = quotas.iter().map(|(t, _)| (t.clone(), keep(t)));
        let mut cells: HashMap<Team, Arc<Cell>> = cells.collect();
        for (team, cell) in old.iter().filter(|(_, c)| c.read().1 > 0) {
            cells.entry(team.clone()).or_insert_with(|| cell.clone());
        }
        let gone = old.iter().filter(|(team, _)| !cells.contains_key(*team));
        let broken = gone.map(|(_, c)| u64::from(c.broken())).sum();
        self.past_broken.fetch_add(broken, Ordering::Relaxed);
        ledger.set(quotas, &cells, share);
        self.cells.store(Arc::new(cells));
    }

    /// Takes a slot of a team's quota.
    ///
    /// # Errors
    ///
    /// [`OverQuota`] when the team holds as many as this VM may give it.
    pub fn acquire(&self, team: &Team) -> Result<QuotaGuard, OverQuota> {
        let cells = self.cells.load();
        let Some(cell) = cells.get(team) else {
            return Ok(QuotaGuard { cell: None });
        };
        if !cell.take() {
            cell.want_more();
            self.refused.fetch_add(1, Ordering::Relaxed);
            return Err(OverQuota);
        }
        Ok(QuotaGuard {
            cell: Some(cell.clone()),
        })
    }

    /// Takes a slot of a team's quota without asking peers for one, so that a
    /// task that waits can look often. What waits is told by [`Quotas::want`].
    ///
    /// # Errors
    ///
    /// [`OverQuota`] when the team holds as many as this VM may give it.
    pub fn try_acquire(&self, team: &Team) -> Result<QuotaGuard, OverQuota> {
        let cell = self.cells.load().get(team).cloned();
        match cell {
            Some(cell) if !cell.take() => Err(OverQuota),
            cell => Ok(QuotaGuard { cell }),
        }
    }

    /// Notes for the next digest how many tasks wait for a slot of a team.
    pub fn want(&self, team: &Team, tasks: usize) {
        if let Some(cell) = self.cells.load().get(team) {
            cell.want(u32::try_from(tasks).unwrap_or(u32::MAX));
        }
    }

    /// Counts the slots that could be taken now; a team without a quota has no
    /// bound.
    pub fn room(&self, team: &Team) -> usize {
        let cells = self.cells.load();
        cells.get(team).map_or(usize::MAX, |cell| {
            let (limit, held) = cell.read();
            limit.saturating_sub(held) as usize
        })
    }

    /// Tells whether a slot could be taken now, without asking peers for one.
    pub fn has_room(&self, team: &Team) -> bool {
        self.room(team) > 0
    }

    /// Decides what to lend and sums it up for the heartbeats to other VMs.
    /// The same digest goes to all of them.
    pub fn digest(&self, now: Timestamp) -> QuotaDigest {
        self.ledger().digest(now)
    }

    /// Takes in another VM's digest.
    pub fn absorb(&self, from: &VmId, digest: &QuotaDigest, now: Timestamp) {
        self.ledger().absorb(vm_hash(from), digest, now);
    }

    /// Lists the quotas for operators.
    pub fn status(&self) -> Vec<QuotaStatus> {
        self.ledger().status()
    }

    /// Counts the slots refused.
    pub fn refused(&self) -> u64 {
        self.refused.load(Ordering::Relaxed)
    }

    /// Counts the slots given back that nobody held; any but zero is a fault
    /// in this crate.
    pub fn broken(&self) -> u64 {
        let cells = self.cells.load();
        let now: u64 = cells.values().map(|c| u64::from(c.broken())).sum();
        now + self.past_broken.load(Ordering::Relaxed)
    }

    /// Locks the ledger; its holder never waits for anything.
    fn ledger(&self) -> MutexGuard<'_, Ledger> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns a VM's id in 8 bytes.
pub(crate) fn vm_hash(vm: &VmId) -> u64 {
    key_hash(vm.as_str().as_bytes()) as u64
}

/// Returns a team's name in 8 bytes.
pub(crate) fn team_hash(team: &Team) -> u64 {
    key_hash(team.as_str().as_bytes()) as u64
}
