//! Jobs that arrive while an owner is still taking its minions. It refuses them for
//! lack of room that it has some ten milliseconds later
//! (docs/design/cold-start.md).

use std::sync::atomic::Ordering;

use kernel::{Millis, Timestamp};
use schedule::{JobSpec, Outcome};

use crate::core::Core;
use crate::owned::Owned;
use crate::submit::OWNER_POLL;

/// Part of the listed minions by which those that are held must grow before a
/// refused job is offered again. It bounds the number of offers of a job.
const OFFER_STEP: f64 = 0.1;

/// Part of the listed minions above which no more room is expected. Some of the
/// listed ones may have died with the VMs.
const MOST_MINIONS: f64 = 0.9;

/// Retry time in refusals while owners are still taking their minions: by then
/// they hold them, and a client's `Retry-After` is in whole seconds.
const TAKING_RETRY: Millis = Millis(1_000);

/// Retry time from which on a refusal is not for lack of room: no minion can run
/// the job.
const UNSERVABLE_RETRY: Millis = Millis(60_000);

/// Returns whether owners hold so many of the listed minions that no more room is
/// expected.
fn complete<M>(core: &Core<M>, held: f64) -> bool {
    let register = core.register.load();
    let listed = register.as_ref().map(|all| all.len() as f64);
    listed.is_some_and(|listed| held >= listed * MOST_MINIONS)
}

/// Returns a refusal with the time until room is expected. The owner counts only
/// the minions that it holds, so its retry time is too long while it takes the
/// others. `starting` tells whether this VM had just started when the job came.
pub(crate) fn shorten_retry<M>(core: &Core<M>, refused: Outcome, starting: bool) -> Outcome {
    match refused {
        Outcome::Refused { retry }
            if starting && retry < UNSERVABLE_RETRY && !complete(core, held_minions(core)) =>
        {
            let retry = retry.min(TAKING_RETRY);
            Outcome::Refused { retry }
        }
        other => other,
    }
}

/// Returns the latest time at which a job can begin to run and still end before
/// its caller leaves.
pub(crate) fn latest_begin(spec: &JobSpec, start: Timestamp) -> Timestamp {
    let end = start.after(spec.timeout).0;
    Timestamp(end.saturating_sub(spec.critical_path().micros()))
}

/// Waits, on a VM that has just started, until owners hold clearly more minions
/// than now. Returns false if a job that was refused is not to be offered again,
/// because no more are expected while its caller waits.
pub(crate) async fn await_minions<M>(core: &Core<M>, spec: &JobSpec, start: Timestamp) -> bool {
    let latest = latest_begin(spec, start);
    let listed = core.register.load().as_ref().map(|all| all.len() as f64);
    let before = held_minions(core);
    loop {
        let now = core.now();
        let held = held_minions(core);
        let step = listed.unwrap_or(before) * OFFER_STEP;
        if held > before && held >= before + step {
            return now < latest;
        }
        if !core.peers().starting(now) || now >= latest || complete(core, held) {
            return false;
        }
        tokio::time::sleep(OWNER_POLL.duration()).await;
    }
}

/// Records which part of a shard's minions this VM holds. At the first half, all
/// VMs get a heartbeat: the one about the claim reported a shard without minions,
/// which gets no jobs, and the next regular one is up to seconds later on a slow
/// link.
pub(crate) fn record_held<M>(core: &Core<M>, owned: &Owned) {
    let (held, minions) = {
        let scheduler = &owned.lock().scheduler;
        (scheduler.held_count(), scheduler.minion_count())
    };
    core.startup.reach_held(held, minions);
    if held * 2 >= minions && owned.announce() {
        core.room_found.store(true, Ordering::Relaxed);
    }
}

/// Returns the number of minions that accept work, by the last reports of all
/// owners.
fn held_minions<M>(core: &Core<M>) -> f64 {
    let now = core.now();
    let owned = core.owned.load();
    let mine = owned.values();
    let mine: u32 = mine.map(|o| o.lock().scheduler.load(now).minions).sum();
    let others: u32 = core.peers().owners().map(|(_, o)| o.load.minions).sum();
    f64::from(mine + others)
}
