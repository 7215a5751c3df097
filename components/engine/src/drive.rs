//! Carries out the actions of a shard's scheduler and holds the shard's
//! minions.

use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use kernel::{HashSet, MinionId};
use metrics::Count;
use ownership::{Shard, shard_of};
use schedule::{
    Action, Fence, HoldResult, JobId, MinionInfo, NextHold, Outcome, Scheduler, StartOrder,
    StartReply, StopOrder, Summary,
};
use tokio::time::timeout;

use crate::control::{HoldReply, Minions, StopReply};
use crate::core::{Core, lock};
use crate::crashes;
use crate::first_jobs::record_held;
use crate::owned::{Ending, Owned, State, TakePolicy};
use crate::startup::Step;

/// Pause after the second unanswered hold in a row; there is none after the
/// first. It doubles up to `MAX_RETRY_PAUSE`.
const RETRY_PAUSE: Duration = Duration::from_millis(40);

/// Longest pause between holds of a minion that does not answer.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(640);

/// Number of times in a row that a minion is taken again without a pause after
/// it has refused a token. More refusals mean that another VM takes it too.
const FENCE_RETRIES: u32 = 12;

/// Pause between tries after `FENCE_RETRIES`.
const FENCED_PAUSE: Duration = Duration::from_millis(300);

/// Logs the end of a job. `room` are the free cores of the shard that tasks of its
/// size can use.
fn log_ended(id: &JobId, shard: &Shard, outcome: Outcome, sum: Summary, room: f64) {
    let (minion, ratio) = match &sum.last_run {
        Some((minion, ratio)) => (minion.as_str(), *ratio),
        None => ("", 0.0),
    };
    let hundredths = |ratio: f64| (ratio * 100.0).round() / 100.0;
    log::info!(job:% = id, shard:% = shard, outcome:? = outcome, tasks = sum.tasks, done = sum.done,
        failures = sum.failures, expected_ms = sum.expected.0, took_ms = sum.took.0,
        waited_ms = sum.waited.0, link_ms = sum.link_delay.0, run_ratio = hundredths(sum.run_ratio),
        last_ratio = hundredths(ratio), minion = minion, room = room; "job ended");
}

/// Carries out the pending actions of a shard's scheduler.
pub(crate) fn run_actions<M: Minions>(core: &Arc<Core<M>>, owned: &Arc<Owned>) {
    let mut endings = Vec::new();
    let mut rooms = Vec::new();
    let actions = {
        let mut state = owned.lock();
        let actions = state.scheduler.take_actions();
        for action in &actions {
            if let Action::Settle(id, outcome, sum) = action {
                settle_waiter(&mut state, id, *outcome, core, &mut endings);
                rooms.push(state.scheduler.room_for(&sum.need, core.now()));
            }
        }
        actions
    };
    for (reply_tx, ending) in endings {
        // Sending fails if the waiter is gone. The job has ended in any case.
        let _ = reply_tx.send(ending);
    }
    let mut rooms = rooms.into_iter();
    for action in actions {
        match action {
            Action::Start(order) => {
                tokio::spawn(start_run(core.clone(), owned.clone(), order));
            }
            Action::Stop(order) => {
                core.metrics.add(Count::RunStopped, 1);
                tokio::spawn(stop_run(core.clone(), owned.clone(), order));
            }
            Action::Settle(id, outcome, sum) => {
                let room = rooms.next().unwrap_or(0.0);
                log_ended(&id, &owned.shard(), outcome, sum, room);
            }
            Action::Failed(id, task, run, kind) => {
                log::warn!(task:% = task, run = run.0, minion:% = id, kind:? = kind; "run failed");
            }
            Action::Lost(loss) => {
                core.metrics.add(Count::RunLost, 1);
                log::warn!(task:% = loss.task, run = loss.run.0, minion:% = loss.minion,
                    shard:% = owned.shard(), born = loss.born, beside = loss.beside,
                    cause:? = loss.cause; "run lost with its minion");
            }
            Action::Crash(record) => crashes::publish(core, owned, record),
            Action::GivenUp(task) => {
                core.metrics.add(Count::TaskGivenUp, 1);
                log::warn!(task:% = task, shard:% = owned.shard(); "task given up: minions crashed under it");
            }
            Action::Hung(id, task, run) => {
                log::warn!(task:% = task, run = run.0, minion:% = id; "hung run stopped");
            }
            Action::SpeedsCompared { uneven, contrast } => {
                log::info!(shard:% = owned.shard(), uneven = uneven, contrast = contrast;
                    "speeds of the kinds of minions compared");
            }
            Action::Ejected(id, span) => {
                core.metrics.add(Count::MinionEjected, 1);
                log::warn!(minion:% = id, span_ms = span.0; "minion ejected: failing or slow");
            }
        }
    }
}

/// Endings of jobs that are sent once the state is unlocked.
type Endings = Vec<(tokio::sync::oneshot::Sender<Ending>, Ending)>;

/// Adds the ending of a job to `endings` if somebody waits for it, and keeps
/// its outcome if it was handed over and has not been claimed yet.
fn settle_waiter<M>(
    state: &mut State,
    id: &JobId,
    outcome: Outcome,
    core: &Core<M>,
    endings: &mut Endings,
) {
    let Some(waiter) = state.waiters.remove(id) else {
        return;
    };
    match waiter.reply_tx {
        Some(reply_tx) => endings.push((reply_tx, Ending::Ended(outcome))),
        None => {
            state.unclaimed.insert(id.clone(), (outcome, core.now()));
        }
    }
}

/// Maximum number of times that a start order is sent. Resending starts no run
/// twice: a minion that has the run already reports that, and an order that
/// arrives late is past its lease time.
const START_ATTEMPTS: u32 = 4;

/// Time without an answer after which a start order is resent while the first
/// is still pending: ten round trips, and half of the time by which a task of
/// 60 ms may be late.
const HEDGE_DELAY: Duration = Duration::from_millis(30);

/// Size of a start order without its payload, in bytes.
const ORDER_BYTES: usize = 400;

/// Sends a start order until the minion accepts it or all attempts have failed.
/// An order that still waits in this VM's link is not resent: that would only
/// lengthen the queue.
async fn send_start<M: Minions>(core: &Core<M>, order: &StartOrder) -> StartReply {
    let (minions, link) = (&core.minions, &core.cfg.link);
    let size = ORDER_BYTES + order.payload.len();
    let mut delay = link.pace(size).await;
    let mut pending = FuturesUnordered::new();
    pending.push(minions.start(order));
    let mut sent = 1;
    let mut refusal: Option<StartReply> = None;
    loop {
        let reply = match sent < START_ATTEMPTS {
            true => timeout(HEDGE_DELAY + delay, pending.next()).await,
            false => Ok(pending.next().await),
        };
        let unanswered = match reply {
            Ok(Some(reply @ StartReply::Accepted(_))) => return reply,
            Ok(Some(reply)) => {
                refusal = Some(refusal.map_or(reply, |earlier| reply.after(earlier)));
                reply == StartReply::NoAnswer
            }
            Ok(None) => return refusal.unwrap_or(StartReply::NoAnswer),
            Err(_) => true,
        };
        if unanswered && sent < START_ATTEMPTS {
            delay = link.pace(size).await;
            pending.push(minions.start(order));
            sent += 1;
        }
    }
}

/// Sends a start order and passes the result to the scheduler.
async fn start_run<M: Minions>(core: Arc<Core<M>>, owned: Arc<Owned>, order: StartOrder) {
    let reply = send_start(&core, &order).await;
    core.metrics.add(Count::TaskSent, 1);
    if matches!(reply, StartReply::Accepted(_)) {
        core.startup.reach(Step::Start);
    } else {
        core.metrics.add(Count::StartUntaken, 1);
        log::warn!(task:% = order.task, run = order.run.0, minion:% = order.minion, reply:? = reply;
            "start order not accepted");
    }
    if reply == StartReply::Fenced {
        on_fenced(&core, &owned, &order.minion, order.fence, 0);
    }
    {
        let mut state = owned.lock();
        let now = core.now();
        let scheduler = &mut state.scheduler;
        scheduler.started(&order.minion, &order.task, order.run, reply, now);
    }
    run_actions(&core, &owned);
}

/// Sends a stop order and passes the result to the scheduler.
async fn stop_run<M: Minions>(core: Arc<Core<M>>, owned: Arc<Owned>, order: StopOrder) {
    match core.minions.stop(&order).await {
        StopReply::Accepted(clock) => {
            let mut state = owned.lock();
            let scheduler = &mut state.scheduler;
            scheduler.stopped(&order.minion, &order.task, order.run, clock, core.now());
        }
        StopReply::Fenced => on_fenced(&core, &owned, &order.minion, order.fence, 0),
        StopReply::NoAnswer => {
            log::debug!(task:% = order.task, minion:% = order.minion; "stop order not answered");
        }
    }
}

/// Handles a minion's refusal of a token: the scheduler gets a higher one.
fn on_fenced<M>(core: &Core<M>, owned: &Owned, id: &MinionId, refused: Fence, tries: u32) {
    core.metrics.add(Count::MinionFenced, 1);
    let next = lock(&core.tokens).above(refused, tries);
    let now = core.now();
    let rightful = !core.peers().is_isolated(now);
    let (taken, minions) = {
        let mut state = owned.lock();
        let taken = state.scheduler.fenced(id, refused, next, rightful, now);
        let minions = match state.take_policy {
            TakePolicy::All => state.scheduler.minion_count(),
            TakePolicy::First(_) => 1,
        };
        (taken, minions)
    };
    if taken {
        log::warn!(minion:% = id, fence = refused.0; "minion taken by another VM");
        core.peers().record_loss(&owned.shard(), minions, now);
    }
}

/// Brings the shard's minions in line with the register, and starts a hold loop
/// for each new one.
pub(crate) fn sync_register<M: Minions>(core: &Arc<Core<M>>, owned: &Arc<Owned>) {
    let register = core.register.load_full();
    let elsewhere = minions_elsewhere(core, owned);
    let fresh: Vec<_> = {
        let mut state = owned.lock();
        if !state.live {
            return;
        }
        // Without a register the shard has only the minions that were handed
        // over.
        if let Some(register) = register {
            state.moving = update_minions(core, owned, &mut state.scheduler, &register, &elsewhere);
        }
        let ids = state.scheduler.minion_ids();
        let hold_loops = &mut state.hold_loops;
        ids.into_iter()
            .filter(|id| hold_loops.insert(id.clone()))
            .collect()
    };
    for id in fresh {
        tokio::spawn(hold_minion(core.clone(), owned.clone(), id));
    }
}

/// Returns the minions in the schedulers of this VM's other shards of the domain.
fn minions_elsewhere<M>(core: &Core<M>, owned: &Arc<Owned>) -> HashSet<MinionId> {
    let domain = &owned.shard().domain;
    let all = core.owned.load();
    let others = all
        .iter()
        .filter(|(s, o)| s.domain == *domain && !Arc::ptr_eq(o, owned));
    others
        .flat_map(|(_, o)| o.lock().scheduler.minion_ids())
        .collect()
}

/// Registers the shard's minions with its scheduler and withdraws the others. A
/// minion that is still `elsewhere`, in another shard of this VM, is left there
/// until it runs nothing. Returns whether minions are still to come or to go.
fn update_minions<M>(
    core: &Core<M>,
    owned: &Owned,
    scheduler: &mut Scheduler,
    register: &[MinionInfo],
    elsewhere: &HashSet<MinionId>,
) -> bool {
    let shard = owned.shard();
    let ours = register
        .iter()
        .filter(|m| m.domain == shard.domain)
        .filter(|m| shard_of(&m.domain, &m.id, shard.count) == *shard);
    let mut moving = false;
    let mut listed: HashSet<MinionId> = HashSet::default();
    for info in ours {
        listed.insert(info.id.clone());
        if elsewhere.contains(&info.id) {
            moving = true;
            continue;
        }
        let fence = lock(&core.tokens).mint();
        scheduler.register(info.clone(), fence);
    }
    for id in scheduler.minion_ids() {
        if !listed.contains(&id) {
            moving |= !scheduler.withdraw(&id);
        }
    }
    moving
}

/// Time that a VM that seems isolated waits after it has taken a shard's first
/// minion, before it takes the others. A live owner takes the first one back
/// within its pause of 300 ms and a hold.
const FIRST_WAIT: Duration = Duration::from_millis(700);

/// Waits until the shard's [`TakePolicy`] allows the minion to be taken.
async fn await_turn(owned: &Owned, id: &MinionId) {
    let first = match &mut owned.lock().take_policy {
        TakePolicy::All => return,
        TakePolicy::First(first) => first.get_or_insert_with(|| id.clone()) == id,
    };
    if !first {
        tokio::time::sleep(FIRST_WAIT).await;
        owned.lock().take_policy = TakePolicy::All;
    }
}

/// Holds a minion until the scheduler has withdrawn it.
async fn hold_minion<M: Minions>(core: Arc<Core<M>>, owned: Arc<Owned>, id: MinionId) {
    await_turn(&owned, &id).await;
    let mut pause = Duration::ZERO;
    let mut tries = 0;
    loop {
        let next = owned.lock().scheduler.hold(&id, core.now());
        let order = match next {
            Some(NextHold::Send(order)) => order,
            Some(NextHold::Pause(pause)) => {
                tokio::time::sleep(pause.duration()).await;
                continue;
            }
            None => {
                owned.lock().hold_loops.remove(&id);
                return;
            }
        };
        core.metrics.add(Count::HoldSent, 1);
        match core.minions.hold(&id, &order).await {
            HoldReply::Listed(list) => {
                let born = list.born;
                let now = core.now();
                let status = owned.lock().scheduler.listed(&id, order.fence, list, now);
                if status == HoldResult::Restarted {
                    let fence = lock(&core.tokens).mint();
                    log::info!(minion:% = id, born = born; "minion restarted");
                    owned.lock().scheduler.restarted(&id, born, fence);
                }
                if status == HoldResult::Taken {
                    log::info!(minion:% = id, fence = order.fence.0, tries = tries; "minion held");
                    record_held(&core, &owned);
                }
                pause = Duration::ZERO;
                tries = 0;
                run_actions(&core, &owned);
            }
            HoldReply::Fenced => {
                tries += 1;
                on_fenced(&core, &owned, &id, order.fence, tries);
                if tries > FENCE_RETRIES {
                    tokio::time::sleep(FENCED_PAUSE).await;
                }
            }
            HoldReply::Restarted => {
                tokio::time::sleep(MAX_RETRY_PAUSE).await;
            }
            HoldReply::NoAnswer => {
                core.metrics.add(Count::HoldMissed, 1);
                if owned.lock().scheduler.hold_missed(&id, core.now()) {
                    log::warn!(minion:% = id; "minion does not answer");
                }
                tokio::time::sleep(pause).await;
                pause = (pause * 2).clamp(RETRY_PAUSE, MAX_RETRY_PAUSE);
            }
        }
    }
}
