//! Heartbeats under load: the memberships, digests and quotas of up to 40 VMs
//! in memory, without network. The first VM's own share is measured.

use std::sync::Arc;
use std::time::{Duration, Instant};

use entry::{Heartbeat, Load, UsageDigest};
use kernel::{Cores, Domain, Millis, Slots, Team, Timestamp};
use limits::{QuotaGuard, Quotas, Share};
use membership::{Config, Listing, Membership, Target, Vm};
use rand_xoshiro::Xoshiro256PlusPlus;
use routing::{Balanced, Fleet, RoutingConfig, Slot};
use timeline::Hlc;

use crate::SlopeError;
use crate::figure::{Figure, Series};
use crate::named;

/// How often a VM looks for heartbeats that are due.
const TICK: Millis = Millis(50);

/// How long a fleet runs before it is watched.
const SETTLE: Millis = Millis(8000);

/// How long a fleet is watched.
const WATCHED: Millis = Millis(8000);

/// How long a peer's digest counts.
const TTL: Millis = Millis(2000);

/// The part of the slots that tasks hold, in percent.
const BUSY: usize = 70;

/// Each team's quota.
const QUOTA: Slots = Slots(40);

/// The longest times left out of a sum, as one in so many: the machine runs
/// other programs, which now and then come between.
const OUTLIERS: usize = 50;

/// The size of a fleet.
#[derive(Debug, Clone, Copy)]
struct Plan {
    /// Failure domains.
    domains: usize,
    /// VMs in each.
    vms: usize,
    /// Minions in all domains.
    minions: usize,
    /// Teams with quotas.
    teams: usize,
    /// Whether tasks hold slots and teams want more than they have.
    busy: bool,
}

/// The design size of letter 1.
const DESIGN: Plan = Plan {
    domains: 5,
    vms: 8,
    minions: 830,
    teams: 310,
    busy: true,
};

/// Measures heartbeats against VMs, minions and teams.
pub(crate) fn measure() -> Result<Vec<Figure>, SlopeError> {
    let mut figures = Vec::new();
    let mut series = Series::new("VMs, all teams at their quota");
    for (domains, vms) in [(1, 2), (5, 2), (5, 3), (5, 4), (5, 8)] {
        run(
            &mut series,
            domains * vms,
            Plan {
                domains,
                vms,
                ..DESIGN
            },
        );
    }
    figures.extend(series.finish());
    let mut series = Series::new("VMs, no jobs");
    for (domains, vms) in [(1, 2), (5, 2), (5, 3), (5, 4), (5, 8)] {
        let plan = Plan {
            domains,
            vms,
            busy: false,
            ..DESIGN
        };
        run(&mut series, domains * vms, plan);
    }
    figures.extend(series.finish());
    let mut series = Series::new("minions, 5 x 8 VMs");
    for minions in [50, 200, 400, 830] {
        run(&mut series, minions, Plan { minions, ..DESIGN });
    }
    figures.extend(series.finish());
    let mut series = Series::new("teams at their quota, 5 x 8 VMs");
    for teams in [10, 50, 100, 310] {
        run(&mut series, teams, Plan { teams, ..DESIGN });
    }
    figures.extend(series.finish());
    Ok(figures)
}

/// Measures one fleet.
fn run(series: &mut Series, size: usize, plan: Plan) {
    let mut fleet = Nodes::start(plan);
    fleet.run(SETTLE);
    fleet.cost = Cost::default();
    fleet.run(WATCHED);
    let cost = &mut fleet.cost;
    let seconds = WATCHED.0 as f64 / 1000.0;
    let spent = cost.spent();
    series.add(
        size,
        &[
            ("heartbeats, in and out", "1/s", cost.beats as f64 / seconds),
            (
                "their bytes without HTTP",
                "B/s",
                cost.bytes as f64 / seconds,
            ),
            (
                "their processor time without HTTP",
                "% of a core",
                spent / seconds * 100.0,
            ),
        ],
    );
}

/// What the first VM did.
#[derive(Debug, Default)]
struct Cost {
    /// Heartbeats sent and answered.
    beats: usize,
    /// The bytes of both and of their answers.
    bytes: usize,
    /// The time of each step.
    steps: Vec<Duration>,
}

impl Cost {
    /// Returns the seconds spent, the longest steps left out.
    fn spent(&mut self) -> f64 {
        self.steps.sort();
        let kept = self.steps.len() - self.steps.len() / OUTLIERS;
        self.steps[..kept].iter().map(Duration::as_secs_f64).sum()
    }
}

/// A VM's control plane.
struct Node {
    /// The VM.
    vm: Vm,
    /// Whom it believes in.
    members: Membership<Xoshiro256PlusPlus>,
    /// Its minions.
    fleet: Fleet<Balanced>,
    /// The teams' quotas over all VMs, in the domain, and the services' slots.
    quotas: [Quotas; 3],
    /// The slots that tasks hold.
    slots: Vec<Slot>,
    /// The quota that tasks hold.
    guards: Vec<QuotaGuard>,
    /// Its clock.
    hlc: Hlc,
}

impl Node {
    fn start(plan: Plan, n: usize) -> Node {
        let home = named::domain(n / plan.vms);
        let vm = named::vm(&home, n);
        let rng = named::dice(n);
        let node = Node {
            members: Membership::new(Timestamp(0), vm.clone(), Config::default(), rng),
            fleet: Fleet::new(home.clone(), RoutingConfig::default(), Balanced),
            quotas: [(); 3].map(|()| Quotas::new(TTL)),
            slots: Vec::new(),
            guards: Vec::new(),
            hlc: Hlc::default(),
            vm,
        };
        node.fill(plan, n, &home);
        node
    }

    fn fill(&self, plan: Plan, n: usize, home: &Domain) {
        self.fleet
            .update(&named::minion_infos(plan.minions, plan.domains));
        self.fleet.set_peers(n % plan.vms, plan.vms);
        let share = |rank, live| Share {
            vm: self.vm.id.clone(),
            rank,
            live,
        };
        let teams: Vec<(Team, Slots)> = (0..plan.teams).map(|t| (named::team(t), QUOTA)).collect();
        let [everywhere, here, services] = &self.quotas;
        everywhere.update(&teams, share(n, plan.domains * plan.vms));
        // The sheet of the design size has no rows for teams in one domain.
        here.update(&[], share(n % plan.vms, plan.vms));
        let slots = Slots((plan.minions / plan.domains) as u32 * named::SLOTS.0);
        let cap = (named::team(0), slots);
        services.update(&[cap], share(n % plan.vms, plan.vms));
        debug_assert_eq!(*home, self.vm.domain);
    }

    /// Lets tasks hold slots, and lets every team ask for one more.
    fn work(&mut self, plan: Plan, now: Timestamp) {
        let all = plan.minions * named::SLOTS.0 as usize * BUSY / 100;
        let most = all / (plan.domains * plan.vms);
        while self.slots.len() < most {
            let got = self.fleet.acquire(&named::service(), Cores(1), &[], now);
            match got {
                Ok(slot) => self.slots.push(slot),
                Err(_) => break,
            }
        }
        for team in (0..plan.teams).map(named::team) {
            self.guards.extend(self.quotas[0].acquire(&team).ok());
        }
    }

    fn load(&self, now: Timestamp) -> Load {
        let [teams, home_teams, services] = &self.quotas;
        let told = UsageDigest {
            fleet: self.fleet.digest(now).capacity_only(),
            teams: teams.digest(now),
            home_teams: home_teams.digest(now),
            services: services.digest(now),
        };
        Load {
            usage: Arc::new(told),
            stamp: self.hlc.stamp(now.since(Timestamp(0))),
        }
    }

    fn learn(&self, beat: &Heartbeat, now: Timestamp) {
        let from = &beat.from.id;
        let load = &beat.note.usage;
        let [teams, home_teams, services] = &self.quotas;
        teams.apply_digest(from, &load.teams, now);
        self.fleet.apply_digest(from, &load.fleet, now);
        if beat.from.domain == self.vm.domain {
            home_teams.apply_digest(from, &load.home_teams, now);
            services.apply_digest(from, &load.services, now);
        }
    }
}

/// A fleet in memory.
struct Nodes {
    /// Its size.
    plan: Plan,
    /// The time.
    now: Timestamp,
    /// The VMs.
    nodes: Vec<Node>,
    /// What the first VM did.
    cost: Cost,
}

impl Nodes {
    fn start(plan: Plan) -> Nodes {
        let count = plan.domains * plan.vms;
        let mut nodes: Vec<_> = (0..count).map(|n| Node::start(plan, n)).collect();
        let listing = Listing {
            vms: nodes.iter().map(|n| named::listed(&n.vm)).collect(),
            leaving: Vec::new(),
        };
        for node in &mut nodes {
            node.members.on_listing(Timestamp(0), listing.clone());
        }
        Nodes {
            plan,
            now: Timestamp(0),
            nodes,
            cost: Cost::default(),
        }
    }

    fn run(&mut self, span: Millis) {
        for _ in 0..span.0 / TICK.0 {
            self.now = self.now.after(TICK);
            for from in 0..self.nodes.len() {
                self.step(from);
            }
        }
    }

    fn step(&mut self, from: usize) {
        let now = self.now;
        if self.plan.busy {
            self.nodes[from].work(self.plan, now);
        }
        let (targets, load) = self.timed(from, |node| {
            let targets = node.members.tick(now);
            std::hint::black_box(node.members.view(now));
            // One digest goes to all, as in the program.
            let load = (!targets.is_empty()).then(|| node.load(now));
            (targets, load)
        });
        for target in &targets {
            if let Some(load) = &load {
                self.exchange(from, target, load);
            }
        }
    }

    fn exchange(&mut self, from: usize, target: &Target, load: &Load) {
        let now = self.now;
        let reached = |n: &Node| n.vm.peers == target.addr;
        let Some(to) = self.nodes.iter().position(reached) else {
            return;
        };
        let (there, home) = (
            self.nodes[to].vm.clone(),
            self.nodes[from].vm.domain.clone(),
        );
        let near = there.domain == home;
        let sent = self.timed(from, |node| {
            let load = load.addressed_to(&there.id, near);
            let beat = node.members.heartbeat(now, target, load);
            wire::encode(&beat).unwrap_or_default()
        });
        let back = self.timed(to, |node| {
            let Ok(beat) = wire::decode::<Heartbeat>(&sent) else {
                return Default::default();
            };
            node.members.on_heartbeat(now, &beat);
            node.learn(&beat, now);
            let load = node.load(now).addressed_to(&beat.from.id, near);
            let answer = node.members.reply(now, &beat.from, load);
            wire::encode(&answer).unwrap_or_default()
        });
        self.timed(from, |node| {
            if let Ok(answer) = wire::decode::<Heartbeat>(&back) {
                node.members.on_reply(now, target, &answer);
                node.learn(&answer, now);
            }
        });
        if from == 0 || to == 0 {
            self.cost.beats += 1;
            self.cost.bytes += sent.len() + back.len();
        }
    }

    /// Runs a step of a VM, and times it if it is the first one's.
    fn timed<T>(&mut self, at: usize, step: impl FnOnce(&mut Node) -> T) -> T {
        let began = Instant::now();
        let result = step(&mut self.nodes[at]);
        if at == 0 {
            self.cost.steps.push(began.elapsed());
        }
        result
    }
}
