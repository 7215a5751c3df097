//! Machines, teams and sheets with made-up names.

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

/// The slots of each minion.
pub(crate) const SLOTS: Slots = Slots(8);

/// The cores of each worker.
const CORES: Cores = Cores(30);

/// The services of the sheet, each with a row in every domain.
pub(crate) const SERVICES: usize = 20;

/// Reads a name that this crate makes up.
fn name<T: FromStr<Err: Debug>>(text: &str) -> T {
    text.parse().expect("made-up names have the form of names")
}

/// Returns the domain of a number.
pub(crate) fn domain(n: usize) -> Domain {
    name(&format!("domain-{n}"))
}

/// Returns the service that all minions offer.
pub(crate) fn service() -> Service {
    name("service-00")
}

/// Returns the team of a number.
pub(crate) fn team(n: usize) -> Team {
    name(&format!("team-{n:03}"))
}

/// Returns the minion of a number in a domain.
pub(crate) fn minion(domain: &Domain, n: usize) -> MinionId {
    name(&format!("{domain}/minion-{n:04}"))
}

/// Returns the VM of a number in a domain.
pub(crate) fn vm_id(domain: &Domain, n: usize) -> VmId {
    name(&format!("{domain}/vm-{n:03}"))
}

/// Returns an address that nothing listens on.
fn addr(n: usize) -> SocketAddr {
    SocketAddr::from(([127, 1, (n / 250) as u8, (n % 250) as u8 + 1], 9))
}

/// Returns a random generator.
pub(crate) fn dice(seed: usize) -> Xoshiro256PlusPlus {
    Xoshiro256PlusPlus::seed_from_u64(seed as u64)
}

/// Returns the incarnation of a VM's number.
pub(crate) fn incarnation(n: usize) -> Incarnation {
    Incarnation::draw(&mut dice(1_000_000 + n))
}

/// Returns a VM as membership knows it.
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

/// Returns a VM's row of the platform's list.
pub(crate) fn listed(vm: &Vm) -> ListedVm {
    ListedVm {
        id: vm.id.clone(),
        domain: vm.domain.clone(),
        callers: vm.callers,
        peers: vm.peers,
        presence: Presence::Live,
    }
}

/// Returns the platform's rows of minions, dealt out to the domains.
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

/// Returns the same minions as routing knows them.
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

/// Returns a sheet in which every service has a row in each domain and every
/// team has one that holds everywhere; `bump` changes three rows of it.
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
    Sheet::parse(&text).expect("a made-up sheet has no faults")
}
