//! A planned stop: shards go to other VMs with their jobs and runs.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use kernel::{Millis, Timestamp};
use ownership::Shard;

use crate::beats;
use crate::calls::{Handover, call_handover};
use crate::control::Minions;
use crate::core::{Core, lock};
use crate::drive;
use crate::owned::{Owned, Taking, Waiter};

/// The pause before a shard is offered again that no VM could take.
const OFFER_PAUSE: Duration = Duration::from_millis(100);

/// Hands over every shard of this VM. Where the domain has no other VM now, one
/// may come back while this one lingers; at the end any domain's will do.
pub(crate) async fn leave<M: Minions>(core: &Arc<Core<M>>) {
    core.peers().leave();
    let until = core.now().after(core.cfg.linger);
    loop {
        let last = core.now().after(Millis(OFFER_PAUSE.as_millis() as u64)) >= until;
        let shards: Vec<_> = core.owned.load().keys().cloned().collect();
        for shard in &shards {
            let to = core.peers().successor(shard, last, core.now());
            if let Some(to) = to {
                hand_over(core, shard, to.addr).await;
            }
        }
        if core.owned.load().is_empty() || last {
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

async fn hand_over<M: Minions>(core: &Arc<Core<M>>, shard: &Shard, to: SocketAddr) {
    let Some(owned) = core.owned(shard) else {
        return;
    };
    let now = core.now();
    let handover = {
        let mut state = owned.lock();
        if !state.live {
            return;
        }
        // From here on nothing new is started.
        state.live = false;
        state.scheduler.freeze(true);
        let from = |w: &Waiter| w.from.unwrap_or(core.cfg.peers);
        Handover {
            shard: shard.clone(),
            from: core.cfg.peers,
            state: state.scheduler.export(now),
            origins: state
                .waiters
                .iter()
                .map(|(id, w)| (id.clone(), from(w)))
                .collect(),
        }
    };
    let jobs = handover.state.jobs.len();
    match call_handover(core, to, &handover).await {
        Ok(()) => {
            log::info!(shard:% = shard, owner:% = to, jobs = jobs; "shard handed over");
            core.peers().hand_over(shard, to, core.now());
            beats::give_up(core, shard, Some(to));
        }
        Err(e) if e.maybe_done() => {
            log::warn!(shard:% = shard, owner:% = to, error:% = e; "handover not answered");
            core.peers().hand_over(shard, to, core.now());
            beats::give_up(core, shard, Some(to));
        }
        Err(e) => {
            log::warn!(shard:% = shard, owner:% = to, error:% = e; "handover failed, served on");
            if !core.peers().owns(shard) {
                // Another VM has taken it meanwhile.
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

/// Hands shards over that another VM should have.
pub(crate) fn hand_to_better<M: Minions>(core: &Arc<Core<M>>, now: Timestamp) {
    for shard in core.owned.load().keys() {
        let better = core.peers().better_owner(shard, now);
        if let Some(to) = better {
            let (core, shard) = (core.clone(), shard.clone());
            tokio::spawn(async move { hand_over(&core, &shard, to).await });
        }
    }
}

/// Takes over a shard with its jobs and runs.
pub(crate) fn accept<M: Minions>(core: &Arc<Core<M>>, handover: Handover) {
    let Handover {
        shard,
        from,
        state,
        origins,
    } = handover;
    if core.owned(&shard).is_some() {
        log::warn!(shard:% = shard, from:% = from; "handover of a shard that is ours");
        return;
    }
    log::info!(shard:% = shard, from:% = from, jobs = state.jobs.len(); "shard accepted");
    core.peers().accept(&shard);
    let now = core.now();
    let owned = Owned::new(shard.clone(), core.cfg.schedule.clone(), Taking::All);
    {
        let mut locked = owned.lock();
        let mut tokens = lock(&core.tokens);
        locked.scheduler.import(now, state, || tokens.mint());
        for (id, origin) in origins {
            let waiter = Waiter {
                tell: None,
                from: Some(origin),
                since: now,
                serial: 0,
            };
            locked.waiters.insert(id, waiter);
        }
    }
    beats::install(core, &owned);
    drive::sync_register(core, &owned);
    core.moves.send_modify(|n| *n += 1);
    let core = core.clone();
    tokio::spawn(async move { beats::announce(&core).await });
}
