//! From a submission to its outcome: to the only VM that may start the job.

use std::net::SocketAddr;
use std::sync::Arc;

use jobs::{EnterResult, JobSpec, KeyHash, Outcome, Reason, TicketState};
use kernel::{Incarnation, JobKey, Ticket};
use membership::Location;
use routing::Policy;
use timeline::{EventKind, Note};
use wire::Connect;

use crate::claimed::Known;
use crate::core::{Core, Stage};
use crate::drive::drive;
use crate::pass::pass;
use crate::run::Run;

/// How often a submission looks for the owner again when the owner changes
/// under its hands.
const ROUNDS: usize = 4;

/// Where a key's owner is.
#[derive(Debug, Clone)]
pub enum Place {
    /// This VM answers for the key.
    Here,
    /// A peer does.
    Peer(Incarnation, SocketAddr),
    /// Nobody who could be asked now; this is what to tell the caller.
    Nowhere(Outcome),
}

/// Why a job can't be entered here.
pub enum Bar {
    /// This is its outcome.
    Told(Outcome),
    /// Another VM owns it by now.
    Elsewhere,
}

/// Finds out which VM answers for a key.
pub fn place_of<C: Connect, P: Policy>(core: &Core<C, P>, key: &JobKey) -> Place {
    match key {
        JobKey::Ticket(ticket) => locate(core, ticket.owner),
        JobKey::Bare(_) => match core.claimer.known(KeyHash::of(key)) {
            Known::Owner(owner) => locate(core, owner.incarnation),
            Known::Nobody | Known::Uncovered | Known::Leaving => Place::Here,
        },
    }
}

pub fn locate<C: Connect, P: Policy>(core: &Core<C, P>, owner: Incarnation) -> Place {
    if core.windows.holds(owner) {
        return Place::Here;
    }
    let mut target = owner;
    // Each planned stop on the way names the next successor.
    for _ in 0..SUCCESSORS {
        match core.view.load().locate(target) {
            Location::Peer(addr) | Location::Away(addr) => return Place::Peer(owner, addr),
            Location::Gone {
                successor: Some(next),
            } if core.me.incarnation == next => {
                // Named, but nothing was handed over to this VM.
                return Place::Nowhere(Outcome::Unknown(Reason::OwnerAway));
            }
            Location::Gone {
                successor: Some(next),
            } => target = next,
            Location::Gone { successor: None } => {
                return Place::Nowhere(Outcome::may_have_run(Reason::OwnerGone));
            }
            Location::Here => return Place::Nowhere(Outcome::Unknown(Reason::OwnerAway)),
            Location::Unknown => return Place::Nowhere(Outcome::Unknown(Reason::OwnerAway)),
        }
    }
    Place::Nowhere(Outcome::Unknown(Reason::OwnerAway))
}

/// The longest chain of planned stops that is followed in one look.
const SUCCESSORS: usize = 16;

/// Brings a submission to its outcome, here or at the VM that owns the key.
pub async fn submit<C: Connect, P: Policy>(core: &Arc<Core<C, P>>, spec: JobSpec) -> Arc<Outcome> {
    core.note(Note::new(EventKind::JobReceived).job(&spec.key));
    let spec = Arc::new(spec);
    for _ in 0..ROUNDS {
        match place_of(core, &spec.key) {
            Place::Nowhere(outcome) => return Arc::new(outcome),
            Place::Peer(target, addr) => {
                let _guard = core.passing.enter();
                let outcome = tokio::select! {
                    outcome = pass(core, target, addr, &spec) => outcome,
                    () = core.passing.cut_off() => {
                        return Arc::new(Outcome::Unknown(Reason::OwnerAway));
                    }
                };
                if !moved(core, &spec.key, addr, &outcome) {
                    return outcome;
                }
            }
            Place::Here => match enter(core, &spec) {
                Ok(run) => return run.outcome().await,
                Err(Bar::Told(outcome)) => return Arc::new(outcome),
                Err(Bar::Elsewhere) => {}
            },
        }
    }
    Arc::new(Outcome::Unknown(Reason::OwnerAway))
}

/// Tells whether a job's owner could not be reached because it has left the job
/// to another VM meanwhile.
fn moved<C: Connect, P: Policy>(
    core: &Core<C, P>,
    key: &JobKey,
    addr: SocketAddr,
    outcome: &Outcome,
) -> bool {
    if *outcome != Outcome::Unknown(Reason::OwnerAway) {
        return false;
    }
    match place_of(core, key) {
        Place::Here => true,
        Place::Peer(_, now) => now != addr,
        Place::Nowhere(_) => false,
    }
}

/// Enters a job that this VM answers for: starts it, or joins those who wait
/// for it already.
///
/// # Errors
///
/// Tells why the job may not be started here.
pub fn enter<C: Connect, P: Policy>(
    core: &Arc<Core<C, P>>,
    spec: &Arc<JobSpec>,
) -> Result<Arc<Run>, Bar> {
    match core.table.enter(&spec.key, || permit(core, spec)) {
        EnterResult::New(run) => {
            tokio::spawn(drive(core.clone(), run.clone()));
            Ok(run)
        }
        EnterResult::Running(run) => {
            core.note(Note::new(EventKind::JobAttached).job(&spec.key));
            Ok(run)
        }
        EnterResult::Done(outcome) => {
            core.note(Note::new(EventKind::JobAttached).job(&spec.key));
            Err(Bar::Told(Outcome::clone(&outcome)))
        }
        EnterResult::Refused(bar) => Err(bar),
    }
}

/// Decides under the table's lock whether this VM may start a job that it does
/// not know yet.
fn permit<C: Connect, P: Policy>(core: &Core<C, P>, spec: &Arc<JobSpec>) -> Result<Run, Bar> {
    let serving = core.stage() == Stage::Serving;
    match &spec.key {
        JobKey::Ticket(ticket) => match look(core, *ticket, serving) {
            Some(TicketState::Fresh) if !serving => {
                Err(Bar::Told(Outcome::not_run(Reason::Stopping)))
            }
            Some(TicketState::Fresh) => Ok(Run::new(spec.clone(), core.now(), true)),
            Some(TicketState::Used | TicketState::TooOld) => {
                Err(Bar::Told(Outcome::Unknown(Reason::Forgotten)))
            }
            Some(TicketState::NeverMinted) => Err(Bar::Told(Outcome::not_run(Reason::NeverMinted))),
            None => Err(Bar::Elsewhere),
        },
        JobKey::Bare(_) => match core.claimer.known(KeyHash::of(&spec.key)) {
            // While claims may be missing, the run finds out what to tell.
            Known::Nobody | Known::Uncovered => Ok(Run::new(spec.clone(), core.now(), false)),
            Known::Owner(owner) if core.windows.holds(owner.incarnation) => {
                Err(Bar::Told(Outcome::Unknown(Reason::Forgotten)))
            }
            Known::Owner(_) => Err(Bar::Elsewhere),
            Known::Leaving => Err(Bar::Told(Outcome::not_run(Reason::LogAway))),
        },
    }
}

/// Tells what is known of a ticket, and uses it if its job may start here.
fn look<C: Connect, P: Policy>(
    core: &Core<C, P>,
    ticket: Ticket,
    serving: bool,
) -> Option<TicketState> {
    match serving {
        true => core.windows.take(ticket),
        false => core.windows.state(ticket),
    }
}
