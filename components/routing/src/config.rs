//! The settings section `routing`.

use std::fmt;
use std::str::FromStr;

use kernel::{Domain, HashMap, Key, Kind, Millis, Parts, Plugin, Section};

use crate::policy::{Balanced, LeastOwn, Policy, Random, Split};

/// The policies to choose from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum PolicyKind {
    /// [`Balanced`].
    #[default]
    Balanced,
    /// [`Random`].
    Random,
    /// [`LeastOwn`].
    Least,
    /// [`Split`].
    Split,
}

/// The words of [`PolicyKind`].
const WORDS: &[&str] = &[Balanced::NAME, Random::NAME, LeastOwn::NAME, Split::NAME];

/// The text is no policy's word.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PolicyError;

impl fmt::Display for PolicyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "expected one of {}", WORDS.join(", "))
    }
}

impl std::error::Error for PolicyError {}

impl FromStr for PolicyKind {
    type Err = PolicyError;

    fn from_str(s: &str) -> Result<PolicyKind, PolicyError> {
        match s {
            Balanced::NAME => Ok(PolicyKind::Balanced),
            Random::NAME => Ok(PolicyKind::Random),
            LeastOwn::NAME => Ok(PolicyKind::Least),
            Split::NAME => Ok(PolicyKind::Split),
            _ => Err(PolicyError),
        }
    }
}

/// How minions are picked and judged.
#[derive(Debug, Clone)]
pub struct RoutingConfig {
    /// The policy that the program installs.
    pub policy: PolicyKind,
    /// The extra round trip to domains for which `trips` has none.
    pub trip: Millis,
    /// The extra round trip to other domains.
    pub trips: HashMap<Domain, Millis>,
    /// How long a minion is ejected at first; each failed probe doubles it.
    pub hold: Millis,
    /// The longest time between two probes of an ejected minion.
    pub hold_max: Millis,
    /// The greatest part of a domain's minions that may be ejected, in percent.
    pub eject_max: u32,
    /// How long a peer's digest counts.
    pub peer_ttl: Millis,
    /// Refusals that may be risked for each thousand tasks, beyond the slots
    /// on soft lease.
    pub refusals: u32,
    /// The seed of the random draws.
    pub seed: u64,
}

impl Default for RoutingConfig {
    fn default() -> RoutingConfig {
        RoutingConfig {
            policy: PolicyKind::Balanced,
            trip: Millis(3),
            trips: HashMap::default(),
            hold: Millis(10_000),
            hold_max: Millis(300_000),
            eject_max: 30,
            peer_ttl: Millis(2000),
            refusals: 1,
            seed: 1,
        }
    }
}

impl RoutingConfig {
    /// Reads a checked section; keys left out keep their defaults.
    pub fn from_section(section: &Section) -> RoutingConfig {
        let base = RoutingConfig::default();
        let span = |key, or| section.get(key).unwrap_or(or);
        RoutingConfig {
            policy: section.get("policy").unwrap_or_default(),
            trip: span("extra_trip", base.trip),
            hold: span("eject_hold", base.hold),
            hold_max: span("eject_hold_max", base.hold_max),
            eject_max: section.get("eject_max_percent").unwrap_or(base.eject_max),
            peer_ttl: span("peer_ttl", base.peer_ttl),
            refusals: section.get("refusals_permille").unwrap_or(base.refusals),
            ..base
        }
    }
}

inventory::submit! {
    Plugin {
        name: "routing",
        keys: &[
            Key {
                name: "policy",
                kind: Kind::Word(WORDS),
                default: Some(Balanced::NAME),
                help: "How a minion is picked; all but balanced are baselines.",
            },
            Key {
                name: "extra_trip",
                kind: Kind::Span(0, 1000),
                default: Some("3ms"),
                help: "The extra round trip to a minion of another failure domain.",
            },
            Key {
                name: "eject_hold",
                kind: Kind::Span(100, 600_000),
                default: Some("10s"),
                help: "How long a failing minion gets no task before its first probe.",
            },
            Key {
                name: "eject_hold_max",
                kind: Kind::Span(100, 3_600_000),
                default: Some("5m"),
                help: "The longest time between two probes of a failing minion.",
            },
            Key {
                name: "eject_max_percent",
                kind: Kind::Count(0, 50),
                default: Some("30"),
                help: "The greatest part of a domain's minions that may be ejected.",
            },
            Key {
                name: "refusals_permille",
                kind: Kind::Count(0, 1000),
                default: Some("1"),
                help: "Refusals risked for each thousand tasks, to use slots that peers may take.",
            },
            Key {
                name: "peer_ttl",
                kind: Kind::Span(100, 60_000),
                default: Some("2s"),
                help: "How long the load that a peer VM reported counts.",
            },
        ],
        install,
    }
}

fn install(section: &Section, parts: &mut Parts) -> Vec<kernel::Fault> {
    parts.put(RoutingConfig::from_section(section));
    Vec::new()
}
