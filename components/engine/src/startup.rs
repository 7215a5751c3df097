//! Records when a VM reaches each step of its start. After a loss of all VMs no
//! job is served until the last step, so the log shows which step takes the time
//! (docs/design/cold-start.md).

use std::fmt;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

/// Ticks per second of the times in `/proc/self/stat`, which Linux fixes for
/// all programs.
const PROC_TICKS: u64 = 100;

/// Position of the start time in `/proc/self/stat` after the process's name.
const START_FIELD: usize = 19;

/// A step of a VM's start. The order is the usual one; a VM that owns no shard
/// does not reach those of an owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// The settings have been read.
    Settings,
    /// The front accepts connections of clients.
    Front,
    /// The first heartbeat of another VM has arrived.
    Heartbeat,
    /// A configuration is in force.
    Configuration,
    /// The register of minions is known.
    Register,
    /// The first job of a client has arrived.
    Job,
    /// Another VM is known to own a shard.
    Owner,
    /// This VM owns a shard.
    Shard,
    /// A minion of a shard of this VM obeys it.
    FirstMinion,
    /// Half of a shard's minions obey this VM.
    HalfMinions,
    /// Nine tenths of a shard's minions obey this VM.
    MostMinions,
    /// A minion has accepted a start order of this VM.
    Start,
    /// A client has got the result of its job.
    Answer,
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Step::Settings => "settings",
            Step::Front => "front",
            Step::Heartbeat => "heartbeat",
            Step::Configuration => "configuration",
            Step::Register => "register",
            Step::Job => "job",
            Step::Owner => "owner",
            Step::Shard => "shard",
            Step::FirstMinion => "first-minion",
            Step::HalfMinions => "half-minions",
            Step::MostMinions => "most-minions",
            Step::Start => "start",
            Step::Answer => "answer",
        })
    }
}

/// Records each [`Step`] once.
#[derive(Debug)]
pub struct Startup {
    /// Time at which the process started.
    process_start: Instant,
    /// Steps that have been reached, one bit each.
    reached: AtomicU32,
}

impl Startup {
    pub(crate) fn new() -> Startup {
        let now = Instant::now();
        Startup {
            process_start: now.checked_sub(process_age()).unwrap_or(now),
            reached: AtomicU32::new(0),
        }
    }

    /// Writes a log line if the step is reached for the first time.
    pub fn reach(&self, step: Step) {
        if !self.has_reached(step) {
            self.reach_at(step, Instant::now());
        }
    }

    /// Writes a log line if the step, which was reached at the given time, has
    /// not been recorded before.
    pub fn reach_at(&self, step: Step, at: Instant) {
        let bit = step.bit();
        if self.reached.fetch_or(bit, Ordering::Relaxed) & bit == 0 {
            let age = at.saturating_duration_since(self.process_start);
            log::info!(step:% = step, age_ms = age.as_millis() as u64; "start-up step reached");
        }
    }

    /// Returns whether the step has been recorded.
    pub fn has_reached(&self, step: Step) -> bool {
        self.reached.load(Ordering::Relaxed) & step.bit() != 0
    }

    /// Records which part of a shard's minions this VM holds.
    pub(crate) fn reach_held(&self, held: usize, minions: usize) {
        if held > 0 {
            self.reach(Step::FirstMinion);
        }
        if held * 2 >= minions {
            self.reach(Step::HalfMinions);
        }
        if held * 10 >= minions * 9 {
            self.reach(Step::MostMinions);
        }
    }
}

impl Step {
    fn bit(self) -> u32 {
        1 << self as u32
    }
}

/// Returns the time since the start of this process, to 20 ms, or zero where
/// `/proc` does not tell.
fn process_age() -> Duration {
    let age = || {
        let uptime = std::fs::read_to_string("/proc/uptime").ok()?;
        let stat = std::fs::read_to_string("/proc/self/stat").ok()?;
        age_of(&uptime, &stat)
    };
    age().unwrap_or_default()
}

/// Returns the age of a process from the texts of `/proc/uptime` and
/// `/proc/self/stat`.
fn age_of(uptime: &str, stat: &str) -> Option<Duration> {
    let uptime: f64 = uptime.split_whitespace().next()?.parse().ok()?;
    // The name can contain spaces and parentheses.
    let fields = stat.rsplit_once(')')?.1;
    let ticks: u64 = fields.split_whitespace().nth(START_FIELD)?.parse().ok()?;
    let started = Duration::from_millis(ticks * 1_000 / PROC_TICKS);
    let uptime = Duration::try_from_secs_f64(uptime).ok()?;
    Some(uptime.saturating_sub(started))
}
