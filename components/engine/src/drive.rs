//! Carries out what a scheduler decides, and drives the minions of a shard.

use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use kernel::{HashSet, MinionId};
use metrics::Count;
use ownership::shard_of;
use schedule::{
    Action, Fence, Heard, JobId, MinionInfo, NextHold, Outcome, Scheduler, StartOrder, StartReply,
    StopOrder,
};
use tokio::time::timeout;

use crate::control::{HoldReply, Minions, StopReply};
use crate::core::{Core, lock};
use crate::owned::{Ending, Owned, State, Taking};

/// The pause after the second unanswered hold in a row, there is none after the
/// first; doubled up to the next one.
const RETRY_PAUSE: Duration = Duration::from_millis(40);

/// The longest pause between holds to a minion that doesn't answer.
const RETRY_MOST: Duration = Duration::from_millis(640);

/// How often in a row a minion is taken again at once after it refused our
/// token; more often means that another VM takes it too.
const FENCE_TRIES: u32 = 12;

/// The pause after that many tries.
const FENCED_PAUSE: Duration = Duration::from_millis(300);

/// Carries out what a shard's scheduler has decided.
pub(crate) fn perform<M: Minions>(core: &Arc<Core<M>>, owned: &Arc<Owned>) {
    let mut told = Vec::new();
    let actions = {
        let mut state = owned.lock();
        let actions = state.scheduler.take_actions();
        for action in &actions {
            if let Action::Settle(id, outcome, _) = action {
                settle(&mut state, id, *outcome, core, &mut told);
            }
        }
        actions
    };
    for (tell, ending) in told {
        // It fails if the waiter is gone; the job is over all the same.
        let _ = tell.send(ending);
    }
    for action in actions {
        match action {
            Action::Start(order) => {
                tokio::spawn(start(core.clone(), owned.clone(), order));
            }
            Action::Stop(order) => {
                core.metrics.add(Count::RunStopped, 1);
                tokio::spawn(stop(core.clone(), owned.clone(), order));
            }
            Action::Settle(id, outcome, sum) => {
                log::info!(job:% = id, shard:% = owned.shard, outcome:? = outcome, tasks = sum.tasks,
                    done = sum.done, failures = sum.failures, expected_ms = sum.expected.0,
                    took_ms = sum.took.0, waited_ms = sum.waited.0; "job ended");
            }
            Action::Failed(id, task, run, kind) => {
                log::warn!(task:% = task, run = run.0, minion:% = id, kind:? = kind; "run failed");
            }
            Action::Hung(id, task, run) => {
                log::warn!(task:% = task, run = run.0, minion:% = id; "run hangs, stopped");
            }
            Action::Ejected(id, span) => {
                core.metrics.add(Count::MinionEjected, 1);
                log::warn!(minion:% = id, span_ms = span.0; "minion fails or lags, left out");
            }
        }
    }
}

type Told = Vec<(tokio::sync::oneshot::Sender<Ending>, Ending)>;

fn settle<M>(state: &mut State, id: &JobId, outcome: Outcome, core: &Core<M>, told: &mut Told) {
    let Some(waiter) = state.waiters.remove(id) else {
        return;
    };
    match waiter.tell {
        Some(tell) => told.push((tell, Ending::Ended(outcome))),
        None => {
            state.kept.insert(id.clone(), (outcome, core.now()));
        }
    }
}

/// How often a start is sent at most. A minion that has the run already says
/// so, and one that carries an order out late is past its lease time.
const START_TRIES: u32 = 4;

/// How long a start may go unanswered before it is sent again beside the first:
/// ten times the way there and back, and half of what a task of 60 ms may be
/// late.
const START_HEDGE: Duration = Duration::from_millis(30);

/// Sends a start until a minion says that it has the run, or none of the tries
/// can be answered any more.
async fn send_start<M: Minions>(minions: &M, order: &StartOrder) -> StartReply {
    let mut pending = FuturesUnordered::new();
    pending.push(minions.start(order));
    let mut sent = 1;
    let mut told: Option<StartReply> = None;
    loop {
        let reply = match sent < START_TRIES {
            true => timeout(START_HEDGE, pending.next()).await,
            false => Ok(pending.next().await),
        };
        let lost = match reply {
            Ok(Some(reply @ StartReply::Accepted(_))) => return reply,
            Ok(Some(reply)) => {
                told = Some(told.map_or(reply, |earlier| reply.after(earlier)));
                reply == StartReply::NoAnswer
            }
            Ok(None) => return told.unwrap_or(StartReply::NoAnswer),
            Err(_) => true,
        };
        if lost && sent < START_TRIES {
            pending.push(minions.start(order));
            sent += 1;
        }
    }
}

async fn start<M: Minions>(core: Arc<Core<M>>, owned: Arc<Owned>, order: StartOrder) {
    let reply = send_start(&core.minions, &order).await;
    core.metrics.add(Count::TaskSent, 1);
    if !matches!(reply, StartReply::Accepted(_)) {
        core.metrics.add(Count::StartUntaken, 1);
        log::warn!(task:% = order.task, run = order.run.0, minion:% = order.minion, reply:? = reply;
            "start not taken");
    }
    if reply == StartReply::Fenced {
        fenced(&core, &owned, &order.minion, order.fence, 0);
    }
    {
        let mut state = owned.lock();
        let now = core.now();
        let scheduler = &mut state.scheduler;
        scheduler.started(&order.minion, &order.task, order.run, reply, now);
    }
    perform(&core, &owned);
}

async fn stop<M: Minions>(core: Arc<Core<M>>, owned: Arc<Owned>, order: StopOrder) {
    match core.minions.stop(&order).await {
        StopReply::Taken(clock) => {
            let mut state = owned.lock();
            let scheduler = &mut state.scheduler;
            scheduler.stopped(&order.minion, &order.task, order.run, clock);
        }
        StopReply::Fenced => fenced(&core, &owned, &order.minion, order.fence, 0),
        StopReply::NoAnswer => {
            log::debug!(task:% = order.task, minion:% = order.minion; "stop not answered");
        }
    }
}

/// Takes note that a minion refused our token, and draws a higher one.
fn fenced<M>(core: &Core<M>, owned: &Owned, id: &MinionId, refused: Fence, tries: u32) {
    core.metrics.add(Count::MinionFenced, 1);
    let next = lock(&core.tokens).above(refused, tries);
    let now = core.now();
    let right = !core.peers().is_isolated(now);
    let (lost, minions) = {
        let mut state = owned.lock();
        let lost = state.scheduler.fenced(id, refused, next, right, now);
        let minions = match state.taking {
            Taking::All => state.scheduler.minion_count(),
            Taking::First(_) => 1,
        };
        (lost, minions)
    };
    if lost {
        log::warn!(minion:% = id, fence = refused.0; "minion taken by another VM");
        core.peers().record_loss(&owned.shard, minions, now);
    }
}

/// Brings the shard's minions in line with the register, and starts to drive
/// the new ones.
pub(crate) fn sync_register<M: Minions>(core: &Arc<Core<M>>, owned: &Arc<Owned>) {
    let register = core.register.load_full();
    let fresh: Vec<_> = {
        let mut state = owned.lock();
        if !state.live {
            return;
        }
        // Without a register there are only the minions handed over.
        if let Some(register) = register {
            update(core, owned, &mut state.scheduler, &register);
        }
        let ids = state.scheduler.minion_ids();
        let driven = &mut state.driven;
        ids.into_iter()
            .filter(|id| driven.insert(id.clone()))
            .collect()
    };
    for id in fresh {
        tokio::spawn(drive(core.clone(), owned.clone(), id));
    }
}

fn update<M>(core: &Core<M>, owned: &Owned, scheduler: &mut Scheduler, register: &[MinionInfo]) {
    let shards = core.cfg.shards;
    let ours = register
        .iter()
        .filter(|m| m.domain == owned.shard.domain)
        .filter(|m| shard_of(&m.domain, &m.id, shards) == owned.shard);
    let mut listed: HashSet<MinionId> = HashSet::default();
    for info in ours {
        listed.insert(info.id.clone());
        let fence = lock(&core.tokens).mint();
        scheduler.register(info.clone(), fence);
    }
    for id in scheduler.minion_ids() {
        if !listed.contains(&id) {
            scheduler.withdraw(&id);
        }
    }
}

/// How long a VM that seems cut off waits after it has taken a shard's first
/// minion, before it takes the rest: an owner that lives takes the first back
/// within its pause of 300 ms and a hold.
const FIRST_WAIT: Duration = Duration::from_millis(700);

/// Waits until it is the minion's turn to be taken.
async fn await_turn(owned: &Owned, id: &MinionId) {
    let first = match &mut owned.lock().taking {
        Taking::All => return,
        Taking::First(first) => first.get_or_insert_with(|| id.clone()) == id,
    };
    if !first {
        tokio::time::sleep(FIRST_WAIT).await;
        owned.lock().taking = Taking::All;
    }
}

/// Holds a minion for as long as it is in the shard.
async fn drive<M: Minions>(core: Arc<Core<M>>, owned: Arc<Owned>, id: MinionId) {
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
                owned.lock().driven.remove(&id);
                return;
            }
        };
        match core.minions.hold(&id, &order).await {
            HoldReply::Listed(list) => {
                let born = list.born;
                let now = core.now();
                let heard = owned.lock().scheduler.listed(&id, order.fence, list, now);
                if heard == Heard::Reborn {
                    let fence = lock(&core.tokens).mint();
                    log::info!(minion:% = id, born = born; "minion started anew");
                    owned.lock().scheduler.retake(&id, born, fence);
                }
                if heard == Heard::Taken {
                    log::info!(minion:% = id, fence = order.fence.0, tries = tries; "minion held");
                }
                pause = Duration::ZERO;
                tries = 0;
                perform(&core, &owned);
            }
            HoldReply::Fenced => {
                tries += 1;
                fenced(&core, &owned, &id, order.fence, tries);
                if tries > FENCE_TRIES {
                    tokio::time::sleep(FENCED_PAUSE).await;
                }
            }
            HoldReply::Reborn => {
                tokio::time::sleep(RETRY_MOST).await;
            }
            HoldReply::NoAnswer => {
                core.metrics.add(Count::HoldMissed, 1);
                if owned.lock().scheduler.hold_missed(&id, core.now()) {
                    log::warn!(minion:% = id; "minion silent");
                }
                tokio::time::sleep(pause).await;
                pause = (pause * 2).clamp(RETRY_PAUSE, RETRY_MOST);
            }
        }
    }
}
