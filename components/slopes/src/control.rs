//! Costs of heartbeats under load: the memberships, digests and quotas of up to 40
//! VMs in memory, without a network. Only the first VM's share is measured.

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
use crate::fixtures;

/// Interval at which a VM checks for due heartbeats.
const TICK: Millis = Millis(50);

/// Time that a fleet runs before it is measured.
const SETTLE: Millis = Millis(8000);

/// Time over which a fleet is measured.
const MEASURE_TIME: Millis = Millis(8000);

/// Time for which a peer's digest is valid.
const DIGEST_TTL: Millis = Millis(2000);

/// Percentage of the slots that tasks hold.
const BUSY_PERCENT: usize = 70;

/// Quota of each team.
const QUOTA: Slots = Slots(40);

/// One in this many steps is left out of a sum, the longest ones first, because
/// other programs on the machine interrupt some steps.
const OUTLIER_RATIO: usize = 50;

/// The size of a fleet.
#[derive(Debug, Clone, Copy)]
struct Plan {
    /// The number of failure domains.
    domains: usize,
    /// The number of VMs in each domain.
    vms: usize,
    /// The number of minions in all domains together.
    minions: usize,
    /// The number of teams with quotas.
    teams: usize,
    /// Whether tasks hold slots and teams ask for more than their quota.
    busy: bool,
}

/// Design size of a site, as given in the users' letter 1.
const DESIGN: Plan = Plan {
    domains: 5,
    vms: 8,
    minions: 830,
    teams: 310,
    busy: true,
};

/// Measures heartbeats against the numbers of VMs, minions and teams.
pub(crate) fn measure() -> Result<Vec<Figure>, SlopeError> {
    let mut figures = Vec::new();
    let mut series = Series::new("VMs, all teams at their quota");
    for (domains, vms) in [(1, 2), (5, 2), (5, 3), (5, 4), (5, 8)] {
        measure_fleet(
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
        measure_fleet(&mut series, domains * vms, plan);
    }
    figures.extend(series.finish());
    let mut series = Series::new("minions, 5 x 8 VMs");
    for minions in [50, 200, 400, 830] {
        measure_fleet(&mut series, minions, Plan { minions, ..DESIGN });
    }
    figures.extend(series.finish());
    let mut series = Series::new("teams at their quota, 5 x 8 VMs");
    for teams in [10, 50, 100, 310] {
        measure_fleet(&mut series, teams, Plan { teams, ..DESIGN });
    }
    figures.extend(series.finish());
    Ok(figures)
}

/// Measures one fleet and adds its costs to the series.
fn measure_fleet(series: &mut Series, size: usize, plan: Plan) {
    let mut fleet = Cluster::start(plan);
    fleet.run(SETTLE);
    fleet.cost = Cost::default();
    fleet.run(MEASURE_TIME);
    let cost = &mut fleet.cost;
    let seconds = MEASURE_TIME.0 as f64 / 1000.0;
    let spent = cost.spent();
    series.add(
        size,
        &[
            (
                "heartbeats, in and out",
                "1/s",
                cost.heartbeats as f64 / seconds,
            ),
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

/// Costs of the first VM.
#[derive(Debug, Default)]
struct Cost {
    /// The number of heartbeats sent and answered.
    heartbeats: usize,
    /// The bytes of these heartbeats and of their answers.
    bytes: usize,
    /// The duration of each step.
    steps: Vec<Duration>,
}

impl Cost {
    /// Returns the total duration in seconds, without the longest steps.
    fn spent(&mut self) -> f64 {
        self.steps.sort();
        let kept = self.steps.len() - self.steps.len() / OUTLIER_RATIO;
        self.steps[..kept].iter().map(Duration::as_secs_f64).sum()
    }
}

/// The control plane of a VM.
struct Node {
    /// The VM.
    vm: Vm,
    /// The VM's view of the fleet's members.
    members: Membership<Xoshiro256PlusPlus>,
    /// The VM's table of minions.
    fleet: Fleet<Balanced>,
    /// The teams' quotas over all VMs, the teams' quotas in the domain, and the
    /// services' slots in the domain.
    quotas: [Quotas; 3],
    /// The slots that tasks hold.
    slots: Vec<Slot>,
    /// The quotas that tasks hold.
    guards: Vec<QuotaGuard>,
    /// The hybrid logical clock.
    hlc: Hlc,
}

impl Node {
    fn start(plan: Plan, n: usize) -> Node {
        let home = fixtures::domain(n / plan.vms);
        let vm = fixtures::vm(&home, n);
        let rng = fixtures::rng(n);
        let node = Node {
            members: Membership::new(Timestamp(0), vm.clone(), Config::default(), rng),
            fleet: Fleet::new(home.clone(), RoutingConfig::default(), Balanced),
            quotas: [(); 3].map(|()| Quotas::new(DIGEST_TTL)),
            slots: Vec::new(),
            guards: Vec::new(),
            hlc: Hlc::default(),
            vm,
        };
        node.set_up(plan, n, &home);
        node
    }

    /// Sets up the table of minions and the quotas.
    fn set_up(&self, plan: Plan, n: usize, home: &Domain) {
        self.fleet
            .update(&fixtures::minion_infos(plan.minions, plan.domains));
        self.fleet.set_peers(n % plan.vms, plan.vms);
        let share = |rank, live| Share {
            vm: self.vm.id.clone(),
            rank,
            live,
        };
        let teams: Vec<(Team, Slots)> = (0..plan.teams)
            .map(|t| (fixtures::team(t), QUOTA))
            .collect();
        let [everywhere, here, services] = &self.quotas;
        everywhere.update(&teams, share(n, plan.domains * plan.vms));
        // The sheet of the design size has no rows for teams in one domain.
        here.update(&[], share(n % plan.vms, plan.vms));
        let slots = Slots((plan.minions / plan.domains) as u32 * fixtures::SLOTS.0);
        let cap = (fixtures::team(0), slots);
        services.update(&[cap], share(n % plan.vms, plan.vms));
        debug_assert_eq!(*home, self.vm.domain);
    }

    /// Lets tasks hold slots, and lets every team ask for one more.
    fn occupy(&mut self, plan: Plan, now: Timestamp) {
        let all = plan.minions * fixtures::SLOTS.0 as usize * BUSY_PERCENT / 100;
        let held = all / (plan.domains * plan.vms);
        while self.slots.len() < held {
            let acquired = self.fleet.acquire(&fixtures::service(), Cores(1), &[], now);
            match acquired {
                Ok(slot) => self.slots.push(slot),
                Err(_) => break,
            }
        }
        for team in (0..plan.teams).map(fixtures::team) {
            self.guards.extend(self.quotas[0].acquire(&team).ok());
        }
    }

    /// Returns the load that the VM reports in its heartbeats.
    fn load(&self, now: Timestamp) -> Load {
        let [teams, home_teams, services] = &self.quotas;
        let digests = UsageDigest {
            fleet: self.fleet.digest(now).capacity_only(),
            teams: teams.digest(now),
            home_teams: home_teams.digest(now),
            services: services.digest(now),
        };
        Load {
            usage: Arc::new(digests),
            stamp: self.hlc.stamp(now.since(Timestamp(0))),
        }
    }

    /// Applies the load that a peer reports in a heartbeat.
    fn apply(&self, heartbeat: &Heartbeat, now: Timestamp) {
        let from = &heartbeat.from.id;
        let load = &heartbeat.note.usage;
        let [teams, home_teams, services] = &self.quotas;
        teams.apply_digest(from, &load.teams, now);
        self.fleet.apply_digest(from, &load.fleet, now);
        if heartbeat.from.domain == self.vm.domain {
            home_teams.apply_digest(from, &load.home_teams, now);
            services.apply_digest(from, &load.services, now);
        }
    }
}

/// The VMs of a fleet in memory.
struct Cluster {
    /// The size of the fleet.
    plan: Plan,
    /// The current time.
    now: Timestamp,
    /// The control planes of the VMs.
    nodes: Vec<Node>,
    /// The costs of the first VM.
    cost: Cost,
}

impl Cluster {
    fn start(plan: Plan) -> Cluster {
        let count = plan.domains * plan.vms;
        let mut nodes: Vec<_> = (0..count).map(|n| Node::start(plan, n)).collect();
        let listing = Listing {
            vms: nodes.iter().map(|n| fixtures::listed_vm(&n.vm)).collect(),
            leaving: Vec::new(),
        };
        for node in &mut nodes {
            node.members.on_listing(Timestamp(0), listing.clone());
        }
        Cluster {
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
            self.nodes[from].occupy(self.plan, now);
        }
        let (targets, load) = self.timed(from, |node| {
            let targets = node.members.tick(now);
            std::hint::black_box(node.members.view(now));
            // As in a real VM, all targets get the same digest.
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
        let is_target = |n: &Node| n.vm.peers == target.addr;
        let Some(to) = self.nodes.iter().position(is_target) else {
            return;
        };
        let (peer, home) = (
            self.nodes[to].vm.clone(),
            self.nodes[from].vm.domain.clone(),
        );
        let same_domain = peer.domain == home;
        let sent = self.timed(from, |node| {
            let load = load.addressed_to(&peer.id, same_domain);
            let heartbeat = node.members.heartbeat(now, target, load);
            wire::encode(&heartbeat).unwrap_or_default()
        });
        let back = self.timed(to, |node| {
            let Ok(heartbeat) = wire::decode::<Heartbeat>(&sent) else {
                return Default::default();
            };
            node.members.on_heartbeat(now, &heartbeat);
            node.apply(&heartbeat, now);
            let load = node.load(now).addressed_to(&heartbeat.from.id, same_domain);
            let answer = node.members.reply(now, &heartbeat.from, load);
            wire::encode(&answer).unwrap_or_default()
        });
        self.timed(from, |node| {
            if let Ok(answer) = wire::decode::<Heartbeat>(&back) {
                node.members.on_reply(now, target, &answer);
                node.apply(&answer, now);
            }
        });
        if from == 0 || to == 0 {
            self.cost.heartbeats += 1;
            self.cost.bytes += sent.len() + back.len();
        }
    }

    /// Runs a step of a VM and records its duration if it is the first VM.
    fn timed<T>(&mut self, at: usize, step: impl FnOnce(&mut Node) -> T) -> T {
        let began = Instant::now();
        let result = step(&mut self.nodes[at]);
        if at == 0 {
            self.cost.steps.push(began.elapsed());
        }
        result
    }
}
