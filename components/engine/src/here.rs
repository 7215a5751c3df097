//! Jobs on the shards that this VM owns.

use std::net::SocketAddr;
use std::sync::Arc;

use schedule::{Admission, JobId, JobSpec, Outcome};
use tokio::sync::oneshot;

use crate::calls::JobReply;
use crate::control::Minions;
use crate::core::Core;
use crate::drive;
use crate::owned::{Ending, Owned, Waiter};

/// Cancels a job whose waiter goes away before its end.
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
            log::info!(job:% = self.id; "caller gone, job cancelled");
            drive::perform(self.core, self.owned);
        }
    }
}

/// Runs a job on a shard of this VM, for a caller of its own or of another VM.
pub(crate) async fn run_here<M: Minions>(
    core: &Arc<Core<M>>,
    owned: &Arc<Owned>,
    spec: JobSpec,
    from: Option<SocketAddr>,
) -> JobReply {
    let id = spec.id.clone();
    let now = core.now();
    let (tell, told) = oneshot::channel();
    let serial = {
        let mut state = owned.lock();
        if !state.live {
            return JobReply::NotOwner;
        }
        if state.scheduler.knows(&id) {
            // The caller has sent it again, so it has given up the first.
            log::info!(job:% = id; "job sent again while it ran, the first is stopped");
            let first = state.waiters.remove(&id).and_then(|w| w.tell);
            if let Some(first) = first {
                // It fails if that caller is gone already.
                let _ = first.send(Ending::Ended(Outcome::Lost));
            }
        }
        state.serial += 1;
        let serial = state.serial;
        match state.scheduler.submit(now, spec) {
            Admission::Refused { retry } => {
                let load = state.scheduler.load(now);
                drop(state);
                drive::perform(core, owned);
                log::info!(job:% = id, shard:% = owned.shard, retry_ms = retry.0, free = load.free,
                    waiting = load.waiting, cores = load.cores; "job refused, no room in time");
                return JobReply::Ended(Outcome::Refused { retry });
            }
            Admission::Taken => {}
        }
        let waiter = Waiter {
            tell: Some(tell),
            from,
            since: now,
            serial,
        };
        state.waiters.insert(id.clone(), waiter);
        serial
    };
    wait_here(core, owned, &id, serial, told).await
}

/// Waits for a job that was handed over to this VM.
pub(crate) async fn resume_here<M: Minions>(
    core: &Arc<Core<M>>,
    owned: &Arc<Owned>,
    id: &JobId,
    from: Option<SocketAddr>,
) -> JobReply {
    let (tell, told) = oneshot::channel();
    let serial = {
        let mut state = owned.lock();
        if let Some((outcome, _)) = state.kept.remove(id) {
            return JobReply::Ended(outcome);
        }
        state.serial += 1;
        let serial = state.serial;
        let Some(waiter) = state.waiters.get_mut(id) else {
            return JobReply::Ended(Outcome::Lost);
        };
        waiter.tell = Some(tell);
        waiter.from = from;
        waiter.serial = serial;
        serial
    };
    wait_here(core, owned, id, serial, told).await
}

async fn wait_here<M: Minions>(
    core: &Arc<Core<M>>,
    owned: &Arc<Owned>,
    id: &JobId,
    serial: u64,
    told: oneshot::Receiver<Ending>,
) -> JobReply {
    let guard = JobGuard {
        core,
        owned,
        id,
        serial,
    };
    drive::perform(core, owned);
    let ending = told.await;
    drop(guard);
    match ending {
        Ok(ending) => ending.into(),
        Err(_) => JobReply::Ended(Outcome::Lost),
    }
}
