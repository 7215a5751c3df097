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
use crate::message::{Ask, CANCEL_PATH, FIND_PATH, PassReply};
use crate::pass::ask;
use crate::submit::{Place, place_of};

/// The longest wait for the owner's answer.
const WAIT: Duration = Duration::from_secs(1);

/// What is known of a job.
#[derive(Debug, Clone)]
pub enum Found {
    /// It has ended.
    Ended(Arc<Outcome>),
    /// It runs.
    Running,
    /// Nothing.
    Nothing,
}

/// Looks a job up.
pub async fn find<C: Connect, P: Policy>(core: &Core<C, P>, key: &JobKey) -> Found {
    match place_of(core, key) {
        Place::Here => find_here(core, key),
        Place::Nowhere(outcome) => Found::Ended(Arc::new(outcome)),
        Place::Peer(target, addr) => ask_owner(core, FIND_PATH, target, addr, key).await,
    }
}

/// Cancels a job; its callers are told. One that has ended stays as it is.
pub async fn cancel<C: Connect, P: Policy>(core: &Core<C, P>, key: &JobKey) -> Found {
    match place_of(core, key) {
        Place::Here => cancel_here(core, key).await,
        Place::Nowhere(outcome) => Found::Ended(Arc::new(outcome)),
        Place::Peer(target, addr) => ask_owner(core, CANCEL_PATH, target, addr, key).await,
    }
}

/// Looks up a job that this VM answers for.
pub fn find_here<C: Connect, P: Policy>(core: &Core<C, P>, key: &JobKey) -> Found {
    match core.table.find(key) {
        Some(Ok(_)) => Found::Running,
        Some(Err(outcome)) => Found::Ended(outcome),
        None => Found::Nothing,
    }
}

/// Cancels a job that this VM answers for.
pub async fn cancel_here<C: Connect, P: Policy>(core: &Core<C, P>, key: &JobKey) -> Found {
    match core.table.find(key) {
        Some(Ok(run)) => {
            core.note(Note::new(EventKind::JobCancelled).job(key));
            run.cut(Reason::Cancelled);
            Found::Ended(run.outcome().await)
        }
        Some(Err(outcome)) => Found::Ended(outcome),
        None => Found::Nothing,
    }
}

async fn ask_owner<C: Connect, P: Policy>(
    core: &Core<C, P>,
    path: &'static str,
    target: Incarnation,
    addr: SocketAddr,
    key: &JobKey,
) -> Found {
    let message = Ask {
        target,
        key: key.clone(),
    };
    match ask(&core.peers, addr, path, &message, WAIT).await {
        Ok(PassReply::Ended(outcome)) => Found::Ended(outcome),
        Ok(PassReply::Running) => Found::Running,
        Ok(PassReply::NotMine) | Err(_) => {
            Found::Ended(Arc::new(Outcome::Unknown(Reason::OwnerAway)))
        }
    }
}
