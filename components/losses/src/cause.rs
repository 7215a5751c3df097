//! Why a job was not served in time.

use std::fmt;
use std::str::FromStr;

use kernel::Millis;

use crate::account::Account;
use crate::job::{Answer, JobTrace, OwnerEnd, OwnerRefusal, Received};

/// Retry time from which a refusal means that the job can't be served at all
/// (`schedule/admission.rs`).
const UNSERVABLE: Millis = Millis(60_000);

/// Ratio of a job's last run to its others from which the minion counts as slow. Run
/// times within a job differ by a sixth where minions are alike.
const SLOW_RATIO: f32 = 1.4;

/// The cause of a job that was not served in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Cause {
    /// The VM that took the job ended before it answered.
    CutWithVm,
    /// The owner was lost, and with it the job's result or its time.
    OwnerLost,
    /// No owner of a shard was known or reached.
    NoOwner,
    /// The owner had no minion that accepts work.
    NoMinions,
    /// The domains that were asked are being evacuated.
    Evacuated,
    /// No minion is large enough, or the tasks take longer than the caller waits.
    Unservable,
    /// The refusing shard had room for all tasks.
    RefusedWithRoomHere,
    /// Another shard had room for all tasks.
    RefusedWithRoomElsewhere,
    /// No shard had room.
    RefusedWithoutRoom,
    /// It was taken, waited, and was refused later.
    Displaced,
    /// It waited too long for its last start.
    Waited,
    /// Its start orders waited for the VM's link.
    Link,
    /// Its last task ran on a minion slower than those of the others.
    SlowMinion,
    /// Its tasks took longer than their estimates.
    Underestimated,
    /// A run was lost with its minion.
    RunLost,
    /// Runs failed or hung.
    RunFailed,
    /// It was given up because minions crashed under a task.
    GivenUp,
    /// Time passed between the VMs: offers, calls, an owner that was looked for.
    BetweenVms,
    /// Its caller disconnected.
    CallerGone,
    /// The submission was invalid or asked for what is not supported.
    Rejected,
    /// The lines do not tell.
    Unknown,
}

impl Cause {
    /// All causes, in the order of tables.
    pub const ALL: [Cause; 21] = [
        Cause::CutWithVm,
        Cause::OwnerLost,
        Cause::NoOwner,
        Cause::NoMinions,
        Cause::Evacuated,
        Cause::Unservable,
        Cause::RefusedWithRoomHere,
        Cause::RefusedWithRoomElsewhere,
        Cause::RefusedWithoutRoom,
        Cause::Displaced,
        Cause::Waited,
        Cause::Link,
        Cause::SlowMinion,
        Cause::Underestimated,
        Cause::RunLost,
        Cause::RunFailed,
        Cause::GivenUp,
        Cause::BetweenVms,
        Cause::CallerGone,
        Cause::Rejected,
        Cause::Unknown,
    ];

    /// Returns the name in tables and on the command line.
    pub fn name(self) -> &'static str {
        match self {
            Cause::CutWithVm => "cut-with-vm",
            Cause::OwnerLost => "owner-lost",
            Cause::NoOwner => "no-owner",
            Cause::NoMinions => "no-minions",
            Cause::Evacuated => "evacuated",
            Cause::Unservable => "unservable",
            Cause::RefusedWithRoomHere => "refused-room-here",
            Cause::RefusedWithRoomElsewhere => "refused-room-elsewhere",
            Cause::RefusedWithoutRoom => "refused-no-room",
            Cause::Displaced => "displaced",
            Cause::Waited => "waited",
            Cause::Link => "link",
            Cause::SlowMinion => "slow-minion",
            Cause::Underestimated => "underestimated",
            Cause::RunLost => "run-lost",
            Cause::RunFailed => "run-failed",
            Cause::GivenUp => "given-up",
            Cause::BetweenVms => "between-vms",
            Cause::CallerGone => "caller-gone",
            Cause::Rejected => "rejected",
            Cause::Unknown => "unknown",
        }
    }
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.name())
    }
}

/// Error of a name that no cause has.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UnknownCause;

impl fmt::Display for UnknownCause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("not the name of a cause")
    }
}

impl std::error::Error for UnknownCause {}

impl FromStr for Cause {
    type Err = UnknownCause;

    fn from_str(text: &str) -> Result<Cause, UnknownCause> {
        let found = Cause::ALL.into_iter().find(|c| c.name() == text);
        found.ok_or(UnknownCause)
    }
}

/// What the lines say of a job.
#[derive(Debug, Clone, PartialEq)]
pub enum Finding {
    /// It was answered with its result within its objective.
    Served,
    /// It was answered, but too late.
    Late(Cause, String),
    /// It was not answered with a result.
    NotServed(Cause, String),
    /// It had not ended when the lines end.
    Open,
}

impl Finding {
    /// Returns the cause and the figures behind it, if the job was not served in time.
    pub fn cause(&self) -> Option<(Cause, &str)> {
        match self {
            Finding::Late(cause, why) | Finding::NotServed(cause, why) => Some((*cause, why)),
            Finding::Served | Finding::Open => None,
        }
    }
}

/// Finds out what became of a job, and why.
pub fn find_cause(account: &Account, job: &JobTrace) -> Finding {
    if job.marks.rejected {
        return Finding::NotServed(Cause::Rejected, "see its line".into());
    }
    let Some(answered) = job.answered else {
        return unanswered(account, job);
    };
    match answered.answer {
        Answer::Completed => {
            let objective = job.received.map_or(u32::MAX, |r| r.objective);
            if answered.took <= objective {
                return Finding::Served;
            }
            let (cause, why) = late(account, job);
            Finding::Late(cause, format!("{} of {objective} ms: {why}", answered.took))
        }
        Answer::Refused(retry) => {
            let (cause, why) = refused(account, job, retry);
            Finding::NotServed(cause, why)
        }
        Answer::Failed if job.marks.given_up => {
            Finding::NotServed(Cause::GivenUp, "minions crashed under a task".into())
        }
        Answer::Failed => {
            let failures = job.ended.map_or(0, |e| e.failures);
            Finding::NotServed(Cause::RunFailed, format!("{failures} runs failed"))
        }
        Answer::Lost => Finding::NotServed(Cause::OwnerLost, "result lost".into()),
        Answer::Expired => {
            let (cause, why) = late(account, job);
            Finding::NotServed(cause, format!("expired: {why}"))
        }
    }
}

fn unanswered(account: &Account, job: &JobTrace) -> Finding {
    let Some(received) = job.received else {
        return without_vm(job);
    };
    if job.marks.caller_gone {
        return Finding::NotServed(Cause::CallerGone, "the caller disconnected".into());
    }
    let patience = u64::from(received.patience);
    if let Some(outage) = account.site.outage_of(received.vm, received.at, patience) {
        let vm = account.names.get(outage.vm);
        let age = outage.from.since(received.at);
        let why = format!("{vm} ended {age} ms after it received the job");
        return Finding::NotServed(Cause::CutWithVm, why);
    }
    if account.site.last.since(received.at) <= patience {
        return Finding::Open;
    }
    Finding::NotServed(Cause::Unknown, "no answer, and its VM went on".into())
}

/// Judges a job of which only owners have lines. The VM that took it ended before it
/// wrote its own.
fn without_vm(job: &JobTrace) -> Finding {
    let ended_elsewhere = job.marks.vm_gone || job.ended.is_some() || job.marks.owner_lost;
    match ended_elsewhere {
        true => Finding::NotServed(
            Cause::CutWithVm,
            "the VM that took it has no line of it".into(),
        ),
        false => Finding::NotServed(Cause::Unknown, "no VM has a line of its arrival".into()),
    }
}

fn refused(account: &Account, job: &JobTrace, retry: Millis) -> (Cause, String) {
    if let Some(ended) = job
        .ended
        .filter(|e| matches!(e.outcome, Answer::Refused(_)))
    {
        let shard = account.names.get(ended.shard);
        return (
            Cause::Displaced,
            format!("taken by {shard} and refused after {} ms", ended.took),
        );
    }
    if retry >= UNSERVABLE {
        return (Cause::Unservable, format!("retry after {} ms", retry.0));
    }
    let Some(last) = job.refusals.last() else {
        let why = match job.marks.unreachable {
            true => "the owner could not be reached",
            false => "no owner was known",
        };
        return (Cause::NoOwner, why.into());
    };
    if job.refusals.iter().all(|r| r.evacuated) {
        return (Cause::Evacuated, figures(account, last));
    }
    if job.refusals.iter().all(|r| r.cores == 0.0) {
        return (Cause::NoMinions, figures(account, last));
    }
    let need = job.received.map_or(f32::INFINITY, |r| r.cores);
    if let Some(with_room) = job.refusals.iter().find(|r| r.room >= need) {
        let why = format!("{need} cores asked; {}", figures(account, with_room));
        return (Cause::RefusedWithRoomHere, why);
    }
    let other = account.site.most_room(last.shard, last.at);
    match other.filter(|(_, free, _)| *free >= need) {
        Some((shard, free, age)) => {
            let shard = account.names.get(shard);
            let why = format!(
                "{need} cores asked; {}; {shard} had room for {free} {age} ms before",
                figures(account, last)
            );
            (Cause::RefusedWithRoomElsewhere, why)
        }
        None => {
            let why = format!("{need} cores asked; {}", figures(account, last));
            (Cause::RefusedWithoutRoom, why)
        }
    }
}

fn figures(account: &Account, refusal: &OwnerRefusal) -> String {
    format!(
        "{} had room for {} of {} cores, {:.0} core ms waiting",
        account.names.get(refusal.shard),
        refusal.room,
        refusal.cores,
        refusal.waiting
    )
}

/// Finds what took a late job most of its time beyond the expected.
fn late(account: &Account, job: &JobTrace) -> (Cause, String) {
    let marks = &job.marks;
    if marks.owner_lost || marks.repeated {
        return (
            Cause::OwnerLost,
            "run again after the loss of its owner".into(),
        );
    }
    if marks.given_up {
        return (Cause::GivenUp, "minions crashed under a task".into());
    }
    if marks.run_lost {
        return (Cause::RunLost, "a run was lost with its minion".into());
    }
    if marks.run_failed {
        return (Cause::RunFailed, "a run failed or hung".into());
    }
    let (Some(ended), Some(received)) = (job.ended, job.received) else {
        return (Cause::Unknown, "no owner has a line of its end".into());
    };
    longest_part(account, job, &received, &ended)
}

/// Compares the parts of a late job's time: waiting, the link, its runs, and the time
/// between VMs.
fn longest_part(
    account: &Account,
    job: &JobTrace,
    received: &Received,
    ended: &OwnerEnd,
) -> (Cause, String) {
    let answered = job.answered.map_or(ended.took, |a| a.took);
    let run = ended.took.saturating_sub(ended.waited + ended.link) as f32;
    let slow = ended.last_ratio >= ended.run_ratio * SLOW_RATIO && ended.run_ratio > 0.0;
    // The part of the last run beyond its estimate, as far as the other runs did not
    // take longer than theirs too.
    let fair = match slow {
        true => ended.run_ratio / ended.last_ratio,
        false => 1.0 / ended.last_ratio.max(1.0),
    };
    let run_cause = match slow {
        true => Cause::SlowMinion,
        false => Cause::Underestimated,
    };
    let parts = [
        (Cause::Waited, ended.waited as f32),
        (Cause::Link, ended.link as f32),
        (run_cause, run * (1.0 - fair)),
        (
            Cause::BetweenVms,
            answered.saturating_sub(ended.took) as f32,
        ),
    ];
    let (cause, _) = parts
        .into_iter()
        .max_by(|(_, a), (_, b)| a.total_cmp(b))
        .unwrap_or((Cause::Unknown, 0.0));
    let why = format!(
        "{} tasks, waited {} ms, link {} ms, at the owner {} ms, last run {:.2} of its estimate \
         on {}, others {:.2}",
        received.tasks,
        ended.waited,
        ended.link,
        ended.took,
        ended.last_ratio,
        account.names.get(ended.minion),
        ended.run_ratio
    );
    (cause, why)
}
