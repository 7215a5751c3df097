//! Which troubles a run meets, and when, drawn from a seed.

use std::fmt;

use kernel::Millis;
use platform_standin::{OrderFaults, StoreMode};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;

/// The time before the first trouble, in which the VMs find each other.
const QUIET: Millis = Millis(2_000);

/// The pause between two troubles in milliseconds; troubles mostly overlap.
const PAUSE_MS: std::ops::Range<u64> = 300..2_500;

/// How long a trouble lasts in milliseconds.
const SPAN_MS: std::ops::Range<u64> = 200..4_000;

/// One in so many troubles comes several times in a row.
const SERIES: u64 = 5;

/// How large a site is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Shape {
    /// Failure domains.
    pub domains: usize,
    /// VMs, which are dealt out to the domains in turn.
    pub vms: usize,
    /// Minions in each domain.
    pub minions: usize,
}

/// Which datagrams of a VM don't get through to or from the others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Way {
    /// Those that it sends.
    Out,
    /// Those sent to it, and connections.
    In,
    /// All.
    Both,
}

/// Something that goes wrong. VMs, minions and domains are named by their
/// position in the site.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Trouble {
    /// A VM's process is killed, and started again at the end.
    Kill(usize),
    /// All VMs' processes are killed.
    KillAll,
    /// A VM is asked to stop, and started again once it has ended.
    Stop(usize),
    /// A VM's process stands still.
    Pause(usize),
    /// A VM reaches nothing but its callers.
    Isolate(usize),
    /// A VM and the other VMs don't hear each other.
    Part(usize, Way),
    /// A domain is cut off from the others and the store.
    CutDomain(usize),
    /// Connections between domains are slow.
    Delay,
    /// All connections that a VM has opened to minions are reset.
    Reset(usize),
    /// A VM's connections to the store go silent for good.
    SilenceStore(usize),
    /// The store treats one VM differently, or all.
    Store(Option<usize>, StoreMode),
    /// The store forgets its history.
    Compact,
    /// A minion crashes, and starts anew under its id at the end.
    Crash(usize),
    /// A minion's open connections go silent for good.
    SilenceMinion(usize),
    /// A minion takes so many times as long.
    Slow(usize, f64),
    /// Everything that starts on a minion fails.
    Fail(usize),
    /// What runs on a minion stands still.
    Stall(usize),
    /// A minion announces that it leaves, and leaves at the end.
    Drain(usize),
    /// Orders to all minions go wrong.
    Orders(OrderFaults),
    /// The operator adds a queue and removes the last one added.
    Configure,
    /// Callers send so many times as much.
    Burst(f64),
}

impl Trouble {
    /// Returns the trouble's name, for counts.
    pub fn kind(&self) -> &'static str {
        match self {
            Trouble::Kill(_) => "kill",
            Trouble::KillAll => "kill_all",
            Trouble::Stop(_) => "stop",
            Trouble::Pause(_) => "pause",
            Trouble::Isolate(_) => "isolate",
            Trouble::Part(..) => "part",
            Trouble::CutDomain(_) => "cut_domain",
            Trouble::Delay => "delay",
            Trouble::Reset(_) => "reset",
            Trouble::SilenceStore(_) => "silence_store",
            Trouble::Store(..) => "store",
            Trouble::Compact => "compact",
            Trouble::Crash(_) => "crash",
            Trouble::SilenceMinion(_) => "silence_minion",
            Trouble::Slow(..) => "slow",
            Trouble::Fail(_) => "fail",
            Trouble::Stall(_) => "stall",
            Trouble::Drain(_) => "drain",
            Trouble::Orders(_) => "orders",
            Trouble::Configure => "configure",
            Trouble::Burst(_) => "burst",
        }
    }
}

/// A trouble with its time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Step {
    /// When it begins, from the start of the load.
    pub at: Millis,
    /// How long it lasts.
    pub span: Millis,
    /// What it is.
    pub trouble: Trouble,
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} for {}: {:?}", self.at, self.span, self.trouble)
    }
}

/// All troubles of a run, in the order of their beginnings.
#[derive(Debug, Clone, PartialEq)]
pub struct Plan {
    /// What it was drawn from.
    pub seed: u64,
    /// How large the site is.
    pub shape: Shape,
    /// How long troubles may last; the site then gets well and is looked at
    /// once more.
    pub span: Millis,
    /// The troubles.
    pub steps: Vec<Step>,
}

impl Plan {
    /// Draws a plan. The same seed, shape and span give the same plan.
    pub fn draw(seed: u64, shape: Shape, span: Millis) -> Plan {
        let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
        let mut steps = Vec::new();
        let mut at = QUIET.0;
        while at < span.0 {
            let trouble = draw(&mut rng, shape);
            let times = match rng.random_range(0..SERIES) {
                0 => rng.random_range(2..4),
                _ => 1,
            };
            for _ in 0..times {
                let lasts = rng.random_range(SPAN_MS).min(span.0.saturating_sub(at));
                steps.push(Step {
                    at: Millis(at),
                    span: Millis(lasts),
                    trouble,
                });
                at += rng.random_range(PAUSE_MS);
            }
        }
        steps.retain(|s| s.at < span);
        Plan {
            seed,
            shape,
            span,
            steps,
        }
    }

    /// Tells whether nothing but the step at `index` is wrong from `before` its
    /// beginning until `after` it.
    pub fn calm(&self, index: usize, before: Millis, after: Millis) -> bool {
        let step = &self.steps[index];
        let from = step.at.0.saturating_sub(before.0);
        let until = step.at.0 + after.0;
        let others = self.steps.iter().enumerate().filter(|(i, _)| *i != index);
        let mut others = others.map(|(_, s)| s);
        until < self.span.0 && others.all(|s| s.at.0 + s.span.0 < from || s.at.0 > until)
    }
}

fn draw(rng: &mut Xoshiro256PlusPlus, shape: Shape) -> Trouble {
    let vm = rng.random_range(0..shape.vms);
    let minion = rng.random_range(0..shape.minions * shape.domains);
    let domain = rng.random_range(0..shape.domains);
    let share = rng.random_range(0.05..0.7);
    match rng.random_range(0..24) {
        0 | 1 => Trouble::Kill(vm),
        2 => Trouble::KillAll,
        3 | 4 => Trouble::Stop(vm),
        5 | 6 => Trouble::Pause(vm),
        7 => Trouble::Isolate(vm),
        8 => {
            let ways = [Way::Out, Way::In, Way::Both];
            Trouble::Part(vm, ways.choose(rng).copied().unwrap_or(Way::Both))
        }
        9 => Trouble::CutDomain(domain),
        10 => Trouble::Delay,
        11 => Trouble::Reset(vm),
        12 => Trouble::SilenceStore(vm),
        13 | 14 => {
            let modes = [
                StoreMode::Busy,
                StoreMode::TooMany,
                StoreMode::Silent,
                StoreMode::Slow(Millis(200).duration()),
                StoreMode::LosesAnswers,
            ];
            let mode = modes.choose(rng).copied().unwrap_or_default();
            Trouble::Store(rng.random_bool(0.5).then_some(vm), mode)
        }
        15 => Trouble::Compact,
        16 => Trouble::Crash(minion),
        17 => Trouble::SilenceMinion(minion),
        18 => Trouble::Slow(minion, rng.random_range(2.0..8.0)),
        19 => match rng.random_bool(0.5) {
            true => Trouble::Fail(minion),
            false => Trouble::Stall(minion),
        },
        20 => Trouble::Drain(minion),
        21 => Trouble::Orders(match rng.random_range(0..3) {
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
        22 => Trouble::Configure,
        _ => Trouble::Burst(rng.random_range(1.5..4.0)),
    }
}
