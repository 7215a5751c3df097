//! Generated machines, teams and sheets to measure with.

use std::fmt::{Debug, Write};
use std::net::SocketAddr;
use std::str::FromStr;

use kernel::{Cores, Domain, Incarnation, MinionId, Service, Slots, Team, VmId};
use logstore::MinionRow;
use membership::{Generation, ListedVm, Presence, Vm};
use rand_xoshiro::Xoshiro256PlusPlus;
use rand_xoshiro::rand_core::SeedableRng;
use routing::MinionInfo;
use sheet::Sheet;

/// Slots of each minion.
pub(crate) const SLOTS: Slots = Slots(8);

/// Cores of each minion's worker.
const CORES: Cores = Cores(30);

/// Number of services in the sheet, each of which has a row in every domain.
pub(crate) const SERVICES: usize = 20;

/// Parses a generated name.
fn name<T: FromStr<Err: Debug>>(text: &str) -> T {
    text.parse().expect("generated names are valid")
}

/// Returns the domain with this number.
pub(crate) fn domain(n: usize) -> Domain {
    name(&format!("domain-{n}"))
}

/// Returns the service that all minions offer.
pub(crate) fn service() -> Service {
    name("service-00")
}

/// Returns the team with this number.
pub(crate) fn team(n: usize) -> Team {
    name(&format!("team-{n:03}"))
}

/// Returns the id of the minion with this number in a domain.
pub(crate) fn minion(domain: &Domain, n: usize) -> MinionId {
    name(&format!("{domain}/minion-{n:04}"))
}

/// Returns the id of the VM with this number in a domain.
pub(crate) fn vm_id(domain: &Domain, n: usize) -> VmId {
    name(&format!("{domain}/vm-{n:03}"))
}

/// Returns an address that nothing listens on.
fn addr(n: usize) -> SocketAddr {
    SocketAddr::from(([127, 1, (n / 250) as u8, (n % 250) as u8 + 1], 9))
}

/// Returns a random number generator with this seed.
pub(crate) fn rng(seed: usize) -> Xoshiro256PlusPlus {
    Xoshiro256PlusPlus::seed_from_u64(seed as u64)
}

/// Returns the incarnation of the VM with this number.
pub(crate) fn incarnation(n: usize) -> Incarnation {
    Incarnation::draw(&mut rng(1_000_000 + n))
}

/// Returns a VM in the form that membership uses.
pub(crate) fn vm(domain: &Domain, n: usize) -> Vm {
    Vm {
        id: vm_id(domain, n),
        incarnation: incarnation(n),
        generation: Generation(1),
        domain: domain.clone(),
        callers: addr(n),
        peers: addr(n),
    }
}

/// Returns a VM's row in the platform's list.
pub(crate) fn listed_vm(vm: &Vm) -> ListedVm {
    ListedVm {
        id: vm.id.clone(),
        domain: vm.domain.clone(),
        callers: vm.callers,
        peers: vm.peers,
        presence: Presence::Live,
    }
}

/// Returns the rows of minions in the platform's list, which are assigned to the
/// domains in turn.
pub(crate) fn minion_rows(count: usize, domains: usize) -> Vec<MinionRow> {
    let row = |n: usize| MinionRow {
        id: minion(&domain(n % domains), n),
        domain: domain(n % domains),
        addr: addr(n),
        presence: logstore::Presence::Live,
        services: vec![service()],
        slots: SLOTS,
        cores: CORES,
    };
    (0..count).map(row).collect()
}

/// Returns the same minions in the form that routing uses.
pub(crate) fn minion_infos(count: usize, domains: usize) -> Vec<MinionInfo> {
    let info = |row: MinionRow| MinionInfo {
        id: row.id,
        domain: row.domain,
        addr: row.addr,
        services: row.services,
        slots: row.slots,
        cores: row.cores,
        leaving: false,
    };
    minion_rows(count, domains).into_iter().map(info).collect()
}

/// Returns a sheet in which every service has a row in each domain and every team
/// has one row for all domains. Three rows of teams depend on `bump`.
pub(crate) fn sheet(teams: usize, domains: usize, bump: usize) -> Sheet {
    let mut text = String::from("what,name,where,amount\n");
    for s in 0..SERVICES {
        for d in 0..domains {
            let _ = writeln!(text, "service,service-{s:02},{},7000", domain(d));
        }
    }
    for t in 0..teams {
        let changed = t == bump % teams || t == (bump + 7) % teams || t == (bump + 13) % teams;
        let amount = if changed { 5000 + bump } else { 4000 };
        let _ = writeln!(text, "team,{},*,{amount}", team(t));
    }
    Sheet::parse(&text).expect("the generated sheet is valid")
}
