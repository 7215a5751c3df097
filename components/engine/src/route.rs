//! Selection of the shard that runs a job.
//!
//! A job stays in the VM's own domain unless it would start clearly sooner in
//! another one, and it is never sent to a shard without minions.

use kernel::Domain;
use ownership::Shard;
use rand::Rng;
use rand::seq::IndexedRandom;
use schedule::{JobSpec, Load};

/// Milliseconds by which a job must start sooner in another domain to be sent
/// there. They cover the longer round trip and the age of the reported load.
const REMOTE_COST_MS: f64 = 12.0;

/// A shard that may take a job.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Candidate {
    /// Shard that is considered.
    pub shard: Shard,
    /// Last known load of the shard.
    pub load: Load,
}

/// Returns the estimated time in milliseconds until a job's last task starts.
fn start_delay(spec: &JobSpec, load: &Load) -> f64 {
    let step = &spec.steps[0];
    let need = f64::from(step.count) * f64::from(step.need.cpu.0) / 1000.0;
    let missing = (need - load.free).max(0.0) * step.estimate.0 as f64;
    (load.waiting + missing) / load.cores.max(0.001) + load.delay.0 as f64
}

/// Chooses the shard that is expected to start the job soonest. Of several
/// that can start it at once, one is drawn by free capacity: reports are up to
/// some hundred milliseconds old, and all VMs would choose the same one.
pub(crate) fn choose(
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
