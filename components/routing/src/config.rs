//! The settings section `routing`.

use std::fmt;
use std::str::FromStr;

use kernel::{Domain, HashMap, Key, Kind, Millis, Parts, Plugin, Section};

use crate::policy::{Balanced, LeastOwn, Policy, Random, Split};

/// The policies that the settings can name.
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

/// The names of [`PolicyKind`] in the settings.
const POLICY_NAMES: &[&str] = &[Balanced::NAME, Random::NAME, LeastOwn::NAME, Split::NAME];

/// The error for a text that names no policy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PolicyError;

impl fmt::Display for PolicyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "expected one of {}", POLICY_NAMES.join(", "))
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

/// The settings for picking and ejecting minions.
#[derive(Debug, Clone)]
pub struct RoutingConfig {
    /// The policy that picks a minion.
    pub policy: PolicyKind,
    /// The extra round trip to a domain that is not in `domain_trips`.
    pub extra_trip: Millis,
    /// The extra round trip by domain.
    pub domain_trips: HashMap<Domain, Millis>,
    /// The first hold of an ejected minion; each failed probe doubles it.
    pub eject_hold: Millis,
    /// The longest time between two probes of an ejected minion.
    pub eject_hold_max: Millis,
    /// The largest part of a domain's minions that may be ejected, in percent.
    pub eject_max: u32,
    /// The time after which the digest of a peer is dropped.
    pub peer_ttl: Millis,
    /// The number of refusals that may be risked for each thousand tasks by
    /// using slots that are not on soft lease.
    pub refusals: u32,
    /// The seed of the random number generator.
    pub seed: u64,
}

impl Default for RoutingConfig {
    fn default() -> RoutingConfig {
        RoutingConfig {
            policy: PolicyKind::Balanced,
            extra_trip: Millis(3),
            domain_trips: HashMap::default(),
            eject_hold: Millis(10_000),
            eject_hold_max: Millis(300_000),
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
            extra_trip: span("extra_trip", base.extra_trip),
            eject_hold: span("eject_hold", base.eject_hold),
            eject_hold_max: span("eject_hold_max", base.eject_hold_max),
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
                kind: Kind::Word(POLICY_NAMES),
                default: Some(Balanced::NAME),
                help: "The policy that picks a minion; all but balanced are baselines.",
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
                help: "The time for which a failing minion gets no task before its first probe.",
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
                help: "The largest part of a domain's minions that may be ejected, in percent.",
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
                help: "The time after which a peer VM's load report is dropped.",
            },
        ],
        install,
    }
}

fn install(section: &Section, parts: &mut Parts) -> Vec<kernel::Fault> {
    parts.put(RoutingConfig::from_section(section));
    Vec::new()
}
