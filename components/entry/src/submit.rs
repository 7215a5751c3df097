//! Handles submissions: finds the VM that answers for a job's key, which alone
//! may start the job, and runs the job here or passes it to that VM.

use std::net::SocketAddr;
use std::sync::Arc;

use jobs::{EnterResult, JobSpec, KeyHash, Outcome, Reason, TicketState};
use kernel::{Incarnation, JobKey, Ticket};
use membership::Location;
use routing::Policy;
use timeline::{EventKind, Note};
use wire::Connect;

use crate::claimed::KeyOwner;
use crate::core::{Core, Stage};
use crate::drive::drive;
use crate::pass::pass;
use crate::run::Run;

/// Maximum number of owner lookups per submission, as the owner may change
/// between them.
const LOOKUP_TRIES: usize = 4;

/// Destination of a request about a key.
#[derive(Debug, Clone)]
pub enum Route {
    /// This VM answers for the key.
    Local,
    /// The peer at this address answers for the keys of this incarnation.
    Peer(Incarnation, SocketAddr),
    /// No VM can be asked now; the caller gets this outcome.
    Unreachable(Outcome),
}

/// Why a job was not entered on this VM.
pub enum EnterError {
    /// The submission is answered with this outcome.
    Answered(Outcome),
    /// Another VM owns the key by now.
    OwnedElsewhere,
}

/// Returns which VM answers for a key.
pub fn route_of<C: Connect, P: Policy>(core: &Core<C, P>, key: &JobKey) -> Route {
    match key {
        JobKey::Ticket(ticket) => route_to(core, ticket.owner),
        JobKey::Bare(_) => match core.claimer.owner_of(KeyHash::of(key)) {
            KeyOwner::OwnedBy(owner) => route_to(core, owner.incarnation),
            KeyOwner::Unclaimed | KeyOwner::Unknown | KeyOwner::Releasing => Route::Local,
        },
    }
}

/// Returns which VM answers for the keys of an incarnation: the incarnation
/// itself, or the VM that took over from it.
pub fn route_to<C: Connect, P: Policy>(core: &Core<C, P>, owner: Incarnation) -> Route {
    if core.windows.holds(owner) {
        return Route::Local;
    }
    let mut target = owner;
    // Follows the successors that VMs named at their planned stops.
    for _ in 0..MAX_SUCCESSORS {
        match core.view.load().locate(target) {
            Location::Peer(addr) | Location::Away(addr) => return Route::Peer(owner, addr),
            Location::Gone {
                successor: Some(next),
            } if core.me.incarnation == next => {
                // This VM was named, but did not get the handover.
                return Route::Unreachable(Outcome::Unknown(Reason::OwnerAway));
            }
            Location::Gone {
                successor: Some(next),
            } => target = next,
            Location::Gone { successor: None } => {
                return Route::Unreachable(Outcome::may_have_run(Reason::OwnerGone));
            }
            Location::Here => return Route::Unreachable(Outcome::Unknown(Reason::OwnerAway)),
            Location::Unknown => return Route::Unreachable(Outcome::Unknown(Reason::OwnerAway)),
        }
    }
    Route::Unreachable(Outcome::Unknown(Reason::OwnerAway))
}

/// Longest chain of successors that is followed in one lookup.
const MAX_SUCCESSORS: usize = 16;

/// Runs a submitted job, here or on the VM that owns its key, and returns its
/// outcome.
pub async fn submit<C: Connect, P: Policy>(core: &Arc<Core<C, P>>, spec: JobSpec) -> Arc<Outcome> {
    core.note(Note::new(EventKind::JobReceived).job(&spec.key));
    let spec = Arc::new(spec);
    for _ in 0..LOOKUP_TRIES {
        match route_of(core, &spec.key) {
            Route::Unreachable(outcome) => return Arc::new(outcome),
            Route::Peer(target, addr) => {
                let _guard = core.passing.enter();
                let outcome = tokio::select! {
                    outcome = pass(core, target, addr, &spec) => outcome,
                    () = core.passing.aborted() => {
                        return Arc::new(Outcome::Unknown(Reason::OwnerAway));
                    }
                };
                if !moved(core, &spec.key, addr, &outcome) {
                    return outcome;
                }
            }
            Route::Local => match enter(core, &spec) {
                Ok(run) => return run.outcome().await,
                Err(EnterError::Answered(outcome)) => return Arc::new(outcome),
                Err(EnterError::OwnedElsewhere) => {}
            },
        }
    }
    Arc::new(Outcome::Unknown(Reason::OwnerAway))
}

/// Returns whether the owner was unreachable because another VM has taken over
/// the key in the meantime, so that the submission should be tried again.
fn moved<C: Connect, P: Policy>(
    core: &Core<C, P>,
    key: &JobKey,
    addr: SocketAddr,
    outcome: &Outcome,
) -> bool {
    if *outcome != Outcome::Unknown(Reason::OwnerAway) {
        return false;
    }
    match route_of(core, key) {
        Route::Local => true,
        Route::Peer(_, now) => now != addr,
        Route::Unreachable(_) => false,
    }
}

/// Enters a job that this VM answers for: starts it, or attaches to the run
/// that has already started.
///
/// # Errors
///
/// Returns why the job may not be started here.
pub fn enter<C: Connect, P: Policy>(
    core: &Arc<Core<C, P>>,
    spec: &Arc<JobSpec>,
) -> Result<Arc<Run>, EnterError> {
    match core.table.enter(&spec.key, || new_run(core, spec)) {
        EnterResult::New(run) => {
            tokio::spawn(drive(core.clone(), run.clone()));
            Ok(run)
        }
        // The refusal may already rest on the statements of peers that were made
        // before this submission, and a peer may have started the job since.
        EnterResult::Running(run) if run.is_refused() => {
            Err(EnterError::Answered(Outcome::Unknown(Reason::LogAway)))
        }
        EnterResult::Running(run) => {
            core.note(Note::new(EventKind::JobAttached).job(&spec.key));
            Ok(run)
        }
        EnterResult::Done(outcome) => {
            core.note(Note::new(EventKind::JobAttached).job(&spec.key));
            Err(EnterError::Answered(Outcome::clone(&outcome)))
        }
        EnterResult::Refused(e) => Err(e),
    }
}

/// Creates the run of a job that this VM does not know yet, if this VM may
/// start it. Called under the table's lock.
fn new_run<C: Connect, P: Policy>(
    core: &Core<C, P>,
    spec: &Arc<JobSpec>,
) -> Result<Run, EnterError> {
    let serving = core.stage() == Stage::Serving;
    match &spec.key {
        JobKey::Ticket(ticket) => match ticket_state(core, *ticket, serving) {
            Some(TicketState::Fresh) if !serving => {
                Err(EnterError::Answered(Outcome::not_run(Reason::Stopping)))
            }
            Some(TicketState::Fresh) => Ok(Run::new(spec.clone(), core.now(), true)),
            Some(TicketState::Used | TicketState::TooOld) => {
                Err(EnterError::Answered(Outcome::Unknown(Reason::Forgotten)))
            }
            Some(TicketState::NeverMinted) => {
                Err(EnterError::Answered(Outcome::not_run(Reason::NeverMinted)))
            }
            None => Err(EnterError::OwnedElsewhere),
        },
        JobKey::Bare(_) => match core.claimer.owner_of(KeyHash::of(&spec.key)) {
            // While claims may be missing, the run decides about the job once
            // it tries to claim the key. So it does while this VM releases the
            // key: until the release is read back, another VM may already have
            // read it, claimed the key and run the job.
            KeyOwner::Unclaimed | KeyOwner::Unknown | KeyOwner::Releasing => {
                Ok(Run::new(spec.clone(), core.now(), false))
            }
            KeyOwner::OwnedBy(owner) if core.windows.holds(owner.incarnation) => {
                Err(EnterError::Answered(Outcome::Unknown(Reason::Forgotten)))
            }
            KeyOwner::OwnedBy(_) => Err(EnterError::OwnedElsewhere),
        },
    }
}

/// Returns the state of a ticket. While this VM serves, a fresh ticket is also
/// marked as used.
fn ticket_state<C: Connect, P: Policy>(
    core: &Core<C, P>,
    ticket: Ticket,
    serving: bool,
) -> Option<TicketState> {
    match serving {
        true => core.windows.take(ticket),
        false => core.windows.state(ticket),
    }
}
