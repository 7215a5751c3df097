//! The ledger of slots that VMs lend to each other within a quota.

use std::sync::Arc;

use kernel::{HashMap, HashSet, Millis, Slots, Team, Timestamp};

use crate::counter::Counter;
use crate::quota::{Loan, QuotaDigest, QuotaStatus, TeamDigest, team_hash, vm_hash};
use crate::share::Share;

/// Number of teams in a digest from which on no new loans are made and teams
/// without loans are left out.
const MAX_TEAMS: usize = 64;

/// With each digest an unused loan shrinks by one part in this many.
const LOAN_DECAY: u32 = 4;

/// A loan from this VM to another VM.
#[derive(Debug, Default)]
struct OutgoingLoan {
    /// The number of slots announced as lent.
    slots: u32,
    /// The number of slots that the borrower may still use: at least `slots`,
    /// and more until it has confirmed a cut.
    peak: u32,
    /// The serial of the digest that announced the last cut.
    cut_serial: u64,
}

/// The last report of another VM on a team.
#[derive(Debug, Default)]
struct Report {
    /// The number of slots that the team holds there.
    held: u32,
    /// The number of slots that were requested there and not available.
    want: u32,
    /// The number of slots that the VM lends to this one.
    lends: u32,
    /// The number of slots of this VM that the other uses or may use.
    owes: u32,
}

/// One team's quota on this VM.
#[derive(Debug)]
struct Account {
    /// The team that has the quota.
    team: Team,
    /// The quota over all VMs.
    quota: Slots,
    /// The part of this VM in the quota.
    base: u32,
    /// The number of slots held back for a VM on which the team holds none.
    reserve: u32,
    /// The count of slots that the team holds on this VM.
    counter: Arc<Counter>,
    /// The loans to other VMs, by the hash of their id.
    lent: HashMap<u64, OutgoingLoan>,
    /// The last reports of other VMs, by the hash of their id.
    reports: HashMap<u64, Report>,
    /// The serial of the digest that last raised the loan to each VM. VMs
    /// served longest ago come first.
    last_served: HashMap<u64, u64>,
    /// The number of slots of each other VM that this one has not given back.
    owed: HashMap<u64, u32>,
}

/// The last digest of another VM.
#[derive(Debug)]
struct Peer {
    /// The serial of the digest.
    serial: u64,
    /// The time at which the digest arrived.
    received: Timestamp,
}

/// The quotas of all teams on this VM, with their loans.
#[derive(Debug)]
pub(crate) struct Ledger {
    /// The time after its last digest at which a peer is dropped.
    ttl: Millis,
    /// The hash of this VM's id.
    own_hash: u64,
    /// The serial of this VM's last digest.
    serial: u64,
    /// The accounts by the hash of the team.
    accounts: HashMap<u64, Account>,
    /// Other VMs by the hash of their id.
    peers: HashMap<u64, Peer>,
}

impl Ledger {
    /// Creates a ledger without quotas.
    pub(crate) fn new(ttl: Millis) -> Ledger {
        Ledger {
            ttl,
            own_hash: 0,
            serial: 0,
            accounts: HashMap::default(),
            peers: HashMap::default(),
        }
    }

    /// Replaces the quotas. Teams that still have one keep their loans.
    pub(crate) fn update(
        &mut self,
        quotas: &[(Team, Slots)],
        counters: &HashMap<Team, Arc<Counter>>,
        share: Share,
    ) {
        self.own_hash = vm_hash(&share.vm);
        let mut old = std::mem::take(&mut self.accounts);
        let with_quota: HashSet<&Team> = quotas.iter().map(|(t, _)| t).collect();
        for (_, counter) in counters.iter().filter(|(t, _)| !with_quota.contains(t)) {
            counter.set_limit(u32::MAX);
        }
        for (team, quota) in quotas {
            let hash = team_hash(team);
            let kept = old.remove(&hash);
            let mut account =
                kept.unwrap_or_else(|| Account::new(team.clone(), counters[team].clone()));
            account.quota = *quota;
            account.base = share.part(*quota, hash);
            account.update_limit();
            self.accounts.insert(hash, account);
        }
    }

    /// Adjusts the loans to the demand and builds the digest that reports them.
    pub(crate) fn digest(&mut self, now: Timestamp) -> QuotaDigest {
        self.serial += 1;
        self.expire_peers(now);
        let mut teams = Vec::new();
        for (hash, account) in &mut self.accounts {
            let has_space = teams.len() < MAX_TEAMS;
            if let Some(digest) = account.digest(*hash, self.serial, has_space) {
                teams.push(digest);
            }
        }
        QuotaDigest {
            serial: self.serial,
            heard: self.peers.iter().map(|(vm, p)| (*vm, p.serial)).collect(),
            teams,
        }
    }

    /// Applies the digest of another VM, unless one at least as new has been
    /// applied.
    pub(crate) fn apply_digest(&mut self, from: u64, digest: &QuotaDigest, now: Timestamp) {
        if from == self.own_hash {
            return;
        }
        if let Some(peer) = self.peers.get(&from)
            && peer.serial >= digest.serial
        {
            return;
        }
        let serial = digest.serial;
        self.peers.insert(
            from,
            Peer {
                serial,
                received: now,
            },
        );
        let ack = digest.heard.iter().find(|(vm, _)| *vm == self.own_hash);
        let acked = ack.map_or(0, |(_, serial)| *serial);
        let teams: HashMap<u64, &TeamDigest> = digest.teams.iter().map(|t| (t.team, t)).collect();
        for (hash, account) in &mut self.accounts {
            account.apply_digest(self.own_hash, from, teams.get(hash).copied(), acked);
        }
    }

    /// Returns the status of all quotas, sorted by team.
    pub(crate) fn status(&self) -> Vec<QuotaStatus> {
        let mut rows: Vec<_> = self.accounts.values().map(Account::status).collect();
        rows.sort_by(|a, b| a.team.cmp(&b.team));
        rows
    }

    /// Drops peers whose last digest is too old, and the loans to and from
    /// them.
    fn expire_peers(&mut self, now: Timestamp) {
        let ttl = self.ttl;
        self.peers.retain(|_, p| now.since(p.received) < ttl);
        for account in self.accounts.values_mut() {
            account.lent.retain(|vm, _| self.peers.contains_key(vm));
            account.reports.retain(|vm, _| self.peers.contains_key(vm));
            account
                .last_served
                .retain(|vm, _| self.peers.contains_key(vm));
            account.owed.retain(|vm, _| self.peers.contains_key(vm));
            account.update_limit();
        }
    }
}

impl Account {
    /// Creates the account of a team.
    fn new(team: Team, counter: Arc<Counter>) -> Account {
        Account {
            team,
            quota: Slots(0),
            base: 0,
            reserve: 0,
            counter,
            lent: HashMap::default(),
            reports: HashMap::default(),
            last_served: HashMap::default(),
            owed: HashMap::default(),
        }
    }

    /// Returns how many slots of its own part this VM has not lent.
    fn lendable(&self) -> u32 {
        let lent: u32 = self.lent.values().map(|l| l.peak).sum();
        self.base.saturating_sub(lent)
    }

    /// Sets the limit of the counter: the own part that is not lent, less the
    /// reserve, plus the loans from other VMs.
    fn update_limit(&self) {
        let lends: u32 = self.reports.values().map(|r| r.lends).sum();
        let limit = self.lendable().saturating_sub(self.reserve) + lends;
        self.counter.set_limit(limit);
    }

    /// Adjusts the loans and returns the digest of the team, or `None` if there
    /// is nothing to report. Loans rise only if the digest `has_space`.
    fn digest(&mut self, hash: u64, serial: u64, has_space: bool) -> Option<TeamDigest> {
        let want = self.counter.take_wanted().min(self.quota.0);
        self.recall(want, serial);
        if has_space {
            self.lend(want, serial);
        }
        self.update_limit();
        self.update_owed();
        let loans = |map: &HashMap<u64, u32>| -> Vec<Loan> {
            let nonzero = map.iter().filter(|(_, n)| **n > 0);
            nonzero.map(|(&vm, &slots)| Loan { vm, slots }).collect()
        };
        let lent = self.lent.iter().map(|(&vm, l)| (vm, l.slots)).collect();
        let digest = TeamDigest {
            team: hash,
            held: self.counter.read().1,
            want,
            lent: loans(&lent),
            owed: loans(&self.owed),
        };
        let nothing_to_report = want == 0 && digest.lent.is_empty() && digest.owed.is_empty();
        // The receiver takes a team that is left out as one that lends and owes
        // nothing, so only a request may be left out for lack of space.
        let omitted = digest.lent.is_empty() && digest.owed.is_empty() && !has_space;
        (!nothing_to_report && !omitted).then_some(digest)
    }

    /// Cuts loans whose slots this VM needs itself, and unused ones.
    fn recall(&mut self, want: u32, serial: u64) {
        let mut need = want;
        for (vm, loan) in &mut self.lent {
            let report = self.reports.get(vm);
            let idle = report.is_none_or(|r| r.want == 0 && r.held <= self.base);
            let decay = if idle {
                loan.slots.div_ceil(LOAN_DECAY)
            } else {
                0
            };
            let cut = need.max(decay).min(loan.slots);
            need -= cut.min(need);
            if cut > 0 {
                loan.slots -= cut;
                loan.cut_serial = serial;
            }
        }
        self.lent.retain(|_, l| l.peak > 0 || l.slots > 0);
    }

    /// Lends free slots to the VMs that request some, those that hold none
    /// first. If no slot is free for such a VM, the next one is reserved.
    fn lend(&mut self, want: u32, serial: u64) {
        let mut requests: Vec<_> = self.reports.iter().filter(|(_, r)| r.want > 0).collect();
        let last_turn = |vm: &u64| self.last_served.get(vm).copied().unwrap_or(0);
        requests.sort_by_key(|(vm, r)| (r.held > 0, last_turn(vm), **vm));
        let starved = requests.iter().any(|(_, r)| r.held == 0);
        let requests: Vec<_> = requests
            .iter()
            .map(|(vm, r)| (**vm, r.want, r.held))
            .collect();
        let mut reserved = self.free_reserve();
        let mut lent = 0;
        for (vm, wanted, held) in requests {
            let max = if held == 0 && want > 0 { 1 } else { wanted };
            if want > 0 && held > 0 {
                continue;
            }
            // Only slots of this VM's own part are lent, not borrowed ones.
            let max = max.min(self.lendable());
            let from_reserve = max.min(reserved);
            reserved -= from_reserve;
            self.reserve -= from_reserve;
            let granted = from_reserve + self.counter.shrink(max - from_reserve);
            if granted == 0 {
                continue;
            }
            let loan = self.lent.entry(vm).or_default();
            loan.slots += granted;
            loan.peak = loan.peak.max(loan.slots);
            if let Some(report) = self.reports.get_mut(&vm) {
                report.want = report.want.saturating_sub(granted);
            }
            lent += granted;
            self.last_served.insert(vm, serial);
            self.update_limit();
        }
        self.reserve = u32::from(starved && lent == 0 && self.lendable() > 0);
    }

    /// Returns how many slots of the reserve are free.
    fn free_reserve(&self) -> u32 {
        let (limit, held) = self.counter.read();
        if held <= limit { self.reserve } else { 0 }
    }

    /// Updates the slots owed to other VMs: the larger of what each lends and
    /// what is in use of it.
    fn update_owed(&mut self) {
        let held = self.counter.read().1;
        let mut excess = held.saturating_sub(self.lendable());
        let lends = |vm: &u64| self.reports.get(vm).map_or(0, |r| r.lends);
        for (vm, owed) in &mut self.owed {
            let used = excess.min(*owed);
            excess -= used;
            *owed = lends(vm).max(used);
        }
        self.owed.retain(|_, n| *n > 0);
    }

    /// Applies the digest of another VM on the team, `None` if it reports
    /// nothing. `acked` is the serial of the last digest of this VM that it has
    /// received.
    fn apply_digest(&mut self, own_hash: u64, from: u64, digest: Option<&TeamDigest>, acked: u64) {
        let to_this_vm = |loans: &[Loan]| {
            let loan = loans.iter().find(|l| l.vm == own_hash);
            loan.map_or(0, |l| l.slots)
        };
        let report = Report {
            held: digest.map_or(0, |t| t.held),
            want: digest.map_or(0, |t| t.want),
            lends: digest.map_or(0, |t| to_this_vm(&t.lent)),
            owes: digest.map_or(0, |t| to_this_vm(&t.owed)),
        };
        if let Some(loan) = self.lent.get_mut(&from)
            && acked >= loan.cut_serial
        {
            loan.peak = loan.slots.max(report.owes);
        }
        let owed = self.owed.entry(from).or_default();
        *owed = report.lends.max(*owed);
        self.reports.insert(from, report);
        self.update_limit();
        self.update_owed();
    }

    /// Returns the status of the quota, shown to operators.
    fn status(&self) -> QuotaStatus {
        let (limit, held) = self.counter.read();
        QuotaStatus {
            team: self.team.clone(),
            quota: self.quota,
            limit: Slots(limit),
            held: Slots(held),
        }
    }
}
