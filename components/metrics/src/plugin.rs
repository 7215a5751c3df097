//! The settings of the metrics.

use std::net::SocketAddr;

use kernel::{Fault, Key, Kind, Millis, Parts, Plugin, Section};

/// The configuration of the metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Config {
    /// Where statsd is; without it nothing is sent.
    pub statsd: Option<SocketAddr>,
    /// The time between two sendings.
    pub period: Millis,
}

/// The time between two sendings when the settings don't tell it.
const PERIOD: Millis = Millis(10_000);

const KEYS: &[Key] = &[
    Key {
        name: "statsd",
        kind: Kind::Address,
        default: Some(""),
        help: "Where statsd takes metrics over UDP; empty sends none.",
    },
    Key {
        name: "period",
        kind: Kind::Span(100, 600_000),
        default: Some("10s"),
        help: "The time between two sendings.",
    },
];

fn install(section: &Section, parts: &mut Parts) -> Vec<Fault> {
    parts.put(Config {
        statsd: section.get("statsd"),
        period: section.get("period").unwrap_or(PERIOD),
    });
    Vec::new()
}

inventory::submit! {
    Plugin { name: "metrics", keys: KEYS, install }
}
