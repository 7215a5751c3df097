//! Makes sure of a "not run" before it is told: for a key that a caller made up,
//! another VM may have won the claim and run the job while this VM could not
//! read the log (docs/design/at-most-once.md).

use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use jobs::{KeyHash, Outcome, Ran};
use kernel::{Incarnation, JobKey};
use membership::Health;
use routing::Policy;
use wire::Connect;

use crate::claimed::Known;
use crate::core::Core;
use crate::message::{CLAIMED_PATH, ClaimedAsk, ClaimedReply};
use crate::pass::ask;
use crate::run::Run;

/// The longest wait for a peer's word.
const WAIT: Duration = Duration::from_millis(300);

/// Turns a "not run" into "unknown" unless everybody who could have started the
/// job says that he did not. The owner of a key knows it by himself.
pub async fn confirm<C: Connect, P: Policy>(
    core: &Arc<Core<C, P>>,
    run: &Run,
    outcome: Outcome,
) -> Outcome {
    let Outcome::Failed {
        ran: Ran::No,
        reason,
    } = outcome
    else {
        return outcome;
    };
    if run.owned() || run.passed() {
        return Outcome::not_run(reason);
    }
    // Two VMs that refuse the same job at once must not wait for each other.
    run.refuse();
    match nobody_started(core, &run.spec.key).await {
        true => Outcome::not_run(reason),
        false => Outcome::Unknown(reason),
    }
}

/// Tells whether no VM, alive or gone, can have started a key's job.
async fn nobody_started<C: Connect, P: Policy>(core: &Arc<Core<C, P>>, key: &JobKey) -> bool {
    let view = core.view.load_full();
    let asker = core.me.incarnation;
    if !core.claimer.covers(&view.departed) || owned_here(core, key) {
        return false;
    }
    let message = ClaimedAsk {
        key: key.clone(),
        asker,
    };
    let peers = view.peers.iter().filter(|p| p.health != Health::Gone);
    let addrs = peers.map(|p| p.peers);
    // A process that was replaced during its planned stop may have run the job
    // too.
    let stopping = view.stopping.iter().map(|(_, addr)| *addr);
    let mut answers: FuturesUnordered<_> = addrs
        .chain(stopping)
        .map(|addr| ask(&core.peers, addr, CLAIMED_PATH, &message, WAIT))
        .collect();
    while let Some(answer) = answers.next().await {
        if !matches!(answer, Ok(ClaimedReply::Free)) {
            return false;
        }
    }
    true
}

/// Tells whether a key has an owner, this VM included, whose job it may be.
fn owned_here<C: Connect, P: Policy>(core: &Core<C, P>, key: &JobKey) -> bool {
    matches!(core.claimer.known(KeyHash::of(key)), Known::Owner(_))
}

/// Tells a peer whether this VM knows of anybody who may have started a job.
pub fn claimed_here<C: Connect, P: Policy>(core: &Core<C, P>, ask: &ClaimedAsk) -> ClaimedReply {
    let started = match core.table.find(&ask.key) {
        Some(Ok(run)) => !run.refused(),
        Some(Err(_)) => true,
        None => false,
    };
    match started || owned(core, &ask.key, ask.asker) {
        true => ClaimedReply::Taken,
        false => ClaimedReply::Free,
    }
}

/// Tells whether a key has an owner who is not giving it up, other than the one
/// who refuses its job.
fn owned<C: Connect, P: Policy>(core: &Core<C, P>, key: &JobKey, refuser: Incarnation) -> bool {
    match core.claimer.known(KeyHash::of(key)) {
        Known::Owner(owner) => owner.incarnation != refuser,
        Known::Nobody | Known::Leaving | Known::Uncovered => false,
    }
}
