//! To which shard a job goes.
//!
//! A job stays in its own domain unless it would start clearly sooner in
//! another one, and it is never sent to a shard that can't start it.

use kernel::Domain;
use ownership::Shard;
use schedule::{JobSpec, Load};

/// How much sooner, in milliseconds, a job has to start in another domain to be
/// sent there: the longer way there and back, and the age of what is known.
const ABROAD_MS: f64 = 12.0;

/// A shard that may take a job.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Candidate {
    /// The shard.
    pub shard: Shard,
    /// How busy it is.
    pub load: Load,
}

/// Returns after how many milliseconds a job's last task is expected to start.
fn delay(spec: &JobSpec, load: &Load) -> f64 {
    let step = &spec.steps[0];
    let need = f64::from(step.count) * f64::from(step.need.cpu.0) / 1000.0;
    let missing = (need - load.free).max(0.0) * step.estimate.0 as f64;
    (load.waiting + missing) / load.cores.max(0.001)
}

/// Orders the shards by when they are expected to start the job.
pub(crate) fn order(
    spec: &JobSpec,
    home: &Domain,
    mut candidates: Vec<Candidate>,
) -> Vec<Candidate> {
    candidates.retain(|c| c.load.minions > 0);
    let cost = |c: &Candidate| {
        let abroad = if c.shard.domain == *home {
            0.0
        } else {
            ABROAD_MS
        };
        delay(spec, &c.load) + abroad
    };
    candidates.sort_by(|a, b| cost(a).total_cmp(&cost(b)).then(a.shard.cmp(&b.shard)));
    candidates
}
