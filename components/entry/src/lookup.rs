//! Looks jobs up and cancels them, here or at the VM that owns the key.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use jobs::{Outcome, Reason};
use kernel::{Incarnation, JobKey};
use routing::Policy;
use timeline::{EventKind, Note};
use wire::Connect;

use crate::core::Core;
use crate::message::{CANCEL_PATH, FIND_PATH, JobQuery, PassReply};
use crate::pass::call_peer;
use crate::submit::{Route, route_of};

/// Timeout of the owner's answer.
const OWNER_TIMEOUT: Duration = Duration::from_secs(1);

/// Result of looking up a job.
#[derive(Debug, Clone)]
pub enum LookupResult {
    /// The job has ended.
    Ended(Arc<Outcome>),
    /// The job is running.
    Running,
    /// The job is not known.
    Unknown,
}

/// Looks up a job, here or at its owner.
pub async fn find<C: Connect, P: Policy>(core: &Core<C, P>, key: &JobKey) -> LookupResult {
    match route_of(core, key) {
        Route::Local => find_here(core, key),
        Route::Unreachable(outcome) => LookupResult::Ended(Arc::new(outcome)),
        Route::Peer(target, addr) => ask_owner(core, FIND_PATH, target, addr, key).await,
    }
}

/// Cancels a job, here or at its owner, and answers its callers. A job that has
/// ended keeps its outcome.
pub async fn cancel<C: Connect, P: Policy>(core: &Core<C, P>, key: &JobKey) -> LookupResult {
    match route_of(core, key) {
        Route::Local => cancel_here(core, key).await,
        Route::Unreachable(outcome) => LookupResult::Ended(Arc::new(outcome)),
        Route::Peer(target, addr) => ask_owner(core, CANCEL_PATH, target, addr, key).await,
    }
}

/// Looks up a job that this VM answers for.
pub fn find_here<C: Connect, P: Policy>(core: &Core<C, P>, key: &JobKey) -> LookupResult {
    match core.table.find(key) {
        Some(Ok(_)) => LookupResult::Running,
        Some(Err(outcome)) => LookupResult::Ended(outcome),
        None => LookupResult::Unknown,
    }
}

/// Cancels a job that this VM answers for.
pub async fn cancel_here<C: Connect, P: Policy>(core: &Core<C, P>, key: &JobKey) -> LookupResult {
    match core.table.find(key) {
        Some(Ok(run)) => {
            core.note(Note::new(EventKind::JobCancelled).job(key));
            run.abort(Reason::Cancelled);
            LookupResult::Ended(run.outcome().await)
        }
        Some(Err(outcome)) => LookupResult::Ended(outcome),
        None => LookupResult::Unknown,
    }
}

async fn ask_owner<C: Connect, P: Policy>(
    core: &Core<C, P>,
    path: &'static str,
    target: Incarnation,
    addr: SocketAddr,
    key: &JobKey,
) -> LookupResult {
    let message = JobQuery {
        target,
        key: key.clone(),
    };
    match call_peer(&core.peers, addr, path, &message, OWNER_TIMEOUT).await {
        Ok(PassReply::Ended(outcome)) => LookupResult::Ended(outcome),
        Ok(PassReply::Running) => LookupResult::Running,
        Ok(PassReply::NotMine) | Err(_) => {
            LookupResult::Ended(Arc::new(Outcome::Unknown(Reason::OwnerAway)))
        }
    }
}
