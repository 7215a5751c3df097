//! The settings section `metrics`.

use std::net::SocketAddr;

use kernel::{Fault, Key, Kind, Millis, Parts, Plugin, Section};

/// The configuration of the metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Config {
    /// The address of statsd; nothing is sent if it is `None`.
    pub statsd: Option<SocketAddr>,
    /// The interval at which metrics are sent.
    pub period: Millis,
}

/// The sending interval if the settings don't give one.
const DEFAULT_PERIOD: Millis = Millis(10_000);

const KEYS: &[Key] = &[
    Key {
        name: "statsd",
        kind: Kind::Address,
        default: Some(""),
        help: "The address at which statsd takes metrics over UDP; if empty, none are sent.",
    },
    Key {
        name: "period",
        kind: Kind::Span(100, 600_000),
        default: Some("10s"),
        help: "The interval at which metrics are sent.",
    },
];

fn install(section: &Section, parts: &mut Parts) -> Vec<Fault> {
    parts.put(Config {
        statsd: section.get("statsd"),
        period: section.get("period").unwrap_or(DEFAULT_PERIOD),
    });
    Vec::new()
}

inventory::submit! {
    Plugin { name: "metrics", keys: KEYS, install }
}
