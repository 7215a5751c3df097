//! Model of the first seconds after all VMs of a site lost power, in virtual time
//! and without a network. It guards against a start that leaves shards without
//! owners for long, against claims that lose (the jobs at the loser are lost with
//! them), and against a new VM that takes shards from running owners.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use kernel::{BitRate, Domain, Incarnation, MilliCores, Millis, Offset, Timestamp, key_hash};
use ownership::{
    Broadcast, Change, Heartbeat, OwnershipConfig, Peers, Report, Room, Shard, VmInfo,
};
use schedule::Load;

/// Interval of the engine's periodic work.
const TICK: u64 = 25_000;

/// Addresses in an answer to a new VM, and in a heartbeat to all.
const KNOWN: (usize, usize) = (32, 4);

/// Number of VMs whose addresses are in the settings of all others.
const SEEDS: u16 = 3;

/// Draws numbers that depend on the seed alone.
struct Draws {
    seed: u64,
    count: u64,
}

impl Draws {
    fn below(&mut self, limit: u64) -> u64 {
        self.count += 1;
        let key = format!("{} {}", self.seed, self.count);
        (key_hash(key.as_bytes()) % u128::from(limit.max(1))) as u64
    }
}

/// What a site is like and how its start goes.
#[derive(Clone, Copy)]
struct Site {
    vms: u16,
    /// Minions of each of the three domains.
    minions: u32,
    /// Time within which the VMs start.
    spread: Millis,
    /// Lost heartbeats in a hundred.
    loss: u64,
    /// Number of VMs that do not return, the first ones, which are the seeds.
    absent: usize,
    seed: u64,
}

struct Vm {
    info: VmInfo,
    peers: Peers,
    up: bool,
    registered: bool,
    last_short: u64,
    last_all: u64,
}

enum Event {
    Start,
    Register,
    Tick,
    Receive(Box<Heartbeat>),
}

/// What became of a start. Times are in milliseconds after power came back.
#[derive(Debug, Default, Clone, Copy, PartialEq)]
struct Outcome {
    /// Time at which each domain had a VM that knew the register.
    able: u64,
    /// Time at which each shard had an owner for the first time.
    owned: u64,
    /// Time of the last change of ownership.
    settled: u64,
    /// Claims of VMs.
    taken: usize,
    /// Claims that lost against another VM's.
    lost: usize,
}

struct Model {
    site: Site,
    draws: Draws,
    vms: Vec<Vm>,
    events: BTreeMap<(u64, u64), (usize, Event)>,
    now: u64,
    outcome: Outcome,
    /// VMs that took a shard.
    takers: BTreeSet<usize>,
}

fn domain(index: u16) -> Domain {
    ["suva-a", "nadi-b", "labasa-c"][usize::from(index % 3)]
        .parse()
        .unwrap()
}

fn ip(index: usize) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, (index / 200) as u8, (index % 200) as u8 + 1)
}

impl Model {
    fn new(site: Site) -> Model {
        let mut draws = Draws {
            seed: site.seed,
            count: 0,
        };
        let vms = (0..site.vms).map(|i| {
            let share = [120, 250, 500][draws.below(3) as usize];
            let room = Room {
                share: MilliCores(share),
                link: BitRate(100_000_000),
                descriptors: 4_100,
            };
            let id = format!("{:032x}", i + 1);
            let info = VmInfo {
                addr: SocketAddr::from((ip(usize::from(i)), 1)),
                domain: domain(i),
                share,
                room: room.minions(),
                incarnation: id.parse::<Incarnation>().unwrap(),
                leaving: false,
            };
            Vm {
                peers: Peers::new(OwnershipConfig::default(), info.clone(), Timestamp(0)),
                info,
                up: false,
                registered: false,
                last_short: 0,
                last_all: 0,
            }
        });
        let vms: Vec<_> = vms.collect();
        Model {
            site,
            draws,
            vms,
            events: BTreeMap::new(),
            now: 0,
            outcome: Outcome::default(),
            takers: BTreeSet::new(),
        }
    }

    fn schedule(&mut self, vm: usize, at: u64, event: Event) {
        let serial = self.draws.count;
        self.draws.count += 1;
        self.events.insert((at, serial), (vm, event));
    }

    /// Starts the VMs up to `count` at random times. A small VM takes up to 300 ms
    /// more than a large one.
    fn start(&mut self, count: usize) {
        for i in self.site.absent..count {
            let slow = 36_000_000 / u64::from(self.vms[i].info.share);
            let at = self.draws.below(self.site.spread.micros()) + self.draws.below(slow);
            self.schedule(i, at, Event::Start);
        }
    }

    fn send(&mut self, from: usize, heartbeat: &Heartbeat, to: &[Ipv4Addr]) {
        for addr in to {
            let Some(target) = (0..self.vms.len()).find(|i| ip(*i) == *addr) else {
                continue;
            };
            let lost = self.draws.below(100) < self.site.loss;
            if lost || target == from {
                continue;
            }
            // The round trip is some milliseconds; a small VM reads late.
            let busy = 2_400_000 / u64::from(self.vms[target].info.share);
            let delay = 500 + self.draws.below(2_000) + self.draws.below(busy);
            let event = Event::Receive(Box::new(heartbeat.clone()));
            self.schedule(target, self.now + delay, event);
        }
    }

    fn heartbeat(&mut self, i: usize, known: usize, interval: Millis) -> Heartbeat {
        let vm = &self.vms[i];
        let reports = vm.peers.claims().map(|(shard, claim)| Report {
            shard: shard.clone(),
            claim: *claim,
            load: Load::default(),
        });
        let reports = reports.collect();
        let mut addrs: Vec<_> = vm.peers.addrs().collect();
        addrs.sort();
        let (from, version) = (vm.info.clone(), u64::from(vm.registered));
        while addrs.len() > known {
            let index = self.draws.below(addrs.len() as u64);
            addrs.swap_remove(index as usize);
        }
        Heartbeat {
            from,
            interval,
            version,
            reports,
            known: addrs,
            evacuations: Offset(0),
            evidence: schedule::EvidenceReport::default(),
            register: Offset(0),
            crashes: Vec::new(),
            sent: kernel::Timestamp(0),
            calls: None,
        }
    }

    fn note(&mut self, i: usize, changes: &[Change]) -> bool {
        for change in changes {
            match change {
                Change::Taken(..) => {
                    self.outcome.taken += 1;
                    self.takers.insert(i);
                }
                Change::Yielded(..) | Change::Contested(_) => self.outcome.lost += 1,
                Change::NewOwner(..) | Change::OwnerLost(..) => continue,
            }
            self.outcome.settled = self.now / 1_000;
        }
        changes.iter().any(Change::is_own)
    }

    fn step(&mut self, i: usize, event: Event) {
        let now = Timestamp(self.now);
        match event {
            Event::Start => {
                let vm = &mut self.vms[i];
                vm.peers = Peers::new(OwnershipConfig::default(), vm.info.clone(), now);
                vm.up = true;
                for seed in 0..SEEDS {
                    vm.peers.add_address(ip(usize::from(seed)), now);
                }
                // The store sends the register within some ten milliseconds.
                let read = 5_000 + self.draws.below(40_000);
                self.schedule(i, self.now + read, Event::Register);
                self.schedule(i, self.now, Event::Tick);
            }
            Event::Register => {
                let minions = self.site.minions;
                let counts = (0..3).map(|d| (domain(d), minions)).collect();
                self.vms[i].peers.set_minions(counts);
                self.vms[i].registered = true;
                let able = |d| {
                    let mut ready = self.vms.iter().filter(|vm| vm.registered);
                    ready.any(|vm| vm.info.domain == domain(d))
                };
                if self.outcome.able == 0 && (0..3).all(able) {
                    self.outcome.able = self.now / 1_000;
                }
                // The list of VMs comes from the store, too. It has those that
                // do not return.
                for other in 0..self.vms.len() {
                    self.vms[i].peers.add_address(ip(other), now);
                }
            }
            Event::Receive(heartbeat) => {
                if !self.vms[i].up {
                    return;
                }
                let new = self.vms[i].peers.is_new(&heartbeat.from);
                let from = heartbeat.from.clone();
                let changes = self.vms[i].peers.receive(*heartbeat, now);
                self.note(i, &changes);
                if let (true, IpAddr::V4(addr)) = (new, from.addr.ip()) {
                    let interval = OwnershipConfig::default().idle_interval;
                    let mut answer = self.heartbeat(i, KNOWN.0, interval);
                    let relayed = self.vms[i].peers.relayed_reports(&from);
                    answer.reports.extend(relayed);
                    self.send(i, &answer, &[addr]);
                }
            }
            Event::Tick => self.tick(i, now),
        }
    }

    fn tick(&mut self, i: usize, now: Timestamp) {
        let cfg = OwnershipConfig::default();
        let registered = self.vms[i].registered;
        let peers = &mut self.vms[i].peers;
        let shards = match registered {
            true => (0..3)
                .flat_map(|d| peers.shards(&domain(d), 1, now))
                .collect(),
            false => Vec::new(),
        };
        let changes = peers.tick(&shards, now);
        let fresh = peers.take_fresh();
        let urgent = self.note(i, &changes);
        let interval = {
            let vm = &self.vms[i];
            let broadcast = Broadcast {
                peers: vm.peers.addrs().count(),
                owners: vm.peers.owner_count() + 1,
                is_owner: vm.peers.claims().next().is_some(),
                bytes: 300,
                link: BitRate(100_000_000),
            };
            broadcast.interval(&cfg)
        };
        let answer = self.heartbeat(i, KNOWN.0, cfg.idle_interval);
        self.send(i, &answer, &fresh);
        let vm = &mut self.vms[i];
        let short = urgent || self.now - vm.last_short >= cfg.heartbeat_interval.micros();
        let all = urgent || self.now - vm.last_all >= interval.micros();
        if short {
            vm.last_short = self.now;
            let claims: Vec<_> = vm.peers.claims().map(|(s, _)| s.clone()).collect();
            let first = claims.iter().flat_map(|s| vm.peers.candidates(s, 3, now));
            let mut to: BTreeSet<_> = first.collect();
            if all {
                vm.last_all = self.now;
                to.extend(vm.peers.addrs());
            }
            let sent = self.heartbeat(i, KNOWN.1, interval);
            self.send(i, &sent, &to.into_iter().collect::<Vec<_>>());
        }
        self.schedule(i, self.now + TICK, Event::Tick);
    }

    /// Returns whether each minion is in a shard of some VM.
    fn all_owned(&self) -> bool {
        (0..3).all(|d| {
            let claims = self.vms.iter().flat_map(|vm| vm.peers.claims());
            let claims = claims.map(|(s, _)| s).filter(|s| s.domain == domain(d));
            let claims: Vec<_> = claims.collect();
            let finest = claims.iter().map(|s| s.count).max().unwrap_or(1);
            (0..finest).all(|index| {
                let part = Shard {
                    domain: domain(d),
                    index,
                    count: finest,
                };
                claims.iter().any(|s| s.overlaps(&part))
            })
        })
    }

    fn run(&mut self, until: Millis) {
        while let Some(((at, _), (i, event))) = self.events.pop_first() {
            if at > until.micros() {
                self.schedule(i, at, event);
                return;
            }
            self.now = at;
            let before = self.outcome.taken;
            self.step(i, event);
            if self.outcome.taken > before && self.outcome.owned == 0 && self.all_owned() {
                self.outcome.owned = at / 1_000;
            }
        }
    }
}

fn site(vms: u16, minions: u32, seed: u64) -> Site {
    Site {
        vms,
        minions,
        spread: Millis(300),
        loss: 2,
        absent: 0,
        seed,
    }
}

/// Sums over the starts of a site with several seeds.
#[derive(Debug, Default)]
struct Sum {
    /// Longest time from the first VM of each domain that could own a shard
    /// until each shard had an owner.
    longest: u64,
    /// Mean of that time.
    mean: u64,
    /// Longest time from power to an owner of each shard.
    owned: u64,
    taken: usize,
    lost: usize,
}

/// Starts a site with each of the seeds.
fn start(site: Site, seeds: u64) -> Sum {
    let vms = site.vms;
    let mut sum = Sum::default();
    for seed in 1..=seeds {
        let mut model = Model::new(Site { seed, ..site });
        model.start(usize::from(vms));
        model.run(Millis(2_500));
        assert!(model.all_owned(), "{vms} VMs, seed {seed}");
        let out = model.outcome;
        println!("{vms} VMs, seed {seed}: {out:?}");
        sum.longest = sum.longest.max(out.owned - out.able);
        sum.mean += (out.owned - out.able) / seeds;
        sum.owned = sum.owned.max(out.owned);
        sum.taken += out.taken;
        sum.lost += out.lost;
    }
    println!("{vms} VMs, all {seeds} seeds: {sum:?}");
    sum
}

#[test]
fn six_vms() {
    let all = start(site(6, 24, 0), 20);
    assert!(all.mean <= 250 && all.owned <= 850, "{all:?}");
    assert!(all.lost <= 2, "{all:?}");
}

#[test]
fn middle_site() {
    let all = start(site(38, 117, 0), 6);
    assert!(all.mean <= 250 && all.owned <= 500, "{all:?}");
    assert!(all.lost <= 1, "{all:?}");
}

#[test]
fn large_site() {
    let all = start(site(147, 400, 0), 2);
    assert!(all.mean <= 300 && all.owned <= 500, "{all:?}");
    assert!(all.lost <= 1, "{all:?}");
}

#[test]
fn absent_seeds() {
    // The VMs that the settings name do not return, so that the others find each
    // other by the store's list only.
    let site = Site {
        absent: usize::from(SEEDS),
        ..site(38, 117, 0)
    };
    let all = start(site, 6);
    assert!(all.mean <= 250 && all.owned <= 500, "{all:?}");
    assert!(all.lost <= 1, "{all:?}");
}

/// Lets the last `count` of 12 VMs start when the others have long settled. They
/// are the largest and would have taken shards if they had started with the others.
/// Returns how many of them take a shard from running owners, over all seeds.
fn join(count: usize, loss: u64) -> usize {
    let mut takers = 0;
    for seed in 1..=20 {
        let mut model = Model::new(Site {
            loss,
            ..site(12, 24, seed)
        });
        for vm in &mut model.vms[12 - count..] {
            vm.info.share = 1_000;
            vm.info.room = 1_000;
        }
        model.start(12 - count);
        model.run(Millis(5_000));
        assert!(model.all_owned(), "seed {seed}");
        for i in 12 - count..12 {
            let at = 5_010_000 + model.draws.below(100_000);
            model.schedule(i, at, Event::Start);
        }
        model.run(Millis(8_000));
        takers += model.takers.range(12 - count..).count();
    }
    takers
}

#[test]
fn one_joins() {
    assert_eq!(join(1, 2), 0);
}

#[test]
fn two_join() {
    // They see each other start, which must not look like a start of all VMs.
    assert_eq!(join(2, 2), 0);
}

#[test]
fn owner_restarts() {
    // An owner whose process restarts so quickly that it is not missed. Its shard is
    // vacant then, and no two VMs may take it.
    for seed in 1..=20 {
        let mut model = Model::new(site(12, 24, seed));
        model.start(12);
        model.run(Millis(5_000));
        let owns = |i: &usize| model.vms[*i].peers.claims().next().is_some();
        let owner = (0..12).find(owns).unwrap();
        model.vms[owner].info.incarnation = format!("{:032x}", 99).parse().unwrap();
        let before = model.outcome;
        model.schedule(owner, 5_010_000, Event::Start);
        model.run(Millis(8_000));
        assert!(model.all_owned(), "seed {seed}");
        let (taken, lost) = (model.outcome.taken, model.outcome.lost);
        println!(
            "seed {seed}: {} taken, {} lost, settled after {} ms",
            taken - before.taken,
            lost - before.lost,
            model.outcome.settled - 5_010
        );
        assert_eq!(lost, before.lost, "seed {seed}");
    }
}

fn beat(from: &VmInfo, version: u64, reports: Vec<Report>) -> Heartbeat {
    Heartbeat {
        from: from.clone(),
        interval: OwnershipConfig::default().idle_interval,
        version,
        reports,
        known: Vec::new(),
        evacuations: Offset(0),
        evidence: schedule::EvidenceReport::default(),
        register: Offset(0),
        crashes: Vec::new(),
        sent: kernel::Timestamp(0),
        calls: None,
    }
}

/// Lets a VM start that hears another one start, and a running VM with these
/// reports. Returns when it takes its shard, in the first second.
fn taken_at(reports: impl Fn(&[VmInfo]) -> Vec<Report>) -> Option<u64> {
    let vms: Vec<_> = Model::new(site(12, 24, 1)).vms;
    let home: Vec<_> = vms.into_iter().map(|vm| vm.info).step_by(3).collect();
    let mut me = Peers::new(OwnershipConfig::default(), home[0].clone(), Timestamp(0));
    me.set_minions([(domain(0), 24)].into_iter().collect());
    let shard = Shard {
        domain: domain(0),
        index: 0,
        count: 1,
    };
    me.receive(beat(&home[1], 0, Vec::new()), Timestamp(10_000));
    me.receive(beat(&home[2], 1, reports(&home)), Timestamp(10_000));
    let mut ticks = (0..1_000_000).step_by(25_000);
    let taken = |at: &u64| {
        !me.tick(std::slice::from_ref(&shard), Timestamp(*at))
            .is_empty()
    };
    ticks.find(taken).map(|at| at / 1_000)
}

/// Returns a running VM's answer to the first VM that reports the owner `addr`.
fn relayed(vms: &[VmInfo], owner: &VmInfo) -> Vec<Report> {
    let mut state = Peers::new(OwnershipConfig::default(), owner.clone(), Timestamp(0));
    state.accept(&Shard {
        domain: domain(0),
        index: 0,
        count: 1,
    });
    let claims = state.claims().map(|(shard, claim)| Report {
        shard: shard.clone(),
        claim: *claim,
        load: Load::default(),
    });
    let mut running = Peers::new(OwnershipConfig::default(), vms[2].clone(), Timestamp(0));
    running.receive(beat(owner, 1, claims.collect()), Timestamp(0));
    running.relayed_reports(&vms[0])
}

#[test]
fn owner_relayed() {
    // A new VM that hears no owner itself must believe a running VM that one
    // exists, also when another VM starts at the same time.
    let early = taken_at(|_| Vec::new());
    assert!(early.is_some_and(|at| at < 450), "{early:?}");
    assert_eq!(taken_at(|vms| relayed(vms, &vms[3])), None);
}

#[test]
fn own_past() {
    // A VM that restarts is no longer the owner that others remember.
    assert_eq!(
        taken_at(|vms| relayed(vms, &vms[0])),
        taken_at(|_| Vec::new())
    );
    let claimed = |vms: &[VmInfo]| {
        let mut reports = relayed(vms, &vms[3]);
        reports[0].claim.addr = vms[0].addr;
        reports
    };
    assert_eq!(taken_at(claimed), taken_at(|_| Vec::new()));
}

#[test]
fn one_neighbour() {
    // A VM that is cut off together with a single idle one listens for the whole
    // time before it takes minions from owners that it does not hear.
    let cfg = OwnershipConfig::default();
    let vms: Vec<_> = Model::new(site(12, 24, 1)).vms;
    let home: Vec<_> = vms.into_iter().map(|vm| vm.info).step_by(3).collect();
    let mut me = Peers::new(cfg, home[0].clone(), Timestamp(0));
    me.set_minions([(domain(0), 24)].into_iter().collect());
    (0..4).for_each(|i| me.add_address(ip(i * 3), Timestamp(0)));
    me.receive(beat(&home[1], 1, Vec::new()), Timestamp(10_000));
    for ms in (0..cfg.listen_time.0).step_by(25) {
        let shards = me.shards(&domain(0), 1, Timestamp(ms * 1_000));
        assert!(me.tick(&shards, Timestamp(ms * 1_000)).is_empty(), "{ms}");
    }
}
