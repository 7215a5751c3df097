//! Plans of the faults to inject in a run, drawn from a seed.

use std::fmt;

use kernel::Millis;
use platform_standin::{OrderFaults, StoreMode};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;

/// Time before the first fault, in which the VMs find each other.
const WARM_UP: Millis = Millis(2_000);

/// Time from the beginning of a fault to that of the next, in milliseconds. It is
/// short, so that most faults overlap.
const INTERVAL_MS: std::ops::Range<u64> = 300..2_500;

/// Duration of a fault in milliseconds.
const SPAN_MS: std::ops::Range<u64> = 200..4_000;

/// Duration of an evacuation in milliseconds: some seconds longer than the time
/// within which it must be in force.
const EVACUATION_MS: std::ops::Range<u64> = 6_000..12_000;

/// Duration of poisoned jobs and of shrunk capacities in milliseconds: longer than
/// these may go unknown.
const MINION_FAULT_MS: std::ops::Range<u64> = 3_000..10_000;

/// Greatest number of times in a plan that callers send poisoned jobs.
const POISONINGS: usize = 2;

/// Greatest number of times in a plan that a minion shrinks.
const SHRINKINGS: usize = 3;

/// Greatest number of evacuations in a plan.
const EVACUATIONS: usize = 2;

/// One in this many faults is injected several times in a row.
const SERIES: u64 = 5;

/// Size of a site.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Shape {
    /// The number of failure domains.
    pub domains: usize,
    /// The number of VMs, which are assigned to the domains in turn.
    pub vms: usize,
    /// The number of minions in each domain.
    pub minions: usize,
}

/// Direction in which traffic between a VM and the other VMs is blocked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Direction {
    /// Datagrams that the VM sends.
    Out,
    /// Datagrams that are sent to the VM, and connections to it.
    In,
    /// Both.
    Both,
}

/// A fault to inject. VMs, minions and domains are given by their index in the
/// site.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    /// A VM's process is killed, and restarted at the end.
    Kill(usize),
    /// The processes of all VMs are killed, and restarted at the end.
    KillAll,
    /// A VM is asked to stop, and restarted after it has ended.
    Stop(usize),
    /// A VM's process is suspended.
    Pause(usize),
    /// All traffic of a VM is held, except that with its callers.
    Isolate(usize),
    /// Traffic between a VM and the other VMs is blocked in a direction.
    Part(usize, Direction),
    /// A domain is cut off from the others and the store.
    CutDomain(usize),
    /// Connections between domains are slow.
    Delay,
    /// All connections that a VM has opened to minions are reset.
    Reset(usize),
    /// The open connections of a VM to the store go silent and never recover.
    SilenceStore(usize),
    /// The store answers one VM, or all VMs, in a faulty mode.
    Store(Option<usize>, StoreMode),
    /// The store compacts its history away.
    Compact,
    /// A minion crashes, and restarts under its id at the end.
    Crash(usize),
    /// The open connections to a minion go silent and never recover.
    SilenceMinion(usize),
    /// A minion runs tasks slower by this factor.
    Slow(usize, f64),
    /// All tasks that start on a minion fail.
    Fail(usize),
    /// The tasks that run on a minion stall.
    Stall(usize),
    /// A minion announces that it leaves, and leaves at the end.
    Drain(usize),
    /// A fraction of the orders to all minions goes wrong.
    Orders(OrderFaults),
    /// The operator adds a queue and removes the one that was added last.
    Configure,
    /// Callers send more jobs by this factor.
    Burst(f64),
    /// The operator has a domain evacuated.
    Evacuate(usize),
    /// A fraction of the jobs that callers send have tasks that crash the minions
    /// that start them.
    Poison(f64),
    /// A minion has half of its capacity.
    Shrink(usize),
    /// Another writer leaves an odd entry of this variant over that of a minion, which
    /// writes its own again with its next heartbeat. Not drawn from seeds, whose plans
    /// are recorded.
    OddEntry(usize, usize),
}

impl Fault {
    /// Returns the name of the fault's kind, for counts.
    pub fn kind(&self) -> &'static str {
        match self {
            Fault::Kill(_) => "kill",
            Fault::KillAll => "kill_all",
            Fault::Stop(_) => "stop",
            Fault::Pause(_) => "pause",
            Fault::Isolate(_) => "isolate",
            Fault::Part(..) => "part",
            Fault::CutDomain(_) => "cut_domain",
            Fault::Delay => "delay",
            Fault::Reset(_) => "reset",
            Fault::SilenceStore(_) => "silence_store",
            Fault::Store(..) => "store",
            Fault::Compact => "compact",
            Fault::Crash(_) => "crash",
            Fault::SilenceMinion(_) => "silence_minion",
            Fault::Slow(..) => "slow",
            Fault::Fail(_) => "fail",
            Fault::Stall(_) => "stall",
            Fault::Drain(_) => "drain",
            Fault::Orders(_) => "orders",
            Fault::Configure => "configure",
            Fault::Burst(_) => "burst",
            Fault::Evacuate(_) => "evacuate",
            Fault::Poison(_) => "poison",
            Fault::Shrink(_) => "shrink",
            Fault::OddEntry(..) => "odd_entry",
        }
    }

    /// Returns whether a VM may not run or not reach the store because of the
    /// fault, so that it may learn of an evacuation late.
    pub fn disturbs_vms(&self) -> bool {
        match self {
            Fault::Kill(_)
            | Fault::KillAll
            | Fault::Stop(_)
            | Fault::Pause(_)
            | Fault::Isolate(_)
            | Fault::Part(..)
            | Fault::CutDomain(_)
            | Fault::SilenceStore(_)
            | Fault::Store(..) => true,
            Fault::Delay
            | Fault::Reset(_)
            | Fault::Compact
            | Fault::Crash(_)
            | Fault::SilenceMinion(_)
            | Fault::Slow(..)
            | Fault::Fail(_)
            | Fault::Stall(_)
            | Fault::Drain(_)
            | Fault::Orders(_)
            | Fault::Configure
            | Fault::Burst(_)
            | Fault::Poison(_)
            | Fault::Shrink(_)
            | Fault::OddEntry(..)
            | Fault::Evacuate(_) => false,
        }
    }
}

/// A fault with the time of its injection.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Step {
    /// The time at which it begins, from the start of the load.
    pub at: Millis,
    /// The time that it lasts.
    pub span: Millis,
    /// The fault.
    pub fault: Fault,
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} for {}: {:?}", self.at, self.span, self.fault)
    }
}

/// All faults of a run, in the order of their beginnings.
#[derive(Debug, Clone, PartialEq)]
pub struct Plan {
    /// The seed that the plan was drawn from.
    pub seed: u64,
    /// The size of the site.
    pub shape: Shape,
    /// The time until which faults may last. The site must recover afterwards.
    pub span: Millis,
    /// The faults with their times.
    pub steps: Vec<Step>,
}

impl Plan {
    /// Draws a plan. The same seed, shape and span give the same plan.
    pub fn draw(seed: u64, shape: Shape, span: Millis) -> Plan {
        let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
        let mut steps = Vec::new();
        let mut at = WARM_UP.0;
        while at < span.0 {
            let fault = draw(&mut rng, shape);
            let repeats = match rng.random_range(0..SERIES) {
                0 => rng.random_range(2..4),
                _ => 1,
            };
            for _ in 0..repeats {
                let span_ms = rng.random_range(SPAN_MS).min(span.0.saturating_sub(at));
                steps.push(Step {
                    at: Millis(at),
                    span: Millis(span_ms),
                    fault,
                });
                at += rng.random_range(INTERVAL_MS);
            }
        }
        steps.extend(draw_evacuations(seed, shape, span));
        steps.extend(draw_minion_faults(seed, shape, span));
        steps.retain(|s| s.at < span);
        steps.sort_by_key(|s| s.at);
        Plan {
            seed,
            shape,
            span,
            steps,
        }
    }

    /// Returns whether the step at `index` is the only fault from `before` its
    /// beginning until `after` its beginning, and this time ends within the plan's
    /// span.
    pub fn is_only_fault(&self, index: usize, before: Millis, after: Millis) -> bool {
        let step = &self.steps[index];
        let from = step.at.0.saturating_sub(before.0);
        let until = step.at.0 + after.0;
        let others = self.steps.iter().enumerate().filter(|(i, _)| *i != index);
        let mut others = others.map(|(_, s)| s);
        until < self.span.0 && others.all(|s| s.at.0 + s.span.0 < from || s.at.0 > until)
    }
}

/// Draws the evacuations of a plan. They have a generator of their own, so that
/// the other faults of a seed are the same as before there were evacuations.
fn draw_evacuations(seed: u64, shape: Shape, span: Millis) -> Vec<Step> {
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(!seed);
    let count = rng.random_range(0..=EVACUATIONS);
    let mut steps = Vec::new();
    for _ in 0..count {
        let at = rng.random_range(WARM_UP.0..=WARM_UP.0 + span.0 / 2);
        let span_ms = rng.random_range(EVACUATION_MS);
        steps.push(Step {
            at: Millis(at),
            span: Millis(span_ms.min(span.0.saturating_sub(at))),
            fault: Fault::Evacuate(rng.random_range(0..shape.domains)),
        });
    }
    steps
}

/// Draws jobs that crash minions, and minions that shrink. They too have a
/// generator of their own.
fn draw_minion_faults(seed: u64, shape: Shape, span: Millis) -> Vec<Step> {
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed.rotate_left(32));
    let poison = rng.random_range(0..=POISONINGS);
    let shrink = rng.random_range(0..=SHRINKINGS);
    let mut step = |fault| {
        let at = rng.random_range(WARM_UP.0..=WARM_UP.0.max(span.0));
        Step {
            at: Millis(at),
            span: Millis(
                rng.random_range(MINION_FAULT_MS)
                    .min(span.0.saturating_sub(at)),
            ),
            fault,
        }
    };
    let mut steps = Vec::new();
    for i in 0..poison {
        steps.push(step(Fault::Poison(0.02 * (i + 1) as f64)));
    }
    for i in 0..shrink {
        let minion = (seed as usize + i) % (shape.minions * shape.domains);
        steps.push(step(Fault::Shrink(minion)));
    }
    steps
}

fn draw(rng: &mut Xoshiro256PlusPlus, shape: Shape) -> Fault {
    let vm = rng.random_range(0..shape.vms);
    let minion = rng.random_range(0..shape.minions * shape.domains);
    let domain = rng.random_range(0..shape.domains);
    let share = rng.random_range(0.05..0.7);
    match rng.random_range(0..24) {
        0 | 1 => Fault::Kill(vm),
        2 => Fault::KillAll,
        3 | 4 => Fault::Stop(vm),
        5 | 6 => Fault::Pause(vm),
        7 => Fault::Isolate(vm),
        8 => {
            let directions = [Direction::Out, Direction::In, Direction::Both];
            Fault::Part(
                vm,
                directions.choose(rng).copied().unwrap_or(Direction::Both),
            )
        }
        9 => Fault::CutDomain(domain),
        10 => Fault::Delay,
        11 => Fault::Reset(vm),
        12 => Fault::SilenceStore(vm),
        13 | 14 => {
            let modes = [
                StoreMode::Busy,
                StoreMode::TooMany,
                StoreMode::Silent,
                StoreMode::Slow(Millis(200).duration()),
                StoreMode::LosesAnswers,
            ];
            let mode = modes.choose(rng).copied().unwrap_or_default();
            Fault::Store(rng.random_bool(0.5).then_some(vm), mode)
        }
        15 => Fault::Compact,
        16 => Fault::Crash(minion),
        17 => Fault::SilenceMinion(minion),
        18 => Fault::Slow(minion, rng.random_range(2.0..8.0)),
        19 => match rng.random_bool(0.5) {
            true => Fault::Fail(minion),
            false => Fault::Stall(minion),
        },
        20 => Fault::Drain(minion),
        21 => Fault::Orders(match rng.random_range(0..3) {
            0 => OrderFaults {
                late: share,
                ..OrderFaults::default()
            },
            1 => OrderFaults {
                mute: share,
                ..OrderFaults::default()
            },
            _ => OrderFaults {
                shed: share,
                ..OrderFaults::default()
            },
        }),
        22 => Fault::Configure,
        _ => Fault::Burst(rng.random_range(1.5..4.0)),
    }
}
