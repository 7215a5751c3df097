//! Runs a caller's job: selects a shard, sends the job to its owner and returns
//! the outcome.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use kernel::{Millis, Timestamp};
use metrics::{Count, Timing};
use ownership::{Candidate, MAX_OFFERS, Shard, choose, choose_next};
use schedule::{JobSpec, Load, Outcome};

use crate::calls::{JobAction, JobCall, JobReply, MAX_CALL_AGE, PeerError, call_job};
use crate::control::Minions;
use crate::core::{Core, lock};
use crate::crashes;
use crate::first_jobs::{await_minions, latest_begin, shorten_retry};
use crate::here::{resume_local, run_local};
use crate::leases::CallGuard;
use crate::owned::Ending;
use crate::stall::NOTICE_TIME;

/// Time added to a job's remaining timeout when its owner is waited for, as
/// the owner ends the job at its deadline.
const OWNER_SLACK: Millis = Millis(100);

/// Retry time in refusals while no shard has an owner: the usual duration of a
/// takeover.
const NO_OWNER_RETRY: Millis = Millis(1_000);

/// Returns the counter of jobs with this outcome.
fn counter(outcome: Outcome) -> Count {
    match outcome {
        Outcome::Completed => Count::JobComplete,
        Outcome::Failed => Count::JobFailed,
        Outcome::Refused { .. } => Count::JobNotRun,
        Outcome::Lost => Count::JobMayHaveRun,
        Outcome::Expired => Count::JobExpired,
    }
}

/// Counts a job against the free cores in the report of the shard that it was
/// sent to, until it ends or a later report arrives.
struct SentGuard<'a, M> {
    core: &'a Core<M>,
    shard: &'a Shard,
    reported: Timestamp,
    cores: f64,
}

impl<'a, M> SentGuard<'a, M> {
    fn new(core: &'a Core<M>, shard: &'a Shard, reported: Timestamp, spec: &JobSpec) -> Self {
        let cores = lock(&core.sent_work).add(shard, reported, spec);
        SentGuard {
            core,
            shard,
            reported,
            cores,
        }
    }
}

impl<M> Drop for SentGuard<'_, M> {
    fn drop(&mut self) {
        lock(&self.core.sent_work).remove(self.shard, self.reported, self.cores);
    }
}

/// Time between the loss of a job's owner and the next run of the job. By then
/// the owner has cancelled the jobs of VMs whose heartbeats have stopped, or
/// the leases of the runs that it started have expired.
const RERUN_DELAY: Millis = Millis(1_200);

/// Runs a job for a caller of this VM. The job is run again if its owner is
/// lost.
pub(crate) async fn submit<M: Minions>(core: &Arc<Core<M>>, spec: JobSpec) -> Outcome {
    let start = core.now();
    core.metrics.add(Count::JobReceived, 1);
    if core.ticks.after_stall(start) {
        // The caller may have gone during the stall. If so, its connection's close is
        // noticed now and drops this future.
        tokio::time::sleep(NOTICE_TIME.duration()).await;
    }
    let outcome = run_repeated(core, &spec, start).await;
    core.metrics.add(counter(outcome), 1);
    let took = Duration::from_micros(core.now().micros_since(start));
    core.metrics.time(Timing::Response, took);
    outcome
}

/// Runs a job, and again after the loss of its owner while the time that is
/// left suffices.
async fn run_repeated<M: Minions>(
    core: &Arc<Core<M>>,
    spec: &JobSpec,
    start: Timestamp,
) -> Outcome {
    let mut earlier = None;
    loop {
        let left = remaining(spec, start, core.now());
        let latest = run_once(core, left).await.after(earlier);
        let left = remaining(spec, start, core.now());
        let needed = RERUN_DELAY.0 + spec.critical_path().0;
        if latest != Outcome::Lost || left.timeout.0 < needed {
            return latest;
        }
        earlier = Some(latest);
        tokio::time::sleep(RERUN_DELAY.duration()).await;
        core.metrics.add(Count::JobRepeated, 1);
        log::info!(job:% = spec.id, left_ms = left.timeout.0; "job run again");
    }
}

/// Interval at which a job that waits for an owner checks for one.
pub(crate) const OWNER_POLL: Millis = Millis(20);

/// Waits, on a VM that has just started, until a shard of the VM's own domain can
/// take the job. After a loss of all VMs, shards get owners within some hundred
/// milliseconds; a refused caller would be told to wait longer than that before
/// it retries. The first owner of another domain would get the jobs of all VMs
/// otherwise, more than it can accept connections for.
async fn await_owner<M: Minions>(core: &Core<M>, spec: &JobSpec, start: Timestamp) {
    let latest = latest_begin(spec, start);
    loop {
        let now = core.now();
        let waits = core.peers().starting(now) && now < latest && !all_evacuated(core);
        let found = home_owned(core) && next_shard(core, spec, &[], None).is_some();
        if !waits || found {
            return;
        }
        tokio::time::sleep(OWNER_POLL.duration()).await;
    }
}

/// Returns whether a shard of this VM's domain has an owner, or the domain is
/// being evacuated.
fn home_owned<M>(core: &Core<M>) -> bool {
    let home = &core.cfg.domain;
    let is_home = |shard: &Shard| shard.domain == *home;
    core.evacuations.load().contains(home)
        || core.owned.load().keys().any(is_home)
        || core.peers().owners().any(|(shard, _)| is_home(shard))
}

/// Returns whether all domains of the site are being evacuated, so that no wait
/// helps a job.
fn all_evacuated<M>(core: &Core<M>) -> bool {
    let evacuations = core.evacuations.load();
    core.cfg.domains.iter().all(|d| evacuations.contains(d))
}

/// Runs a job once. On a VM that has just started, a refused job is offered again
/// when owners hold more minions.
async fn run_once<M: Minions>(core: &Arc<Core<M>>, spec: JobSpec) -> Outcome {
    let start = core.now();
    if crashes::is_poison(core, &spec.id) {
        return Outcome::Failed;
    }
    let began = core.peers().starting(start);
    await_owner(core, &spec, start).await;
    loop {
        let outcome = offer(core, &spec, start).await;
        let refused = matches!(outcome, Outcome::Refused { .. });
        let starting = core.peers().starting(core.now()) && !all_evacuated(core);
        if !refused || !starting || !await_minions(core, &spec, start).await {
            return shorten_retry(core, outcome, began);
        }
    }
}

/// Runs a job on the first shard that does not refuse it.
async fn offer<M: Minions>(core: &Arc<Core<M>>, spec: &JobSpec, start: Timestamp) -> Outcome {
    // Shortest retry time of the owners that have refused the job.
    let mut retry: Option<Millis> = None;
    let mut tried: Vec<Shard> = Vec::new();
    let mut offers = 0;
    while offers < MAX_OFFERS {
        let left = remaining(spec, start, core.now());
        let Some(next) = next_shard(core, &left, &tried, retry.map(|_| offers)) else {
            break;
        };
        if retry.is_some() {
            core.metrics.add(Count::JobOffered, 1);
            log::info!(job:% = spec.id, shard:% = next.shard, offer = offers + 1,
                free = next.load.free, cores = next.load.cores, age_ms = next.age.0,
                left_ms = left.timeout.0; "refused job offered to another shard");
        }
        let shard = next.shard;
        tried.push(shard.clone());
        let outcome = match run_at_owner(core, &shard, left).await {
            Ok(Ending::Ended(outcome)) => Some(outcome),
            Ok(Ending::Moved(to)) => Some(resume(core, &shard, spec, to, start).await),
            Err(NotStarted) => None,
        };
        match outcome {
            Some(Outcome::Refused { retry: next }) => {
                retry = Some(retry.map_or(next, |earlier| earlier.min(next)));
            }
            Some(outcome) => return outcome,
            None => {}
        }
        // A shard of an evacuated domain has refused whatever its load.
        if !core.evacuations.load().contains(&shard.domain) {
            offers += 1;
        }
    }
    Outcome::Refused {
        retry: retry.unwrap_or(NO_OWNER_RETRY),
    }
}

/// Error of a job that was not started, because the VM that was asked could not
/// be reached or does not own the shard.
struct NotStarted;

/// Returns the best shard for a job that has not been tried yet. `offers` is the
/// number of offers so far, once an owner has refused the job.
fn next_shard<M>(
    core: &Core<M>,
    spec: &JobSpec,
    tried: &[Shard],
    offers: Option<usize>,
) -> Option<Candidate> {
    let now = core.now();
    let owned = core.owned.load();
    let mine = owned.values().map(|o| Candidate {
        shard: Shard::clone(&o.shard()),
        load: o.lock().scheduler.load(now),
        age: Millis(0),
    });
    let mut all: Vec<_> = mine.collect();
    {
        let peers = core.peers();
        let sent = lock(&core.sent_work);
        all.extend(peers.owners().map(|(shard, owner)| Candidate {
            shard: shard.clone(),
            load: sent.adjust(shard, owner.loaded, owner.load),
            age: now.since(owner.loaded),
        }));
    }
    let evacuations = core.evacuations.load();
    all.retain(|c| !tried.contains(&c.shard) && !evacuations.contains(&c.shard.domain));
    let domain = &core.cfg.domain;
    let rng = &mut rand::rng();
    match offers {
        None => choose(spec, domain, all, rng),
        Some(offers) => choose_next(spec, domain, all, offers, rng),
    }
}

/// Takes over the load that came with an owner's refusal.
fn update_load<M>(core: &Core<M>, shard: &Shard, from: SocketAddr, load: Load) {
    if load.is_valid() {
        core.peers().update_load(shard, from, load, core.now());
    } else {
        log::warn!(shard:% = shard, owner:% = from; "load in a refusal ignored: not a valid figure");
    }
}

/// Returns the job with the time that is left of its objective and timeout.
fn remaining(spec: &JobSpec, start: Timestamp, now: Timestamp) -> JobSpec {
    let spent = now.since(start).0;
    JobSpec {
        objective: Millis(spec.objective.0.saturating_sub(spent)),
        timeout: Millis(spec.timeout.0.saturating_sub(spent)),
        ..spec.clone()
    }
}

/// Runs a job on a shard, through this VM or the VM that owns it.
async fn run_at_owner<M: Minions>(
    core: &Arc<Core<M>>,
    shard: &Shard,
    spec: JobSpec,
) -> Result<Ending, NotStarted> {
    if let Some(owned) = core.owned(shard) {
        return match run_local(core, &owned, spec, None).await {
            JobReply::Ended(outcome) => Ok(Ending::Ended(outcome)),
            JobReply::Moved(to) => Ok(Ending::Moved(to)),
            JobReply::NotOwner | JobReply::Late(_) => Err(NotStarted),
            JobReply::Refused { retry, .. } => Ok(Ending::Ended(Outcome::Refused { retry })),
        };
    }
    let owner = core.peers().owner(shard).map(|o| (o.claim.addr, o.loaded));
    let Some((to, reported)) = owner else {
        return Err(NotStarted);
    };
    let _sent = SentGuard::new(core, shard, reported, &spec);
    let wait = Millis(spec.timeout.0 + OWNER_SLACK.0).duration();
    call_owner(core, shard, to, JobAction::Run(spec), wait).await
}

/// Calls an owner. The job is lost if the owner's heartbeats stop before it
/// answers.
async fn call_owner<M: Minions>(
    core: &Arc<Core<M>>,
    shard: &Shard,
    to: SocketAddr,
    action: JobAction,
    wait: Duration,
) -> Result<Ending, NotStarted> {
    let guard = CallGuard::new(core, to);
    let id = match &action {
        JobAction::Run(spec) => spec.id.clone(),
        JobAction::Resume(id) => id.clone(),
    };
    let called = core.now();
    let mut call = JobCall {
        shard: shard.clone(),
        from: core.cfg.peer_addr,
        action,
        crashes: crashes::of_job(core, &id),
        call: Some(guard.id()),
        sent: core.peers().sent_at(to, called),
    };
    let mut reply = call_heard(core, to, &call, called, wait).await;
    // Where calls take as long as that, another one would be late too.
    let quick = core.now().since(called) < MAX_CALL_AGE;
    if let Ok(JobReply::Late(clock)) = reply
        && quick
    {
        call.sent = Some(clock);
        reply = call_heard(core, to, &call, called, wait).await;
    }
    if matches!(reply, Ok(JobReply::Ended(_) | JobReply::Refused { .. })) {
        core.peers().refresh(to, core.now());
    }
    match reply {
        Ok(JobReply::Ended(outcome)) => Ok(Ending::Ended(outcome)),
        Ok(JobReply::Moved(to)) => Ok(Ending::Moved(to)),
        Ok(JobReply::NotOwner | JobReply::Late(_)) => Err(NotStarted),
        Ok(JobReply::Refused { retry, load }) => {
            update_load(core, shard, to, load);
            Ok(Ending::Ended(Outcome::Refused { retry }))
        }
        Err(NoReply::Silent) => {
            log::warn!(job:% = id, owner:% = to; "job lost: no heartbeat from the owner");
            Ok(Ending::Ended(Outcome::Lost))
        }
        Err(NoReply::Failed(e)) if e.maybe_done() => {
            log::warn!(job:% = id, owner:% = to, error:% = e; "job lost: no answer from the owner");
            Ok(Ending::Ended(Outcome::Lost))
        }
        Err(NoReply::Failed(e)) => {
            log::warn!(job:% = id, owner:% = to, error:% = e; "owner could not be reached");
            Err(NotStarted)
        }
    }
}

/// Error of a call to an owner that got no answer.
enum NoReply {
    /// The owner's heartbeats have stopped.
    Silent,
    /// The call has failed.
    Failed(PeerError),
}

/// Calls an owner and waits for the answer while the owner's heartbeats arrive.
/// They are expected at the shortest interval from `called` on.
async fn call_heard<M>(
    core: &Core<M>,
    to: SocketAddr,
    call: &JobCall,
    called: Timestamp,
    wait: Duration,
) -> Result<JobReply, NoReply> {
    let interval = core.cfg.ownership.heartbeat_interval.duration();
    let answer = call_job(core, to, call, wait);
    let mut answer = std::pin::pin!(answer);
    loop {
        tokio::select! {
            reply = answer.as_mut() => return reply.map_err(NoReply::Failed),
            () = tokio::time::sleep(interval) => {
                if !core.peers().within_timeout(to, called, core.now()) {
                    return Err(NoReply::Silent);
                }
            }
        }
    }
}

/// Waits for a job that its owner has handed over to `to`.
async fn resume<M: Minions>(
    core: &Arc<Core<M>>,
    shard: &Shard,
    spec: &JobSpec,
    to: SocketAddr,
    start: Timestamp,
) -> Outcome {
    let mut to = to;
    loop {
        let left = remaining(spec, start, core.now());
        if left.timeout.0 == 0 {
            return Outcome::Lost;
        }
        let ending = if to == core.cfg.peer_addr {
            match core.owned_part(shard) {
                Some(owned) => resume_local(core, &owned, &spec.id, None).await,
                None => return Outcome::Lost,
            }
        } else {
            let wait = Millis(left.timeout.0 + OWNER_SLACK.0).duration();
            match call_owner(core, shard, to, JobAction::Resume(spec.id.clone()), wait).await {
                Ok(Ending::Ended(outcome)) => return outcome,
                Ok(Ending::Moved(next)) => JobReply::Moved(next),
                Err(NotStarted) => return Outcome::Lost,
            }
        };
        match ending {
            JobReply::Ended(outcome) => return outcome,
            JobReply::Moved(next) => to = next,
            JobReply::NotOwner | JobReply::Late(_) => return Outcome::Lost,
            // Not an answer to the question for a job that was taken.
            JobReply::Refused { .. } => return Outcome::Lost,
        }
    }
}
