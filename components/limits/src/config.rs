//! The settings section `limits`.

use kernel::{Fault, Key, Kind, Millis, Parts, Plugin, Section};

/// The settings of the queue, admission, retries and quotas.
#[derive(Debug, Clone)]
pub struct LimitsConfig {
    /// The largest number of tasks that wait for one service.
    pub queue_max: usize,
    /// The part of a job's deadline, in percent, that its estimated duration
    /// may take.
    pub deadline_percent: u32,
    /// Whether jobs that can't meet their deadline are refused early.
    pub admission: bool,
    /// The number of retries allowed for each hundred first attempts.
    pub retry_percent: u32,
    /// The time after which the quota digest of a peer is dropped.
    pub peer_ttl: Millis,
}

impl Default for LimitsConfig {
    fn default() -> LimitsConfig {
        LimitsConfig {
            queue_max: 20_000,
            deadline_percent: 40,
            admission: true,
            retry_percent: 10,
            peer_ttl: Millis(3000),
        }
    }
}

impl LimitsConfig {
    /// Reads a checked section; keys left out keep their defaults.
    pub fn from_section(section: &Section) -> LimitsConfig {
        let base = LimitsConfig::default();
        LimitsConfig {
            queue_max: section.get("queue_max").unwrap_or(base.queue_max),
            deadline_percent: section
                .get("deadline_percent")
                .unwrap_or(base.deadline_percent),
            admission: section.get("admission").unwrap_or(base.admission),
            retry_percent: section.get("retry_percent").unwrap_or(base.retry_percent),
            peer_ttl: section.get("peer_ttl").unwrap_or(base.peer_ttl),
        }
    }
}

inventory::submit! {
    Plugin {
        name: "limits",
        keys: &[
            Key {
                name: "queue_max",
                kind: Kind::Count(1, 1_000_000),
                default: Some("20000"),
                help: "The largest number of tasks that wait for one service; jobs beyond it are not run.",
            },
            Key {
                name: "deadline_percent",
                kind: Kind::Count(1, 100),
                default: Some("40"),
                help: "A job is refused when its estimated time exceeds this part of its deadline.",
            },
            Key {
                name: "admission",
                kind: Kind::Flag,
                default: Some("true"),
                help: "Whether jobs that can't meet their deadline are refused early.",
            },
            Key {
                name: "retry_percent",
                kind: Kind::Count(0, 100),
                default: Some("10"),
                help: "Retries allowed for each hundred first attempts.",
            },
            Key {
                name: "peer_ttl",
                kind: Kind::Span(100, 60_000),
                default: Some("3s"),
                help: "The time after which a peer's report on quotas is dropped.",
            },
        ],
        install,
    }
}

fn install(section: &Section, parts: &mut Parts) -> Vec<Fault> {
    parts.put(LimitsConfig::from_section(section));
    Vec::new()
}
