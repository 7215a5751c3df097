//! The configuration of an entry VM, and its sections of the settings.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use kernel::{Domain, Fault, Key, Kind, Millis, Parts, Plugin, Section, VmId};
use wire::{PoolLimits, ServerLimits};

/// Limits on jobs and their kept outcomes.
#[derive(Debug, Clone, Copy)]
pub struct JobLimits {
    /// Maximum size of a submission's body in bytes.
    pub body_size: usize,
    /// Time within which a submission must have arrived completely.
    pub body_wait: Millis,
    /// Memory for all bodies together, in bytes, beyond what their connections cover.
    pub body_memory: usize,
    /// Longest deadline that a job may request.
    pub deadline: Millis,
    /// Maximum number of bytes of outcomes kept for callers that submit again.
    pub kept_bytes: usize,
    /// Maximum number of unused tickets remembered.
    pub ticket_span: u64,
    /// Maximum number of claimed keys remembered.
    pub claim_count: usize,
}

impl Default for JobLimits {
    fn default() -> JobLimits {
        JobLimits {
            body_size: 4 << 20,
            body_wait: Millis(5_000),
            body_memory: 256 << 20,
            deadline: Millis(60_000),
            kept_bytes: 64 << 20,
            ticket_span: 1 << 20,
            claim_count: 500_000,
        }
    }
}

/// Limits on the use of the platform's log.
#[derive(Debug, Clone, Copy)]
pub struct LogLimits {
    /// Appends per second that all VMs together may make.
    pub append_rate: u64,
    /// Timeout of an append.
    pub append_wait: Millis,
    /// Time within which an appended record must be read back.
    pub resolve_wait: Millis,
    /// Time that a read waits for a new record (long poll).
    pub read_wait: Millis,
    /// Time for which the log keeps a record.
    pub retention: Millis,
}

impl Default for LogLimits {
    fn default() -> LogLimits {
        LogLimits {
            append_rate: 300,
            append_wait: Millis(500),
            resolve_wait: Millis(500),
            read_wait: Millis(1_000),
            retention: Millis(3_600_000),
        }
    }
}

/// An entry VM's configuration.
#[derive(Debug, Clone)]
pub struct Config {
    /// Id of the VM.
    pub id: VmId,
    /// Failure domain of the VM.
    pub domain: Domain,
    /// Address to serve callers on; port 0 lets the system choose a port.
    pub callers: SocketAddr,
    /// Address to serve peers on; port 0 lets the system choose a port.
    pub peers: SocketAddr,
    /// Address of the platform.
    pub platform: SocketAddr,
    /// Peers to contact while the platform's list of machines is not known.
    pub seeds: Vec<SocketAddr>,
    /// Limits on jobs.
    pub jobs: JobLimits,
    /// Limits on the use of the log.
    pub log: LogLimits,
    /// Limits on connections to minions and peers.
    pub pool: PoolLimits,
    /// Limits on connections from callers and peers.
    pub server: ServerLimits,
    /// Heartbeat interval and timeouts of membership.
    pub members: membership::Config,
    /// Longest time that a planned stop waits for jobs in flight.
    pub stop_wait: Millis,
    /// Number of events that the time line keeps.
    pub ring: usize,
}

impl Config {
    /// Creates a configuration that serves on loopback, with defaults for all
    /// other fields.
    pub fn new(id: VmId, domain: Domain, platform: SocketAddr) -> Config {
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        Config {
            id,
            domain,
            callers: any,
            peers: any,
            platform,
            seeds: Vec::new(),
            jobs: JobLimits::default(),
            log: LogLimits::default(),
            pool: PoolLimits::default(),
            server: ServerLimits::default(),
            members: membership::Config::default(),
            stop_wait: Millis(30_000),
            ring: timeline::Config::default().capacity,
        }
    }
}

const JOB_KEYS: &[Key] = &[
    Key {
        name: "body_size",
        kind: Kind::Count(1 << 10, 64 << 20),
        default: Some("4194304"),
        help: "The longest body of a submission, in bytes.",
    },
    Key {
        name: "body_wait",
        kind: Kind::Span(100, 60_000),
        default: Some("5s"),
        help: "The time within which a submission must have arrived.",
    },
    Key {
        name: "body_memory",
        kind: Kind::Count(64 << 20, 64 << 30),
        default: Some("268435456"),
        help: "The most bytes of all submissions' bodies that are being received.",
    },
    Key {
        name: "deadline",
        kind: Kind::Span(1_000, 3_600_000),
        default: Some("60s"),
        help: "The longest deadline that a job may request.",
    },
    Key {
        name: "kept_bytes",
        kind: Kind::Count(1 << 20, 8 << 30),
        default: Some("67108864"),
        help: "The most bytes of answers kept for callers that submit again.",
    },
    Key {
        name: "ticket_span",
        kind: Kind::Count(1 << 10, 1 << 30),
        default: Some("1048576"),
        help: "The most unused tickets remembered.",
    },
    Key {
        name: "claim_count",
        kind: Kind::Count(1 << 10, 1 << 26),
        default: Some("500000"),
        help: "The most claimed keys remembered.",
    },
    Key {
        name: "stop_wait",
        kind: Kind::Span(1_000, 600_000),
        default: Some("30s"),
        help: "The longest time that a planned stop waits for jobs in flight.",
    },
];

const PLATFORM_KEYS: &[Key] = &[
    Key {
        name: "append_rate",
        kind: Kind::Count(1, 100_000),
        default: Some("300"),
        help: "The appends a second that all VMs together may make.",
    },
    Key {
        name: "append_wait",
        kind: Kind::Span(10, 60_000),
        default: Some("500ms"),
        help: "The longest wait for an append's answer.",
    },
    Key {
        name: "resolve_wait",
        kind: Kind::Span(10, 60_000),
        default: Some("500ms"),
        help: "The longest wait until an appended record is read back.",
    },
    Key {
        name: "read_wait",
        kind: Kind::Span(10, 60_000),
        default: Some("1s"),
        help: "The longest time that a read waits for a new record.",
    },
    Key {
        name: "retention",
        kind: Kind::Span(60_000, 30 * 24 * 3_600_000),
        default: Some("1h"),
        help: "How long the log keeps a record.",
    },
];

const POOL_KEYS: &[Key] = &[
    Key {
        name: "idle_count",
        kind: Kind::Count(1, 1_000),
        default: Some("60"),
        help: "The most idle connections kept to one minion or peer.",
    },
    Key {
        name: "idle_age",
        kind: Kind::Span(10, 60_000),
        default: Some("1s"),
        help: "The age at which an idle connection is closed instead of used.",
    },
    Key {
        name: "connect_wait",
        kind: Kind::Span(10, 60_000),
        default: Some("500ms"),
        help: "The longest wait for a new connection.",
    },
];

inventory::submit! {
    Plugin { name: "jobs", keys: JOB_KEYS, install: install_jobs }
}

inventory::submit! {
    Plugin { name: "log_service", keys: PLATFORM_KEYS, install: install_log }
}

inventory::submit! {
    Plugin { name: "connections", keys: POOL_KEYS, install: install_pool }
}

/// Longest time that a planned stop waits for jobs in flight, as its own entry
/// in [`Parts`].
#[derive(Debug, Clone, Copy)]
pub struct StopWait(pub Millis);

fn install_jobs(section: &Section, parts: &mut Parts) -> Vec<Fault> {
    let base = JobLimits::default();
    parts.put(JobLimits {
        body_size: section.get("body_size").unwrap_or(base.body_size),
        body_wait: section.get("body_wait").unwrap_or(base.body_wait),
        body_memory: section.get("body_memory").unwrap_or(base.body_memory),
        deadline: section.get("deadline").unwrap_or(base.deadline),
        kept_bytes: section.get("kept_bytes").unwrap_or(base.kept_bytes),
        ticket_span: section.get("ticket_span").unwrap_or(base.ticket_span),
        claim_count: section.get("claim_count").unwrap_or(base.claim_count),
    });
    parts.put(StopWait(section.get("stop_wait").unwrap_or(Millis(30_000))));
    Vec::new()
}

fn install_log(section: &Section, parts: &mut Parts) -> Vec<Fault> {
    let base = LogLimits::default();
    parts.put(LogLimits {
        append_rate: section.get("append_rate").unwrap_or(base.append_rate),
        append_wait: section.get("append_wait").unwrap_or(base.append_wait),
        resolve_wait: section.get("resolve_wait").unwrap_or(base.resolve_wait),
        read_wait: section.get("read_wait").unwrap_or(base.read_wait),
        retention: section.get("retention").unwrap_or(base.retention),
    });
    Vec::new()
}

fn install_pool(section: &Section, parts: &mut Parts) -> Vec<Fault> {
    let base = PoolLimits::default();
    let span = |key: &str, or: Duration| section.get(key).map_or(or, Millis::duration);
    parts.put(PoolLimits {
        idle_count: section.get("idle_count").unwrap_or(base.idle_count),
        idle_age: span("idle_age", base.idle_age),
        connect_wait: span("connect_wait", base.connect_wait),
        reply_size: base.reply_size,
    });
    Vec::new()
}
