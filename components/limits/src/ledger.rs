//! Who lends slots of a quota to whom.

use std::sync::Arc;

use kernel::{HashMap, HashSet, Millis, Slots, Team, Timestamp};

use crate::cell::Cell;
use crate::quota::{Loan, QuotaDigest, QuotaStatus, TeamDigest, team_hash, vm_hash};
use crate::share::Share;

/// The most teams that a digest speaks of.
const MAX_TEAMS: usize = 64;

/// An unused loan shrinks by one part in so many with each digest.
const LOAN_DECAY: u32 = 4;

/// A loan to one VM.
#[derive(Debug, Default)]
struct Lent {
    /// The slots announced.
    now: u32,
    /// The slots that the borrower may still use: at least `now`, and more
    /// until it has confirmed a cut.
    peak: u32,
    /// The serial of the digest that announced the last cut.
    cut: u64,
}

/// What one VM said of a team.
#[derive(Debug, Default)]
struct Report {
    /// Slots it holds.
    held: u32,
    /// Slots that it asked for and did not get.
    want: u32,
    /// Slots that it lends to this VM.
    lends: u32,
    /// Slots of this VM that it uses or may use.
    owes: u32,
}

/// One team's quota on this VM.
#[derive(Debug)]
struct Account {
    /// The team.
    team: Team,
    /// The quota over all VMs.
    quota: Slots,
    /// This VM's own part.
    base: u32,
    /// Slots held back for a VM that has none.
    reserve: u32,
    /// What the team holds here.
    cell: Arc<Cell>,
    /// Loans to other VMs.
    lent: HashMap<u64, Lent>,
    /// What other VMs said last.
    reports: HashMap<u64, Report>,
    /// The serial of the last digest that raised each VM's loan, so that VMs
    /// take turns.
    served: HashMap<u64, u64>,
    /// Slots of each other VM that this one has not given back.
    owed: HashMap<u64, u32>,
}

/// What is known of another VM.
#[derive(Debug)]
struct Peer {
    /// Its newest serial.
    serial: u64,
    /// When it came.
    at: Timestamp,
}

/// All loans of this VM.
#[derive(Debug)]
pub(crate) struct Ledger {
    /// How long a peer counts after its last digest.
    ttl: Millis,
    /// The hash of this VM's id.
    me: u64,
    /// Counts this VM's digests.
    serial: u64,
    /// Quotas by the hash of the team.
    accounts: HashMap<u64, Account>,
    /// Other VMs by the hash of their id.
    peers: HashMap<u64, Peer>,
}

impl Ledger {
    /// Starts without quotas.
    pub(crate) fn new(ttl: Millis) -> Ledger {
        Ledger {
            ttl,
            me: 0,
            serial: 0,
            accounts: HashMap::default(),
            peers: HashMap::default(),
        }
    }

    /// Replaces the quotas, keeping loans of teams that stay.
    pub(crate) fn set(
        &mut self,
        quotas: &[(Team, Slots)],
        cells: &HashMap<Team, Arc<Cell>>,
        share: Share,
    ) {
        self.me = vm_hash(&share.vm);
        let mut old = std::mem::take(&mut self.accounts);
        let limited: HashSet<&Team> = quotas.iter().map(|(t, _)| t).collect();
        for (_, cell) in cells.iter().filter(|(t, _)| !limited.contains(t)) {
            cell.set_limit(u32::MAX);
        }
        for (team, quota) in quotas {
            let hash = team_hash(team);
            let kept = old.remove(&hash);
            let mut account =
                kept.unwrap_or_else(|| Account::new(team.clone(), cells[team].clone()));
            account.quota = *quota;
            account.base = share.part(*quota, hash);
            account.apply();
            self.accounts.insert(hash, account);
        }
    }

    /// Moves loans towards demand and sums them up.
    pub(crate) fn digest(&mut self, now: Timestamp) -> QuotaDigest {
        self.serial += 1;
        self.forget(now);
        let mut teams = Vec::new();
        for (hash, account) in &mut self.accounts {
            let room = teams.len() < MAX_TEAMS;
            if let Some(digest) = account.digest(*hash, self.serial, room) {
                teams.push(digest);
            }
        }
        QuotaDigest {
            serial: self.serial,
            heard: self.peers.iter().map(|(vm, p)| (*vm, p.serial)).collect(),
            teams,
        }
    }

    /// Takes in another VM's digest, unless a newer one is in already.
    pub(crate) fn absorb(&mut self, from: u64, digest: &QuotaDigest, now: Timestamp) {
        if from == self.me {
            return;
        }
        if let Some(peer) = self.peers.get(&from)
            && peer.serial >= digest.serial
        {
            return;
        }
        let serial = digest.serial;
        self.peers.insert(from, Peer { serial, at: now });
        let acks = digest.heard.iter().find(|(vm, _)| *vm == self.me);
        let acked = acks.map_or(0, |(_, serial)| *serial);
        let teams: HashMap<u64, &TeamDigest> = digest.teams.iter().map(|t| (t.team, t)).collect();
        for (hash, account) in &mut self.accounts {
            account.absorb(self.me, from, teams.get(hash).copied(), acked);
        }
    }

    /// Lists the quotas.
    pub(crate) fn status(&self) -> Vec<QuotaStatus> {
        let mut rows: Vec<_> = self.accounts.values().map(Account::status).collect();
        rows.sort_by(|a, b| a.team.cmp(&b.team));
        rows
    }

    /// Drops peers that have not been heard of for too long, and their loans.
    fn forget(&mut self, now: Timestamp) {
        let ttl = self.ttl;
        self.peers.retain(|_, p| now.since(p.at) < ttl);
        for account in self.accounts.values_mut() {
            account.lent.retain(|vm, _| self.peers.contains_key(vm));
            account.reports.retain(|vm, _| self.peers.contains_key(vm));
            account.served.retain(|vm, _| self.peers.contains_key(vm));
            account.owed.retain(|vm, _| self.peers.contains_key(vm));
            account.apply();
        }
    }
}

impl Account {
    /// Opens a team's account.
    fn new(team: Team, cell: Arc<Cell>) -> Account {
        Account {
            team,
            quota: Slots(0),
            base: 0,
            reserve: 0,
            cell,
            lent: HashMap::default(),
            reports: HashMap::default(),
            served: HashMap::default(),
            owed: HashMap::default(),
        }
    }

    /// Returns what this VM may give of its own part.
    fn own(&self) -> u32 {
        let out: u32 = self.lent.values().map(|l| l.peak).sum();
        self.base.saturating_sub(out)
    }

    /// Sets the limit from the part, the loans and the reserve.
    fn apply(&self) {
        let lends: u32 = self.reports.values().map(|r| r.lends).sum();
        let limit = self.own().saturating_sub(self.reserve) + lends;
        self.cell.set_limit(limit);
    }

    /// Decides the loans of this round and sums them up, if there is anything
    /// to say.
    fn digest(&mut self, hash: u64, serial: u64, room: bool) -> Option<TeamDigest> {
        let want = self.cell.take_wanted().min(self.quota.0);
        self.recall(want, serial);
        if room {
            self.lend(want, serial);
        }
        self.apply();
        self.settle();
        let loans = |map: &HashMap<u64, u32>| -> Vec<Loan> {
            let some = map.iter().filter(|(_, n)| **n > 0);
            some.map(|(&vm, &slots)| Loan { vm, slots }).collect()
        };
        let lent = self.lent.iter().map(|(&vm, l)| (vm, l.now)).collect();
        let digest = TeamDigest {
            team: hash,
            held: self.cell.read().1,
            want,
            lent: loans(&lent),
            owed: loans(&self.owed),
        };
        let silent = want == 0 && digest.lent.is_empty() && digest.owed.is_empty();
        // A team left out counts as one that lends and owes nothing, so only
        // a wish may be left out for want of room.
        let needless = digest.lent.is_empty() && digest.owed.is_empty() && !room;
        (!silent && !needless).then_some(digest)
    }

    /// Cuts loans that this VM needs itself or that are not used.
    fn recall(&mut self, want: u32, serial: u64) {
        let mut need = want;
        for (vm, loan) in &mut self.lent {
            let seen = self.reports.get(vm);
            let idle = seen.is_none_or(|r| r.want == 0 && r.held <= self.base);
            let decay = if idle {
                loan.now.div_ceil(LOAN_DECAY)
            } else {
                0
            };
            let cut = need.max(decay).min(loan.now);
            need -= cut.min(need);
            if cut > 0 {
                loan.now -= cut;
                loan.cut = serial;
            }
        }
        self.lent.retain(|_, l| l.peak > 0 || l.now > 0);
    }

    /// Lends free slots to the VMs that want some, those that hold none
    /// first. Where such a VM finds nothing free, the next slot is kept for it.
    fn lend(&mut self, want: u32, serial: u64) {
        let mut asks: Vec<_> = self.reports.iter().filter(|(_, r)| r.want > 0).collect();
        let last = |vm: &u64| self.served.get(vm).copied().unwrap_or(0);
        asks.sort_by_key(|(vm, r)| (r.held > 0, last(vm), **vm));
        let needy = asks.iter().any(|(_, r)| r.held == 0);
        let asks: Vec<_> = asks.iter().map(|(vm, r)| (**vm, r.want, r.held)).collect();
        let mut kept = self.kept();
        let mut lent = 0;
        for (vm, ask, held) in asks {
            let most = if held == 0 && want > 0 { 1 } else { ask };
            if want > 0 && held > 0 {
                continue;
            }
            // Only this VM's own part can be lent, never a loan lent on.
            let most = most.min(self.own());
            let from_kept = most.min(kept);
            kept -= from_kept;
            self.reserve -= from_kept;
            let got = from_kept + self.cell.shrink(most - from_kept);
            if got == 0 {
                continue;
            }
            let loan = self.lent.entry(vm).or_default();
            loan.now += got;
            loan.peak = loan.peak.max(loan.now);
            if let Some(report) = self.reports.get_mut(&vm) {
                report.want = report.want.saturating_sub(got);
            }
            lent += got;
            self.served.insert(vm, serial);
            self.apply();
        }
        self.reserve = u32::from(needy && lent == 0 && self.own() > 0);
    }

    /// Returns how much of the reserve is free by now.
    fn kept(&self) -> u32 {
        let (limit, held) = self.cell.read();
        if held <= limit { self.reserve } else { 0 }
    }

    /// Brings what is owed in line with loans heard of and slots held.
    fn settle(&mut self) {
        let held = self.cell.read().1;
        let mut excess = held.saturating_sub(self.own());
        let lends = |vm: &u64| self.reports.get(vm).map_or(0, |r| r.lends);
        for (vm, owed) in &mut self.owed {
            let used = excess.min(*owed);
            excess -= used;
            *owed = lends(vm).max(used);
        }
        self.owed.retain(|_, n| *n > 0);
    }

    /// Takes in what a VM says of the team; `acked` is the newest digest of
    /// this VM that it has.
    fn absorb(&mut self, me: u64, from: u64, said: Option<&TeamDigest>, acked: u64) {
        let to_me = |loans: &[Loan]| {
            let mine = loans.iter().find(|l| l.vm == me);
            mine.map_or(0, |l| l.slots)
        };
        let report = Report {
            held: said.map_or(0, |t| t.held),
            want: said.map_or(0, |t| t.want),
            lends: said.map_or(0, |t| to_me(&t.lent)),
            owes: said.map_or(0, |t| to_me(&t.owed)),
        };
        if let Some(loan) = self.lent.get_mut(&from)
            && acked >= loan.cut
        {
            loan.peak = loan.now.max(report.owes);
        }
        let owed = self.owed.entry(from).or_default();
        *owed = report.lends.max(*owed);
        self.reports.insert(from, report);
        self.apply();
        self.settle();
    }

    /// Sums the account up for operators.
    fn status(&self) -> QuotaStatus {
        let (limit, held) = self.cell.read();
        QuotaStatus {
            team: self.team.clone(),
            quota: self.quota,
            limit: Slots(limit),
            held: Slots(held),
        }
    }
}
