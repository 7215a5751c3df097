//! Runs a caller's job: selects a shard, sends the job to its owner and returns
//! the outcome.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use kernel::{Millis, Timestamp};
use metrics::{Count, Timing};
use ownership::Shard;
use schedule::{JobSpec, Outcome};

use crate::calls::{JobAction, JobCall, JobReply, call_job};
use crate::control::Minions;
use crate::core::{Core, lock};
use crate::first_jobs::{await_minions, latest_begin, soon};
use crate::here::{resume_local, run_local};
use crate::owned::Ending;
use crate::route::{self, Candidate};

/// Maximum number of shards that are asked to run a job. If the first refuses,
/// the others mostly do too, and each further request costs the caller time.
const MAX_SHARDS: usize = 2;

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

/// Counts a job that another VM runs for this one, so that heartbeats are sent
/// to that VM while the guard exists.
struct RemoteGuard<'a, M> {
    core: &'a Core<M>,
    to: SocketAddr,
}

impl<'a, M> RemoteGuard<'a, M> {
    fn new(core: &'a Core<M>, to: SocketAddr) -> RemoteGuard<'a, M> {
        *lock(&core.remote_jobs).entry(to).or_insert(0) += 1;
        RemoteGuard { core, to }
    }
}

impl<M> Drop for RemoteGuard<'_, M> {
    fn drop(&mut self) {
        let mut jobs = lock(&self.core.remote_jobs);
        if let Some(count) = jobs.get_mut(&self.to) {
            *count -= 1;
            if *count == 0 {
                jobs.remove(&self.to);
            }
        }
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

/// Interval at which a job that waits for the first owner checks for one.
pub(crate) const OWNER_POLL: Millis = Millis(20);

/// Waits, on a VM that has just started, until a shard can take the job. After
/// a loss of all VMs, shards get owners within some hundred milliseconds; a
/// refused caller would be told to wait longer than that before it retries.
async fn await_owner<M: Minions>(core: &Core<M>, spec: &JobSpec, start: Timestamp) {
    let latest = latest_begin(spec, start);
    loop {
        let now = core.now();
        let starting = core.peers().starting(now);
        if !starting || now >= latest || next_shard(core, spec, &[]).is_some() {
            return;
        }
        tokio::time::sleep(OWNER_POLL.duration()).await;
    }
}

/// Runs a job once, on the first shard that does not refuse it.
async fn run_once<M: Minions>(core: &Arc<Core<M>>, spec: JobSpec) -> Outcome {
    let start = core.now();
    let mut refused = Outcome::Refused {
        retry: NO_OWNER_RETRY,
    };
    let mut tried: Vec<Shard> = Vec::new();
    let began = core.peers().starting(start);
    await_owner(core, &spec, start).await;
    while tried.len() < MAX_SHARDS {
        let left = remaining(&spec, start, core.now());
        let Some(shard) = next_shard(core, &left, &tried) else {
            break;
        };
        tried.push(shard.clone());
        match run_at_owner(core, &shard, left).await {
            Ok(Ending::Ended(Outcome::Refused { retry })) => {
                refused = Outcome::Refused { retry };
            }
            Ok(Ending::Ended(outcome)) => return outcome,
            Ok(Ending::Moved(to)) => return resume(core, &shard, &spec, to, start).await,
            Err(NotStarted) => {}
        }
        let starting = core.peers().starting(core.now());
        let last =
            |tried: &[Shard]| tried.len() == MAX_SHARDS || next_shard(core, &spec, tried).is_none();
        if starting && last(&tried) && await_minions(core, &spec, start).await {
            tried.clear();
        }
    }
    soon(core, refused, began)
}

/// Error of a job that was not started, because the VM that was asked could not
/// be reached or does not own the shard.
struct NotStarted;

/// Returns the best shard for a job that has not been tried yet.
fn next_shard<M>(core: &Core<M>, spec: &JobSpec, tried: &[Shard]) -> Option<Shard> {
    let now = core.now();
    let owned = core.owned.load();
    let mine = owned.values().map(|o| Candidate {
        shard: Shard::clone(&o.shard()),
        load: o.lock().scheduler.load(now),
    });
    let mut all: Vec<_> = mine.collect();
    {
        let peers = core.peers();
        all.extend(peers.owners().map(|(shard, owner)| Candidate {
            shard: shard.clone(),
            load: owner.load,
        }));
    }
    all.retain(|c| !tried.contains(&c.shard));
    let domain = &core.cfg.domain;
    route::choose(spec, domain, all, &mut rand::rng()).map(|c| c.shard)
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
            JobReply::NotOwner => Err(NotStarted),
        };
    }
    let Some(to) = core.peers().owner(shard).map(|o| o.claim.addr) else {
        return Err(NotStarted);
    };
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
    let _guard = RemoteGuard::new(core, to);
    let id = match &action {
        JobAction::Run(spec) => spec.id.clone(),
        JobAction::Resume(id) => id.clone(),
    };
    let call = JobCall {
        shard: shard.clone(),
        from: core.cfg.peer_addr,
        action,
    };
    let called = core.now();
    let interval = core.cfg.ownership.heartbeat_interval.duration();
    let answer = call_job(core, to, &call, wait);
    let mut answer = std::pin::pin!(answer);
    let reply = loop {
        tokio::select! {
            reply = answer.as_mut() => break reply,
            () = tokio::time::sleep(interval) => {
                if !core.peers().within_timeout(to, called, core.now()) {
                    log::warn!(job:% = id, owner:% = to; "job lost: no heartbeat from the owner");
                    return Ok(Ending::Ended(Outcome::Lost));
                }
            }
        }
    };
    if matches!(reply, Ok(JobReply::Ended(_))) {
        core.peers().refresh(to, core.now());
    }
    match reply {
        Ok(JobReply::Ended(outcome)) => Ok(Ending::Ended(outcome)),
        Ok(JobReply::Moved(to)) => Ok(Ending::Moved(to)),
        Ok(JobReply::NotOwner) => Err(NotStarted),
        Err(e) if e.maybe_done() => {
            log::warn!(job:% = id, owner:% = to, error:% = e; "job lost: no answer from the owner");
            Ok(Ending::Ended(Outcome::Lost))
        }
        Err(e) => {
            log::warn!(job:% = id, owner:% = to, error:% = e; "owner could not be reached");
            Err(NotStarted)
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
            JobReply::NotOwner => return Outcome::Lost,
        }
    }
}
