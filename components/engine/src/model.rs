//! The configuration of queues and request limits.

use compact_str::CompactString;
use kernel::{Millis, Service};
use serde::{Deserialize, Serialize};

/// Limits on requests of callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct FrontLimits {
    /// Maximum size of the headers in bytes.
    pub header_bytes: usize,
    /// Maximum size of a body in bytes.
    pub body_bytes: usize,
    /// Maximum time for the headers to arrive, and for a body.
    pub header_wait: Millis,
    /// Maximum idle time of a connection.
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

/// A queue: which requests it receives and how their jobs are run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Queue {
    /// Name of the queue.
    pub name: CompactString,
    /// Host name in requests to the queue.
    pub host: CompactString,
    /// Prefix of the path of these requests.
    pub prefix: CompactString,
    /// Service whose minions run the queue's tasks.
    pub service: Service,
    /// Priority of the jobs; 0 is the highest.
    pub priority: u8,
    /// Number of failures of one task at which its job fails.
    pub attempts: u32,
    /// Latency objective as a multiple of the job's ideal time.
    pub slack: f64,
    /// Constant part of the latency objective, which is added to that multiple.
    pub target: Millis,
    /// Maximum time that a caller waits for its answer.
    pub timeout: Millis,
}

/// A complete configuration. A lower version never replaces a higher one.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Configuration {
    /// Version of the configuration.
    pub version: u64,
    /// Queues that requests are assigned to.
    pub queues: Vec<Queue>,
    /// Limits on requests.
    pub limits: FrontLimits,
}

impl Configuration {
    /// Returns the queue of a request: among those of its host the one with the
    /// longest prefix of its path.
    pub fn queue(&self, host: &str, path: &str) -> Option<&Queue> {
        let matching = self
            .queues
            .iter()
            .filter(|q| q.host.eq_ignore_ascii_case(host) && path.starts_with(q.prefix.as_str()));
        matching.max_by_key(|q| q.prefix.len())
    }
}
