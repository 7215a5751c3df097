//! Confirms a "not run" outcome before a caller gets it. For a key that a
//! caller made up, another VM may have won the claim and run the job while this
//! VM could not read the log (docs/design/at-most-once.md).

use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use jobs::{KeyHash, Outcome, Ran};
use kernel::{Incarnation, JobKey};
use membership::Health;
use routing::Policy;
use wire::Connect;

use crate::claimed::KeyOwner;
use crate::core::Core;
use crate::message::{CLAIMED_PATH, ClaimedQuery, ClaimedReply};
use crate::pass::call_peer;
use crate::run::Run;

/// Timeout of asking a peer whether it may have started a job.
const CLAIMED_TIMEOUT: Duration = Duration::from_millis(300);

/// Turns a "not run" into "unknown" unless every VM that could have started the
/// job confirms that it did not. The owner of a key needs no confirmation.
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
    if run.is_owned() || run.was_passed() {
        return Outcome::not_run(reason);
    }
    // Marked before asking, so that two VMs which refuse the same job at the
    // same time confirm each other's refusal.
    run.mark_refused();
    match no_vm_started(core, &run.spec.key).await {
        true => Outcome::not_run(reason),
        false => Outcome::Unknown(reason),
    }
}

/// Returns whether it is certain that no VM, live or gone, has started a key's
/// job.
async fn no_vm_started<C: Connect, P: Policy>(core: &Arc<Core<C, P>>, key: &JobKey) -> bool {
    let view = core.view.load_full();
    let asker = core.me.incarnation;
    // Without the VM list some VMs are not known and can't be asked.
    let can_ask_all = view.is_listed && core.claimer.has_all_claims_of(&view.departed);
    if !can_ask_all || has_known_owner(core, key) {
        return false;
    }
    let message = ClaimedQuery {
        key: key.clone(),
        asker,
    };
    let peers = view.peers.iter().filter(|p| p.health != Health::Gone);
    let addrs = peers.map(|p| p.peers);
    // A process whose VM restarted during its planned stop may have run the
    // job, too.
    let stopping = view.stopping.iter().map(|(_, addr)| *addr);
    let mut answers: FuturesUnordered<_> = addrs
        .chain(stopping)
        .map(|addr| call_peer(&core.peers, addr, CLAIMED_PATH, &message, CLAIMED_TIMEOUT))
        .collect();
    while let Some(answer) = answers.next().await {
        if !matches!(answer, Ok(ClaimedReply::Free)) {
            return false;
        }
    }
    true
}

/// Returns whether this VM knows an owner of a key, which may be itself.
fn has_known_owner<C: Connect, P: Policy>(core: &Core<C, P>, key: &JobKey) -> bool {
    matches!(
        core.claimer.owner_of(KeyHash::of(key)),
        KeyOwner::OwnedBy(_)
    )
}

/// Answers a peer's question whether this VM knows of any VM, itself included,
/// that may have started a job.
pub fn answer_claimed<C: Connect, P: Policy>(
    core: &Core<C, P>,
    query: &ClaimedQuery,
) -> ClaimedReply {
    let started = match core.table.find(&query.key) {
        Some(Ok(run)) => !run.is_refused(),
        Some(Err(_)) => true,
        None => false,
    };
    match started || owned_by_other(core, &query.key, query.asker) {
        true => ClaimedReply::Taken,
        false => ClaimedReply::Free,
    }
}

/// Returns whether a key has an owner, other than the VM that refuses its job,
/// that is not releasing it.
fn owned_by_other<C: Connect, P: Policy>(
    core: &Core<C, P>,
    key: &JobKey,
    refuser: Incarnation,
) -> bool {
    match core.claimer.owner_of(KeyHash::of(key)) {
        KeyOwner::OwnedBy(owner) => owner.incarnation != refuser,
        KeyOwner::Unclaimed | KeyOwner::Releasing | KeyOwner::Unknown => false,
    }
}
