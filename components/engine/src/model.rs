//! The configuration that the engine works by.

use compact_str::CompactString;
use kernel::{Millis, Service};
use serde::{Deserialize, Serialize};

/// Bounds on what the callers' front takes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct FrontLimits {
    /// The most bytes of headers.
    pub header_bytes: usize,
    /// The most bytes of a body.
    pub body_bytes: usize,
    /// The longest wait for headers and for a body.
    pub header_wait: Millis,
    /// How long a connection may be idle.
    pub idle_wait: Millis,
}

impl Default for FrontLimits {
    fn default() -> FrontLimits {
        FrontLimits {
            header_bytes: 16 << 10,
            body_bytes: 256 << 10,
            header_wait: Millis(3_000),
            idle_wait: Millis(15_000),
        }
    }
}

/// A queue: where its jobs come in and how they are treated.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Queue {
    /// Its name.
    pub name: CompactString,
    /// The host that requests name.
    pub host: CompactString,
    /// What their path begins with.
    pub prefix: CompactString,
    /// The service whose minions run its tasks.
    pub service: Service,
    /// 0 goes first.
    pub priority: u8,
    /// How often a task may fail.
    pub attempts: u32,
    /// The latency objective over the job's ideal time.
    pub slack: f64,
    /// Added to the latency objective.
    pub target: Millis,
    /// The longest that a caller may be kept waiting.
    pub timeout: Millis,
}

/// A whole configuration. Versions rise; a lower one never replaces a higher.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Configuration {
    /// Its version.
    pub version: u64,
    /// The queues.
    pub queues: Vec<Queue>,
    /// Bounds on requests.
    pub limits: FrontLimits,
}

impl Configuration {
    /// Finds the queue of a request: that of its host with the longest prefix
    /// of its path.
    pub fn queue(&self, host: &str, path: &str) -> Option<&Queue> {
        let fit = self
            .queues
            .iter()
            .filter(|q| q.host.eq_ignore_ascii_case(host) && path.starts_with(q.prefix.as_str()));
        fit.max_by_key(|q| q.prefix.len())
    }
}
