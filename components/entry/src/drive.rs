//! Runs one job, from admission to its outcome.

use std::sync::Arc;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use jobs::{JobSpec, KeyHash, Outcome, Ran, Reason, TaskAnswer};
use kernel::JobKey;
use routing::Policy;
use timeline::{EventKind, Note};
use wire::Connect;

use crate::claimed::ClaimResult;
use crate::confirm::confirm;
use crate::core::{Core, Stage};
use crate::count;
use crate::pass::{pass, pass_to_owner};
use crate::run::Run;
use crate::stop::successors;
use crate::task::run_task;
use metrics::Timing;

/// Runs a job that has just been entered, and gives its outcome to all waiting
/// callers.
pub async fn drive<C: Connect, P: Policy>(core: Arc<Core<C, P>>, run: Arc<Run>) {
    let guard = OutcomeGuard {
        core: &core,
        run: &run,
    };
    let outcome = tokio::select! {
        outcome = admit_and_run(&core, &run) => outcome,
        () = tokio::time::sleep_until(run.deadline) => failed(&run, Reason::Deadline),
        reason = run.abort_reason() => failed(&run, reason),
    };
    let outcome = confirm(&core, &run, outcome).await;
    std::mem::forget(guard);
    if !matches!(outcome, Outcome::Complete(_)) {
        core.dispatch.cancel(&run.spec.service, &run.spec.key);
    }
    finish_job(&core, &run, outcome);
}

/// Ends the job as "may have run" if [`drive`] panics or is dropped, so that
/// callers always get an answer.
struct OutcomeGuard<'a, C: Connect, P: Policy> {
    /// Shared state of the VM.
    core: &'a Core<C, P>,
    /// Job to end.
    run: &'a Run,
}

impl<C: Connect, P: Policy> Drop for OutcomeGuard<'_, C, P> {
    fn drop(&mut self) {
        let outcome = Outcome::may_have_run(Reason::OwnerGone);
        finish_job(self.core, self.run, outcome);
    }
}

fn failed(run: &Run, reason: Reason) -> Outcome {
    Outcome::Failed {
        ran: run.ran(),
        reason,
    }
}

/// Claims the job's key unless this VM owns it already, admits the job and runs
/// it. A job whose key another VM owns is passed to that VM.
async fn admit_and_run<C: Connect, P: Policy>(core: &Arc<Core<C, P>>, run: &Arc<Run>) -> Outcome {
    if !run.is_owned() {
        if core.stage() != Stage::Serving {
            return pass_to_successor(core, run).await;
        }
        match core.claimer.claim(KeyHash::of(&run.spec.key)).await {
            ClaimResult::Won => run.mark_owned(),
            ClaimResult::LogAway => return Outcome::not_run(Reason::LogAway),
            ClaimResult::Lost(owner) => {
                // From here on the owner may run the job, even if its answer
                // never arrives.
                run.add_handoff();
                let outcome = pass_to_owner(core, &owner, &run.spec).await;
                return Outcome::clone(&outcome);
            }
        }
    }
    // Admission comes after the claim: only the owner of a key can be certain
    // that a job which it refuses did not run on another VM.
    if let Err(reason) = core.admit(&run.spec) {
        return Outcome::not_run(reason);
    }
    core.note(Note::new(EventKind::JobAdmitted).job(&run.spec.key));
    run_tasks(core, run).await
}

/// Passes a job that no VM owns yet to a VM that keeps serving, as this one is
/// stopping. Without such a VM the job is refused.
async fn pass_to_successor<C: Connect, P: Policy>(
    core: &Arc<Core<C, P>>,
    run: &Arc<Run>,
) -> Outcome {
    for (incarnation, addr) in successors(core) {
        // From here on the other VM may run the job.
        run.add_handoff();
        let outcome = pass(core, incarnation, addr, &run.spec).await;
        if *outcome != Outcome::Unknown(Reason::OwnerAway) {
            return Outcome::clone(&outcome);
        }
    }
    match run.ran() {
        Ran::No => Outcome::not_run(Reason::Stopping),
        Ran::Maybe => Outcome::Unknown(Reason::OwnerAway),
    }
}

/// Runs all tasks of a job. The first failure ends the job: dropping the other
/// tasks removes them from the queue or closes their connections.
async fn run_tasks<C: Connect, P: Policy>(core: &Arc<Core<C, P>>, run: &Arc<Run>) -> Outcome {
    let spec: &JobSpec = &run.spec;
    let count = spec.tasks.len();
    let mut running: FuturesUnordered<_> = (0..count).map(|i| run_task(core, run, i)).collect();
    let mut answers: Vec<Option<TaskAnswer>> = vec![None; count];
    while let Some((i, result)) = running.next().await {
        match result {
            Ok(answer) => answers[i] = Some(answer),
            Err(reason) => return failed(run, reason),
        }
    }
    match answers.into_iter().collect() {
        Some(answers) => Outcome::Complete(answers),
        None => failed(run, Reason::Cancelled),
    }
}

/// Stores a job's final outcome, or frees its key if the job was refused before
/// anything was sent, and answers the callers.
fn finish_job<C: Connect, P: Policy>(core: &Core<C, P>, run: &Run, outcome: Outcome) {
    let key = &run.spec.key;
    let outcome = corrected(core, run, outcome);
    core.notes.metrics.add(count::of_outcome(&outcome), 1);
    core.notes.metrics.time(Timing::Response, run.age());
    note_outcome(core, key, &outcome);
    let outcome = Arc::new(outcome);
    match &*outcome {
        Outcome::Failed {
            ran: Ran::No,
            reason,
        } if reason.is_temporary() || !run.is_owned() => {
            core.table.withdraw(key, || release_key(core, run));
        }
        // The outcome came from another VM, which stores it.
        _ if !run.is_owned() => core.table.withdraw(key, || {}),
        _ => store_outcome(core, key, &outcome),
    }
    if run.set_outcome(outcome) {
        core.violations.changed_outcome();
    }
}

/// Changes a "not run" to "may have run" if a task of the job may have started.
/// That never happens unless the program has a bug, so it is counted as a
/// violation.
fn corrected<C: Connect, P: Policy>(core: &Core<C, P>, run: &Run, outcome: Outcome) -> Outcome {
    match outcome {
        Outcome::Failed {
            ran: Ran::No,
            reason,
        } if run.is_owned() && run.ran() == Ran::Maybe => {
            core.violations.untrue_refusal();
            Outcome::may_have_run(reason)
        }
        other => other,
    }
}

/// Stores a final outcome, and records which older outcomes were dropped to
/// make space for it.
fn store_outcome<C: Connect, P: Policy>(core: &Core<C, P>, key: &JobKey, outcome: &Arc<Outcome>) {
    for old in core.table.finish(key, outcome.clone(), core.now()) {
        core.note(Note::new(EventKind::JobForgotten).job(&old));
    }
}

/// Allows the ticket or key of a refused job to be used again.
fn release_key<C: Connect, P: Policy>(core: &Core<C, P>, run: &Run) {
    match &run.spec.key {
        JobKey::Ticket(ticket) => core.windows.mark_unused(*ticket),
        JobKey::Bare(_) if run.is_owned() => core.claimer.release(KeyHash::of(&run.spec.key)),
        JobKey::Bare(_) => {}
    }
}

fn note_outcome<C: Connect, P: Policy>(core: &Core<C, P>, key: &JobKey, outcome: &Outcome) {
    let (kind, reason) = match outcome {
        Outcome::Complete(_) => (EventKind::JobCompleted, None),
        Outcome::Failed {
            ran: Ran::No,
            reason,
        } => (EventKind::JobRefused, Some(reason)),
        Outcome::Failed { reason, .. } => (EventKind::JobFailed, Some(reason)),
        Outcome::Unknown(reason) => (EventKind::JobUnknown, Some(reason)),
    };
    let mut note = Note::new(kind).job(key);
    if let Some(reason) = reason {
        note = note.cause(reason.as_str());
    }
    core.note(note);
}
