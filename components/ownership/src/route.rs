//! Selection of the shard that runs a job, and of the shards that it is offered
//! to after a refusal (docs/design/shortage.md#offers).
//!
//! A job stays in the VM's own domain unless it would start clearly sooner in
//! another one, and it is never sent to a shard without minions.

use kernel::{Domain, HashMap, Millis, Timestamp};
use rand::Rng;
use rand::seq::IndexedRandom;
use schedule::{JobSpec, Load};

use crate::shard::Shard;

/// Maximum number of shards that a job is offered to. Each further offer costs
/// the caller a round trip and the owners an admission decision.
pub const MAX_OFFERS: usize = 3;

/// Milliseconds by which a job must start sooner in another domain to be sent
/// there. They cover the longer round trip and the age of the reported load.
const REMOTE_COST_MS: f64 = 12.0;

/// Age in milliseconds at which a report's free cores count half when an offer
/// is drawn: the interval of the heartbeats between VMs that run jobs for each
/// other.
const HALF_AGE_MS: f64 = 100.0;

/// A shard that may take a job.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate {
    /// Shard that is considered.
    pub shard: Shard,
    /// Last known load of the shard, less what was sent to it since.
    pub load: Load,
    /// Age of that load.
    pub age: Millis,
}

impl Candidate {
    /// Returns whether the shard has room for at least one of the job's first
    /// tasks.
    fn has_room(&self, spec: &JobSpec) -> bool {
        self.load.free >= f64::from(spec.steps[0].need.cpu.0) / 1000.0
    }

    /// Returns the weight of the shard's free cores in a draw.
    fn weight(&self) -> f64 {
        self.load.free.max(1.0) * HALF_AGE_MS / (HALF_AGE_MS + self.age.0 as f64)
    }
}

/// Returns the estimated time in milliseconds until a job's last task starts.
fn start_delay(spec: &JobSpec, load: &Load) -> f64 {
    let missing = (spec.width() - load.free).max(0.0) * spec.steps[0].estimate.0 as f64;
    (load.waiting + missing) / load.cores.max(0.001) + load.delay.0 as f64
}

/// Chooses the shard that is expected to start the job soonest. Of several
/// that can start it at once, one is drawn by free capacity: reports are up to
/// some hundred milliseconds old, and all VMs would choose the same one.
pub fn choose(
    spec: &JobSpec,
    home: &Domain,
    mut candidates: Vec<Candidate>,
    rng: &mut impl Rng,
) -> Option<Candidate> {
    candidates.retain(|c| c.load.minions > 0);
    let cost = |c: &Candidate| {
        let remote = if c.shard.domain == *home {
            0.0
        } else {
            REMOTE_COST_MS
        };
        start_delay(spec, &c.load) + remote
    };
    let least = candidates.iter().map(cost).fold(f64::INFINITY, f64::min);
    candidates.retain(|c| cost(c) <= least);
    candidates.sort_by(|a, b| a.shard.cmp(&b.shard));
    let weight = |c: &Candidate| c.load.free.max(1.0);
    candidates.choose_weighted(rng, weight).ok().cloned()
}

/// Chooses the shard that a refused job is offered to next. `spec` has the time
/// that is left, and `candidates` are the shards that have not been tried.
///
/// The shard is drawn by free cores among those that have some for the job and
/// would start its last task within its slack. Without such a shard the second
/// offer goes to the one that would start it soonest within its slack, as free
/// cores may be reported late; there is no third one then.
pub fn choose_next(
    spec: &JobSpec,
    home: &Domain,
    mut candidates: Vec<Candidate>,
    offers: usize,
    rng: &mut impl Rng,
) -> Option<Candidate> {
    let path = spec.critical_path();
    if offers >= MAX_OFFERS || spec.timeout < path {
        return None;
    }
    // A job that is too wide for its objective may wait until its caller leaves.
    let slack = spec.objective.0.saturating_sub(path.0) as f64;
    let longest = (spec.timeout.0 - path.0) as f64;
    let alone = |c: &Candidate| {
        let missing = (spec.width() - c.load.cores).max(0.0);
        missing * spec.steps[0].estimate.0 as f64 / c.load.cores.max(0.001)
    };
    candidates.retain(|c| c.load.minions > 0);
    candidates.retain(|c| start_delay(spec, &c.load) <= (slack + alone(c)).min(longest));
    let with_room = candidates.iter().filter(|c| c.has_room(spec));
    let mut with_room: Vec<_> = with_room.cloned().collect();
    with_room.sort_by(|a, b| a.shard.cmp(&b.shard));
    let drawn = with_room.choose_weighted(rng, Candidate::weight).ok();
    match drawn {
        Some(drawn) => Some(drawn.clone()),
        None if offers < 2 => choose(spec, home, candidates, rng),
        None => None,
    }
}

/// Cores of the jobs that this VM has sent to one shard since its load was
/// reported.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Sent {
    /// Time of the report.
    reported: Timestamp,
    /// Cores of the jobs that have not ended since.
    cores: f64,
}

/// Jobs sent to shards of other VMs since their last reports. Reports are up to
/// some hundred milliseconds old, and a burst would go to one shard otherwise.
#[derive(Debug, Default)]
pub struct SentWork {
    shards: HashMap<Shard, Sent>,
}

impl SentWork {
    /// Counts a job sent to a shard whose load was reported at `reported`, and
    /// returns the number of cores to pass to [`SentWork::remove`].
    pub fn add(&mut self, shard: &Shard, reported: Timestamp, spec: &JobSpec) -> f64 {
        let cores = spec.width();
        let none = Sent {
            reported,
            cores: 0.0,
        };
        let sent = self.shards.entry(shard.clone()).or_insert(none);
        if sent.reported != reported {
            *sent = none;
        }
        sent.cores += cores;
        cores
    }

    /// Removes a job that has ended. Later reports include that already.
    pub fn remove(&mut self, shard: &Shard, reported: Timestamp, cores: f64) {
        if let Some(sent) = self.shards.get_mut(shard)
            && sent.reported == reported
        {
            sent.cores -= cores;
            if sent.cores <= 0.0 {
                self.shards.remove(shard);
            }
        }
    }

    /// Returns a load reported at `reported` less what was sent since.
    pub fn adjust(&self, shard: &Shard, reported: Timestamp, load: Load) -> Load {
        let sent = self.shards.get(shard);
        let sent = sent.filter(|s| s.reported == reported);
        Load {
            free: (load.free - sent.map_or(0.0, |s| s.cores)).max(0.0),
            ..load
        }
    }
}
