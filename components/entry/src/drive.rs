//! Runs one job from admission to its outcome.

use std::sync::Arc;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use jobs::{JobSpec, KeyHash, Outcome, Ran, Reason, TaskAnswer};
use kernel::JobKey;
use routing::Policy;
use timeline::{EventKind, Note};
use wire::Connect;

use crate::claimed::Claimed;
use crate::confirm::confirm;
use crate::core::{Core, Stage};
use crate::count;
use crate::pass::{pass, pass_to};
use crate::run::Run;
use crate::stop::successors;
use crate::task::run_task;
use metrics::Timing;

/// Runs a job that has just been entered, and ends it for everyone who waits.
pub async fn drive<C: Connect, P: Policy>(core: Arc<Core<C, P>>, run: Arc<Run>) {
    let guard = Guard {
        core: &core,
        run: &run,
    };
    let outcome = tokio::select! {
        outcome = attempt(&core, &run) => outcome,
        () = tokio::time::sleep_until(run.until) => failed(&run, Reason::Deadline),
        reason = run.cut_reason() => failed(&run, reason),
    };
    let outcome = confirm(&core, &run, outcome).await;
    std::mem::forget(guard);
    if !matches!(outcome, Outcome::Complete(_)) {
        core.dispatch.cancel(&run.spec.service, &run.spec.key);
    }
    settle(&core, &run, outcome);
}

/// Answers the callers even if the job's own code fails.
struct Guard<'a, C: Connect, P: Policy> {
    /// The VM.
    core: &'a Core<C, P>,
    /// The job.
    run: &'a Run,
}

impl<C: Connect, P: Policy> Drop for Guard<'_, C, P> {
    fn drop(&mut self) {
        let outcome = Outcome::may_have_run(Reason::OwnerGone);
        settle(self.core, self.run, outcome);
    }
}

fn failed(run: &Run, reason: Reason) -> Outcome {
    Outcome::Failed {
        ran: run.ran(),
        reason,
    }
}

/// Admits the job, makes sure that this VM alone may start it, and runs it.
async fn attempt<C: Connect, P: Policy>(core: &Arc<Core<C, P>>, run: &Arc<Run>) -> Outcome {
    if !run.owned() {
        if core.stage() != Stage::Serving {
            return relay(core, run).await;
        }
        match core.claimer.claim(KeyHash::of(&run.spec.key)).await {
            Claimed::Won => run.own(),
            Claimed::Away => return Outcome::not_run(Reason::LogAway),
            Claimed::Lost(owner) => {
                // The owner may run the job, whatever is heard of it here.
                run.expose();
                let outcome = pass_to(core, &owner, &run.spec).await;
                return Outcome::clone(&outcome);
            }
        }
    }
    // Only the owner of a key knows that a job it refuses did not run elsewhere.
    if let Err(reason) = core.admit(&run.spec) {
        return Outcome::not_run(reason);
    }
    core.note(Note::new(EventKind::JobAdmitted).job(&run.spec.key));
    run_tasks(core, run).await
}

/// Leaves a job that nobody owns yet to a VM that goes on serving, as this one
/// is stopping. Without such a VM the job is refused.
async fn relay<C: Connect, P: Policy>(core: &Arc<Core<C, P>>, run: &Arc<Run>) -> Outcome {
    for (incarnation, addr) in successors(core) {
        // From here on the other VM may run the job.
        run.expose();
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

/// Runs all tasks. The first that fails ends the job: dropping the others
/// takes them out of the queue or closes their connections.
async fn run_tasks<C: Connect, P: Policy>(core: &Arc<Core<C, P>>, run: &Arc<Run>) -> Outcome {
    let spec: &JobSpec = &run.spec;
    let count = spec.tasks.len();
    let mut going: FuturesUnordered<_> = (0..count).map(|i| run_task(core, run, i)).collect();
    let mut answers: Vec<Option<TaskAnswer>> = vec![None; count];
    while let Some((i, result)) = going.next().await {
        match result {
            Ok(answer) => answers[i] = Some(answer),
            Err(reason) => return failed(run, reason),
        }
    }
    match answers.into_iter().collect() {
        Some(whole) => Outcome::Complete(whole),
        None => failed(run, Reason::Cancelled),
    }
}

/// Keeps a job's final outcome, or makes its key free again if the job was
/// refused before anything was sent.
fn settle<C: Connect, P: Policy>(core: &Core<C, P>, run: &Run, outcome: Outcome) {
    let key = &run.spec.key;
    let outcome = checked(core, run, outcome);
    core.notes.metrics.add(count::of_outcome(&outcome), 1);
    core.notes.metrics.time(Timing::Response, run.age());
    note_outcome(core, key, &outcome);
    let outcome = Arc::new(outcome);
    match &*outcome {
        Outcome::Failed {
            ran: Ran::No,
            reason,
        } if reason.is_temporary() || !run.owned() => {
            core.table.withdraw(key, || give_back(core, run));
        }
        // Another VM's answer; that VM keeps it.
        _ if !run.owned() => core.table.withdraw(key, || {}),
        _ => keep(core, key, &outcome),
    }
    if run.end(outcome) {
        core.faults.changed_outcome();
    }
}

/// Corrects a "not run" of a job of which a task may have started. None should
/// ever come here, so it is counted.
fn checked<C: Connect, P: Policy>(core: &Core<C, P>, run: &Run, outcome: Outcome) -> Outcome {
    match outcome {
        Outcome::Failed {
            ran: Ran::No,
            reason,
        } if run.owned() && run.ran() == Ran::Maybe => {
            core.faults.untrue_refusal();
            Outcome::may_have_run(reason)
        }
        other => other,
    }
}

/// Keeps a final outcome, and notes the answers that it pushes out.
fn keep<C: Connect, P: Policy>(core: &Core<C, P>, key: &JobKey, outcome: &Arc<Outcome>) {
    for old in core.table.finish(key, outcome.clone(), core.now()) {
        core.note(Note::new(EventKind::JobForgotten).job(&old));
    }
}

fn give_back<C: Connect, P: Policy>(core: &Core<C, P>, run: &Run) {
    match &run.spec.key {
        JobKey::Ticket(ticket) => core.windows.mark_unused(*ticket),
        JobKey::Bare(_) if run.owned() => core.claimer.resign(KeyHash::of(&run.spec.key)),
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
