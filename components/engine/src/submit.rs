//! One job: from the entry VM to the owner of minions and back.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use kernel::{Millis, Timestamp};
use metrics::{Count, Timing};
use ownership::Shard;
use schedule::{JobSpec, Outcome};

use crate::calls::{Ask, JobCall, JobReply, call_job};
use crate::control::Minions;
use crate::core::{Core, lock};
use crate::here::{resume_here, run_here};
use crate::owned::Ending;
use crate::route::{self, Candidate};

/// How many shards are asked for one job. The first refusal mostly holds for
/// all, and each more costs the caller time.
const TRIES: usize = 2;

/// How much longer than the job's deadline its owner is waited for, as the
/// owner ends it by then.
const OWNER_SLACK: Millis = Millis(100);

/// The hint to a caller while no shard has an owner; takeovers last about that.
const NO_OWNER_RETRY: Millis = Millis(1_000);

/// Returns the counter of jobs that end so.
fn counter(outcome: Outcome) -> Count {
    match outcome {
        Outcome::Completed => Count::JobComplete,
        Outcome::Failed => Count::JobFailed,
        Outcome::Refused { .. } => Count::JobNotRun,
        Outcome::Lost => Count::JobMayHaveRun,
        Outcome::Expired => Count::JobExpired,
    }
}

/// Counts a job that another VM runs for us, so that it hears our beats.
struct AwayGuard<'a, M> {
    core: &'a Core<M>,
    to: SocketAddr,
}

impl<'a, M> AwayGuard<'a, M> {
    fn new(core: &'a Core<M>, to: SocketAddr) -> AwayGuard<'a, M> {
        *lock(&core.away).entry(to).or_insert(0) += 1;
        AwayGuard { core, to }
    }
}

impl<M> Drop for AwayGuard<'_, M> {
    fn drop(&mut self) {
        let mut away = lock(&self.core.away);
        if let Some(count) = away.get_mut(&self.to) {
            *count -= 1;
            if *count == 0 {
                away.remove(&self.to);
            }
        }
    }
}

/// How long after its owner was lost a job is run again: by then the owner has
/// cancelled the jobs of a VM that it does not hear, or the leases of what it
/// started have lapsed.
const RERUN_WAIT: Millis = Millis(1_200);

/// Runs a job for a caller of this VM, again if its owner is lost on the way.
pub(crate) async fn submit<M: Minions>(core: &Arc<Core<M>>, spec: JobSpec) -> Outcome {
    let start = core.now();
    core.metrics.add(Count::JobReceived, 1);
    let answer = repeat(core, &spec, start).await;
    core.metrics.add(counter(answer), 1);
    let took = Duration::from_micros(core.now().micros_since(start));
    core.metrics.time(Timing::Response, took);
    answer
}

async fn repeat<M: Minions>(core: &Arc<Core<M>>, spec: &JobSpec, start: Timestamp) -> Outcome {
    let mut answer = None;
    loop {
        let left = remaining(spec, start, core.now());
        let latest = attempt(core, left).await.after(answer);
        let left = remaining(spec, start, core.now());
        let again = RERUN_WAIT.0 + spec.critical_path().0;
        if latest != Outcome::Lost || left.patience.0 < again {
            return latest;
        }
        answer = Some(latest);
        tokio::time::sleep(RERUN_WAIT.duration()).await;
        core.metrics.add(Count::JobRepeated, 1);
        log::info!(job:% = spec.id, left_ms = left.patience.0; "job run again");
    }
}

/// How often a job that waits for the first owner looks for one.
const OWNER_LOOK: Millis = Millis(20);

/// Waits, on a VM that has just started, until a shard can take the job: after a
/// loss of all VMs owners come up within some hundred milliseconds, and a caller
/// that is refused meanwhile is told to come back later than that.
async fn await_owner<M: Minions>(core: &Core<M>, spec: &JobSpec, start: Timestamp) {
    let latest = start.after(spec.patience).0;
    let latest = Timestamp(latest.saturating_sub(spec.critical_path().micros()));
    loop {
        let now = core.now();
        let starting = core.peers().starting(now);
        if !starting || now >= latest || next_shard(core, spec, &[]).is_some() {
            return;
        }
        tokio::time::sleep(OWNER_LOOK.duration()).await;
    }
}

/// Runs a job once.
async fn attempt<M: Minions>(core: &Arc<Core<M>>, spec: JobSpec) -> Outcome {
    let start = core.now();
    let mut refused = Outcome::Refused {
        retry: NO_OWNER_RETRY,
    };
    let mut tried: Vec<Shard> = Vec::new();
    await_owner(core, &spec, start).await;
    while tried.len() < TRIES {
        let left = remaining(&spec, start, core.now());
        let Some(shard) = next_shard(core, &left, &tried) else {
            break;
        };
        tried.push(shard.clone());
        match at_owner(core, &shard, left).await {
            Ok(Ending::Ended(Outcome::Refused { retry })) => {
                refused = Outcome::Refused { retry };
            }
            Ok(Ending::Ended(outcome)) => return outcome,
            Ok(Ending::Moved(to)) => return resume(core, &shard, &spec, to, start).await,
            Err(Nothing) => {}
        }
    }
    refused
}

/// The owner was not reached or was none; nothing was done.
struct Nothing;

fn next_shard<M>(core: &Core<M>, spec: &JobSpec, tried: &[Shard]) -> Option<Shard> {
    let now = core.now();
    let owned = core.owned.load();
    let mine = owned.values().map(|o| Candidate {
        shard: o.shard.clone(),
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
    let ordered = route::order(spec, &core.cfg.domain, all);
    ordered.into_iter().next().map(|c| c.shard)
}

/// Returns the job with the times that are left of its objective and patience.
fn remaining(spec: &JobSpec, start: Timestamp, now: Timestamp) -> JobSpec {
    let spent = now.since(start).0;
    JobSpec {
        objective: Millis(spec.objective.0.saturating_sub(spent)),
        patience: Millis(spec.patience.0.saturating_sub(spent)),
        ..spec.clone()
    }
}

/// Runs a job at the owner of a shard.
async fn at_owner<M: Minions>(
    core: &Arc<Core<M>>,
    shard: &Shard,
    spec: JobSpec,
) -> Result<Ending, Nothing> {
    if let Some(owned) = core.owned(shard) {
        return match run_here(core, &owned, spec, None).await {
            JobReply::Ended(outcome) => Ok(Ending::Ended(outcome)),
            JobReply::Moved(to) => Ok(Ending::Moved(to)),
            JobReply::NotOwner => Err(Nothing),
        };
    }
    let Some(to) = core.peers().owner(shard).map(|o| o.claim.addr) else {
        return Err(Nothing);
    };
    let wait = Millis(spec.patience.0 + OWNER_SLACK.0).duration();
    call(core, shard, to, Ask::Run(spec), wait).await
}

/// Calls an owner, and gives up when it is no longer heard.
async fn call<M: Minions>(
    core: &Arc<Core<M>>,
    shard: &Shard,
    to: SocketAddr,
    ask: Ask,
    wait: Duration,
) -> Result<Ending, Nothing> {
    let _away = AwayGuard::new(core, to);
    let id = match &ask {
        Ask::Run(spec) => spec.id.clone(),
        Ask::Resume(id) => id.clone(),
    };
    let call = JobCall {
        shard: shard.clone(),
        from: core.cfg.peers,
        ask,
    };
    let mut moves = core.moves.subscribe();
    let answer = call_job(core, to, &call, wait);
    let mut answer = std::pin::pin!(answer);
    let reply = loop {
        tokio::select! {
            reply = answer.as_mut() => break reply,
            _ = moves.changed() => {
                if !core.peers().within_timeout(to, core.now()) {
                    log::warn!(job:% = id, owner:% = to; "owner not heard, job lost");
                    return Ok(Ending::Ended(Outcome::Lost));
                }
            }
        }
    };
    match reply {
        Ok(JobReply::Ended(outcome)) => Ok(Ending::Ended(outcome)),
        Ok(JobReply::Moved(to)) => Ok(Ending::Moved(to)),
        Ok(JobReply::NotOwner) => Err(Nothing),
        Err(e) if e.maybe_done() => {
            log::warn!(job:% = id, owner:% = to, error:% = e; "no answer of the owner, job lost");
            Ok(Ending::Ended(Outcome::Lost))
        }
        Err(e) => {
            log::warn!(job:% = id, owner:% = to, error:% = e; "owner not reached");
            Err(Nothing)
        }
    }
}

/// Waits for a job that its owner has handed over.
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
        if left.patience.0 == 0 {
            return Outcome::Lost;
        }
        let ending = if to == core.cfg.peers {
            match core.owned(shard) {
                Some(owned) => resume_here(core, &owned, &spec.id, None).await,
                None => return Outcome::Lost,
            }
        } else {
            let wait = Millis(left.patience.0 + OWNER_SLACK.0).duration();
            match call(core, shard, to, Ask::Resume(spec.id.clone()), wait).await {
                Ok(Ending::Ended(outcome)) => return outcome,
                Ok(Ending::Moved(next)) => JobReply::Moved(next),
                Err(Nothing) => return Outcome::Lost,
            }
        };
        match ending {
            JobReply::Ended(outcome) => return outcome,
            JobReply::Moved(next) => to = next,
            JobReply::NotOwner => return Outcome::Lost,
        }
    }
}
