//! Handover of shards, with their jobs and runs, to other VMs.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use kernel::{HashMap, Millis, Timestamp};
use ownership::Shard;
use schedule::{JobId, Transfer};

use crate::beats;
use crate::calls::{Handover, HandoverReply, accept_call, call_handover};
use crate::control::Minions;
use crate::core::{Core, lock};
use crate::crashes;
use crate::drive;
use crate::evacuation::{self, Evacuations};
use crate::leases::JOB_LEASE;
use crate::owned::{Owned, State, TakePolicy, Waiter};

/// Pause before a shard that no VM could take is offered again.
const OFFER_PAUSE: Duration = Duration::from_millis(100);

/// Hands over all shards of this VM at its planned stop. If a shard's domain
/// has no other VM, one may return within `linger`; at the end of that time a
/// VM of any domain is accepted.
pub(crate) async fn leave<M: Minions>(core: &Arc<Core<M>>) {
    core.peers().leave();
    let until = core.now().after(core.cfg.linger);
    loop {
        let final_round = core.now().after(Millis(OFFER_PAUSE.as_millis() as u64)) >= until;
        let shards: Vec<_> = core.owned.load().keys().cloned().collect();
        for shard in &shards {
            let to = core.peers().successor(shard, final_round, core.now());
            if let Some(to) = to {
                hand_over(core, shard, to.addr).await;
            }
        }
        if core.owned.load().is_empty() || final_round {
            break;
        }
        tokio::time::sleep(OFFER_PAUSE).await;
    }
    for shard in core.owned.load().keys() {
        log::warn!(shard:% = shard; "no VM to hand the shard to");
    }
    beats::announce(core).await;
    let left = until.since(core.now());
    tokio::time::sleep(left.duration()).await;
}

/// Hands a shard over to another VM. This VM keeps the shard if the other one has
/// certainly not accepted it.
async fn hand_over<M: Minions>(core: &Arc<Core<M>>, shard: &Shard, to: SocketAddr) {
    let Some(owned) = core.owned(shard) else {
        return;
    };
    let now = core.now();
    let Some((state, origins)) = freeze(core, &owned, now) else {
        return;
    };
    let mut handover = Handover {
        shard: shard.clone(),
        from: core.cfg.peer_addr,
        state,
        origins,
        evacuations: Evacuations::clone(&core.evacuations.load()),
        sent: core.peers().sent_at(to, now),
    };
    let jobs = handover.state.jobs.len();
    let mut reply = call_handover(core, to, &handover).await;
    if let Ok(HandoverReply::Late(clock)) = reply {
        (handover.state, handover.origins) = export(core, &owned.lock(), core.now());
        handover.sent = Some(clock);
        reply = call_handover(core, to, &handover).await;
    }
    match reply {
        Ok(HandoverReply::Accepted) => {
            log::info!(shard:% = shard, owner:% = to, jobs = jobs; "shard handed over");
            core.peers().hand_over(shard, to, core.now());
            beats::give_up(core, shard, Some(to));
        }
        Err(e) if e.maybe_done() => {
            log::warn!(shard:% = shard, owner:% = to, error:% = e; "handover request not answered");
            core.peers().hand_over(shard, to, core.now());
            beats::give_up(core, shard, Some(to));
        }
        refused => {
            let late = || "refused as sent too long ago".to_owned();
            let error = refused.err().map_or_else(late, |e| e.to_string());
            log::warn!(shard:% = shard, owner:% = to, error:% = error; "handover failed, shard kept");
            if !core.peers().owns(shard) {
                // Another VM has taken the shard in the meantime.
                beats::give_up(core, shard, None);
                return;
            }
            {
                let mut state = owned.lock();
                state.live = true;
                state.scheduler.freeze(false);
            }
            drive::sync_register(core, &owned);
        }
    }
}

/// The VM that took each job from its caller.
type Origins = Vec<(JobId, SocketAddr)>;

/// Stops starting runs on a shard and returns its state for the next owner, or
/// `None` if it is being handed over already.
fn freeze<M: Minions>(
    core: &Arc<Core<M>>,
    owned: &Owned,
    now: Timestamp,
) -> Option<(Transfer, Origins)> {
    let mut state = owned.lock();
    if !state.live {
        return None;
    }
    state.live = false;
    state.scheduler.freeze(true);
    Some(export(core, &state, now))
}

/// Returns the state of a frozen shard for its next owner.
fn export<M: Minions>(core: &Core<M>, state: &State, now: Timestamp) -> (Transfer, Origins) {
    let from = |w: &Waiter| w.from.unwrap_or(core.cfg.peer_addr);
    let origins = state.waiters.iter().map(|(id, w)| (id.clone(), from(w)));
    (state.scheduler.export(now), origins.collect())
}

/// Hands over a shard of this VM that another VM should own. It is one at a time,
/// as each changes which VM has room for the next.
pub(crate) fn hand_to_preferred<M: Minions>(core: &Arc<Core<M>>, now: Timestamp) {
    let owned = core.owned.load();
    let settled = owned.iter().filter(|(_, o)| !o.lock().moving);
    let mut better = settled.filter_map(|(shard, _)| {
        let to = core.peers().better_owner(shard, now)?;
        Some((shard.clone(), to))
    });
    if let Some((shard, to)) = better.next() {
        let core = core.clone();
        tokio::spawn(async move { hand_over(&core, &shard, to).await });
    }
}

/// Divides a shard that is too large for this VM if another VM has room for half
/// of it. This VM owns both halves until one is handed over. Jobs stay with the
/// first half; a minion moves to the second one when it runs nothing.
pub(crate) fn divide_too_large<M: Minions>(core: &Arc<Core<M>>, now: Timestamp) {
    let Some(shard) = core.peers().too_large(now) else {
        return;
    };
    let Some(first) = core.owned(&shard).filter(|o| o.lock().live) else {
        return;
    };
    let Some([kept, fresh]) = core.peers().divide(&shard) else {
        return;
    };
    log::info!(shard:% = shard, kept:% = kept, fresh:% = fresh; "shard divided");
    first.set_shard(kept.clone());
    let second = Owned::new(fresh.clone(), core.cfg.schedule.clone(), TakePolicy::All);
    beats::learn_run_times(core, &second);
    crashes::inform(core, &second);
    core.owned.rcu(|all| {
        let mut all = HashMap::clone(all);
        all.remove(&shard);
        all.insert(kept.clone(), first.clone());
        all.insert(fresh.clone(), second.clone());
        all
    });
    evacuation::enforce(core, &second);
    drive::sync_register(core, &first);
    drive::sync_register(core, &second);
    let core = core.clone();
    tokio::spawn(async move { beats::announce(&core).await });
}

/// Takes over a shard, with its jobs and runs, from its previous owner. A handover
/// that arrives late is not accepted: its sender has given the shard up, and the
/// callers of the jobs have sent them elsewhere.
pub(crate) fn accept<M: Minions>(core: &Arc<Core<M>>, handover: Handover) -> HandoverReply {
    let Handover {
        shard,
        from,
        state,
        origins,
        evacuations,
        sent,
    } = handover;
    let sent = match accept_call(core, from, &shard, sent) {
        Ok(sent) => sent,
        Err(clock) => return HandoverReply::Late(clock),
    };
    evacuation::adopt(core, &evacuations, &from.to_string());
    if core.owned_part(&shard).is_some() {
        log::warn!(shard:% = shard, from:% = from; "handover ignored: shard already owned");
        return HandoverReply::Accepted;
    }
    log::info!(shard:% = shard, from:% = from, jobs = state.jobs.len(); "shard accepted");
    core.peers().accept(&shard);
    install_transfers(core, &shard, vec![(state, origins)], sent);
    let core = core.clone();
    tokio::spawn(async move { beats::announce(&core).await });
    HandoverReply::Accepted
}

/// Begins to own a shard with the jobs and minions of its previous owners, which
/// were `sent` at this time.
fn install_transfers<M: Minions>(
    core: &Arc<Core<M>>,
    shard: &Shard,
    transfers: Vec<(Transfer, Origins)>,
    sent: Timestamp,
) {
    let now = core.now();
    let owned = Owned::new(shard.clone(), core.cfg.schedule.clone(), TakePolicy::All);
    {
        let mut locked = owned.lock();
        let mut tokens = lock(&core.tokens);
        for (state, origins) in transfers {
            let leases = state.jobs.iter();
            let leases = leases.map(|j| (j.spec.id.clone(), j.lease.unwrap_or(JOB_LEASE)));
            let leases: Vec<_> = leases.collect();
            locked.scheduler.import(now, state, || tokens.mint());
            for (id, lease) in leases {
                locked.scheduler.renew_lease(&id, sent.after(lease));
            }
            for (id, origin) in origins {
                let waiter = Waiter {
                    reply_tx: None,
                    from: Some(origin),
                    call: None,
                    since: now,
                    serial: 0,
                };
                locked.waiters.insert(id, waiter);
            }
        }
    }
    crashes::inform(core, &owned);
    beats::install(core, &owned);
    drive::sync_register(core, &owned);
}

/// Puts two halves of a shard together if this VM owns both and has room for
/// them: one queue serves jobs better than two.
pub(crate) fn unite_halves<M: Minions>(core: &Arc<Core<M>>, now: Timestamp) {
    let Some(shard) = core.peers().divided_needlessly(core.cfg.shards) else {
        return;
    };
    let halves = shard.halves();
    let owned: Vec<_> = halves.iter().filter_map(|half| core.owned(half)).collect();
    let settled = |o: &Arc<Owned>| Some(o.lock()).is_some_and(|s| s.live && !s.moving);
    if owned.len() < halves.len() || !owned.iter().all(settled) || !core.peers().unite(&shard) {
        return;
    }
    log::info!(shard:% = shard; "shard united");
    let transfers = owned.iter().filter_map(|o| freeze(core, o, now));
    install_transfers(core, &shard, transfers.collect(), now);
    for half in &halves {
        beats::give_up(core, half, Some(core.cfg.peer_addr));
    }
    let core = core.clone();
    tokio::spawn(async move { beats::announce(&core).await });
}
