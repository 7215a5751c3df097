//! Runs jobs on the shards that this VM owns.

use std::net::SocketAddr;
use std::sync::Arc;

use kernel::Timestamp;
use ownership::CallId;
use schedule::{Admission, JobId, JobSpec, Outcome};
use tokio::sync::oneshot;

use crate::calls::JobReply;
use crate::control::Minions;
use crate::core::Core;
use crate::drive;
use crate::leases::JOB_LEASE;
use crate::owned::{Ending, Owned, Waiter};

/// Cancels a job if its waiter is dropped before the job has ended.
struct JobGuard<'a, M: Minions> {
    core: &'a Arc<Core<M>>,
    owned: &'a Arc<Owned>,
    id: &'a JobId,
    serial: u64,
}

impl<M: Minions> Drop for JobGuard<'_, M> {
    fn drop(&mut self) {
        let mut state = self.owned.lock();
        let ours = state.waiters.get(self.id);
        if ours.is_some_and(|w| w.serial == self.serial) {
            state.waiters.remove(self.id);
            state.scheduler.cancel(self.id, self.core.now());
            drop(state);
            log::info!(job:% = self.id; "job cancelled: caller disconnected");
            drive::run_actions(self.core, self.owned);
        }
    }
}

/// A call by which another VM waits for a job.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Origin {
    /// The VM that took the job from its caller.
    pub from: SocketAddr,
    /// Id of the call; `None` from a VM that lists no calls.
    pub call: Option<CallId>,
    /// Time at which the call was sent, at the earliest.
    pub sent: Timestamp,
}

impl Origin {
    /// Returns the time until which the job may run without a heartbeat.
    fn lease(&self) -> Timestamp {
        self.sent.after(JOB_LEASE)
    }
}

/// Runs a job on a shard of this VM. `origin` is the call of the VM that took the job
/// from its caller, or `None` if this VM did.
pub(crate) async fn run_local<M: Minions>(
    core: &Arc<Core<M>>,
    owned: &Arc<Owned>,
    spec: JobSpec,
    origin: Option<Origin>,
) -> JobReply {
    let id = spec.id.clone();
    let now = core.now();
    let (reply_tx, reply_rx) = oneshot::channel();
    let serial = {
        let mut state = owned.lock();
        if !state.live {
            return JobReply::NotOwner;
        }
        if state.scheduler.is_poison(&id, now) {
            log::info!(job:% = id, shard:% = owned.shard(); "job failed: a task of it was given up");
            return JobReply::Ended(Outcome::Failed);
        }
        if state.scheduler.knows(&id) {
            // A caller that submits a job again no longer waits for the first
            // submission.
            log::info!(job:% = id; "job submitted again while running, first submission stopped");
            let first = state.waiters.remove(&id).and_then(|w| w.reply_tx);
            if let Some(first) = first {
                // Sending fails if the first caller has disconnected already.
                let _ = first.send(Ending::Ended(Outcome::Lost));
            }
        }
        state.serial += 1;
        let serial = state.serial;
        state
            .scheduler
            .set_link(core.link_delay(), core.cfg.link.is_busy());
        let need = spec.steps[0].need;
        match state.scheduler.submit(now, spec) {
            Admission::Refused { retry } => {
                let room = state.scheduler.room_for(&need, now);
                let load = state.scheduler.load(now);
                let evacuated = state.scheduler.is_evacuated();
                drop(state);
                drive::run_actions(core, owned);
                log::info!(job:% = id, shard:% = owned.shard(), retry_ms = retry.0, free = load.free, room = room,
                    waiting = load.waiting, cores = load.cores, evacuated = evacuated;
                    "job refused: no free capacity in time");
                return JobReply::Refused { retry, load };
            }
            Admission::Taken => {}
        }
        if let Some(origin) = &origin {
            state.scheduler.renew_lease(&id, origin.lease());
        }
        let waiter = Waiter {
            reply_tx: Some(reply_tx),
            from: origin.map(|o| o.from),
            call: origin.and_then(|o| o.call),
            since: now,
            serial,
        };
        state.waiters.insert(id.clone(), waiter);
        serial
    };
    wait_local(core, owned, &id, serial, reply_rx).await
}

/// Waits for a job that was handed over to this VM.
pub(crate) async fn resume_local<M: Minions>(
    core: &Arc<Core<M>>,
    owned: &Arc<Owned>,
    id: &JobId,
    origin: Option<Origin>,
) -> JobReply {
    let (reply_tx, reply_rx) = oneshot::channel();
    let serial = {
        let mut state = owned.lock();
        if let Some((outcome, _)) = state.unclaimed.remove(id) {
            return JobReply::Ended(outcome);
        }
        state.serial += 1;
        let serial = state.serial;
        let Some(waiter) = state.waiters.get_mut(id) else {
            return JobReply::Ended(Outcome::Lost);
        };
        waiter.reply_tx = Some(reply_tx);
        waiter.from = origin.map(|o| o.from);
        waiter.call = origin.and_then(|o| o.call);
        waiter.serial = serial;
        match &origin {
            Some(origin) => state.scheduler.renew_lease(id, origin.lease()),
            None => state.scheduler.end_lease(id),
        }
        serial
    };
    wait_local(core, owned, id, serial, reply_rx).await
}

/// Waits for the ending of a job and cancels the job if the future is dropped.
async fn wait_local<M: Minions>(
    core: &Arc<Core<M>>,
    owned: &Arc<Owned>,
    id: &JobId,
    serial: u64,
    reply_rx: oneshot::Receiver<Ending>,
) -> JobReply {
    let guard = JobGuard {
        core,
        owned,
        id,
        serial,
    };
    drive::run_actions(core, owned);
    let ending = reply_rx.await;
    drop(guard);
    match ending {
        Ok(ending) => ending.into(),
        Err(_) => JobReply::Ended(Outcome::Lost),
    }
}
