//! Beats between VMs, and what follows from them.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::Ordering;

use kernel::{HashMap, Timestamp};
use metrics::{Count, Gauge};
use ownership::{Change, Claim, Heartbeat, Report, Shard};
use wire::{decode, encode};

use crate::calls::{call_configuration, call_register};
use crate::control::Minions;
use crate::core::{Core, lock};
use crate::drive;
use crate::handover;
use crate::owned::{Ending, Owned, Taking};

/// The largest beat in bytes, within one Ethernet frame's worth of fragments.
const BEAT_SIZE: usize = 8 << 10;

/// How many addresses a beat passes on.
const KNOWN_MOST: usize = 32;

/// How long a job that was handed over is kept without its caller's VM asking
/// for it.
const UNCLAIMED_MS: u64 = 500;

/// Receives beats for ever.
pub(crate) async fn receive<M: Minions>(core: Arc<Core<M>>) {
    let mut buffer = vec![0; BEAT_SIZE];
    loop {
        let size = match core.socket.recv_from(&mut buffer).await {
            Ok((size, _)) => size,
            Err(e) => {
                // Another host's refusal of an earlier datagram.
                log::debug!(error:% = e; "no beat received");
                continue;
            }
        };
        let beat = match decode::<Heartbeat>(&buffer[..size]) {
            Ok(beat) => beat,
            Err(e) => {
                log::warn!(error:% = e; "beat not understood");
                continue;
            }
        };
        let new = core.peers().is_new(&beat.from);
        let from = beat.from.addr;
        let changes = core.peers().receive(beat, core.now());
        apply(&core, changes);
        if new && from != core.cfg.peers {
            answer(&core, from).await;
        }
    }
}

/// Beats back to a VM that is new, so that it needs not wait for its turn.
async fn answer<M>(core: &Core<M>, to: SocketAddr) {
    if let IpAddr::V4(ip) = to.ip() {
        let beat = own_beat(core, false, core.now());
        send_to(core, &beat, &[ip]).await;
    }
}

/// Sends beats and does what time asks for, for ever.
pub(crate) async fn run<M: Minions>(core: Arc<Core<M>>) {
    let mut ticks = tokio::time::interval(core.cfg.tick.duration());
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut beat = Timestamp(0);
    let mut idle = Timestamp(0);
    loop {
        ticks.tick().await;
        let now = core.now();
        let shards = shards(&core);
        let changes = core.peers().tick(&shards, now);
        let urgent = !changes.is_empty();
        apply(&core, changes);
        for owned in core.owned.load().values() {
            look_after(&core, owned, now);
        }
        if !urgent && now.since(beat) < core.cfg.ownership.heartbeat_interval {
            continue;
        }
        beat = now;
        let all = now.since(idle) >= core.cfg.ownership.idle_interval;
        if all {
            idle = now;
            levels(&core, now);
            pull_configuration(&core, now);
            pull_register(&core, now);
            if !stopping(&core) {
                handover::hand_to_better(&core, now);
            }
        }
        send(&core, all, now).await;
    }
}

/// Sets the levels of what this VM owns.
fn levels<M>(core: &Core<M>, now: Timestamp) {
    let owned = core.owned.load();
    let loads = owned.values().map(|o| o.lock().scheduler.load(now));
    let loads: Vec<_> = loads.collect();
    let metrics = &core.metrics;
    metrics.set(Gauge::ShardsOwned, loads.len() as u64);
    let minions: u32 = loads.iter().map(|l| l.minions).sum();
    metrics.set(Gauge::MinionsHeld, u64::from(minions));
    let free: f64 = loads.iter().map(|l| l.free).sum();
    metrics.set(Gauge::CoresFree, free as u64);
    metrics.set(Gauge::PeersLive, core.peers().alive(now).count() as u64);
}

/// Returns all shards of the site.
fn shards<M>(core: &Core<M>) -> Vec<Shard> {
    let indices = 0..core.cfg.shards;
    let all = core.cfg.domains.iter().flat_map(|domain| {
        indices.clone().map(|index| Shard {
            domain: domain.clone(),
            index,
        })
    });
    all.collect()
}

/// Ends jobs whose VM is gone, and lets the scheduler do what time asks for.
fn look_after<M: Minions>(core: &Arc<Core<M>>, owned: &Arc<Owned>, now: Timestamp) {
    let gone: Vec<_> = {
        let peers = core.peers();
        let state = owned.lock();
        let orphan = |w: &crate::owned::Waiter| match (&w.tell, w.from) {
            (None, _) => now.since(w.since).0 > UNCLAIMED_MS,
            (Some(_), Some(from)) => !peers.within_timeout(from, now),
            (Some(_), None) => false,
        };
        let gone = state.waiters.iter().filter(|(_, w)| orphan(w));
        gone.map(|(id, _)| id.clone()).collect()
    };
    {
        let mut state = owned.lock();
        for id in gone {
            log::warn!(job:% = id, shard:% = owned.shard; "VM of the caller not heard, job cancelled");
            state.waiters.remove(&id);
            state.scheduler.cancel(&id, now);
        }
        state
            .kept
            .retain(|_, (_, since)| now.since(*since).0 <= UNCLAIMED_MS);
        state.scheduler.tick(now);
    }
    drive::perform(core, owned);
}

/// Carries out changes in who owns what.
pub(crate) fn apply<M: Minions>(core: &Arc<Core<M>>, changes: Vec<Change>) {
    if changes.is_empty() {
        return;
    }
    for change in changes {
        match change {
            Change::Taken(shard, epoch) => {
                log::info!(shard:% = shard, epoch = epoch.0; "shard taken");
                take(core, &shard);
            }
            Change::Yielded(shard, to) => {
                log::warn!(shard:% = shard, owner:% = to; "shard yielded to another VM");
                // The beat of a VM that accepts a handover may come before its
                // answer, which ends the handover.
                let handing = core.owned(&shard).is_some_and(|o| !o.lock().live);
                if !handing {
                    give_up(core, &shard, None);
                }
            }
            Change::Contested(shard) => {
                log::warn!(shard:% = shard; "cut off, shard left to the VM that its minions obey");
                give_up(core, &shard, None);
            }
            Change::NewOwner(shard, addr) => {
                log::info!(shard:% = shard, owner:% = addr; "shard has an owner");
            }
            Change::OwnerLost(shard, addr) => {
                log::warn!(shard:% = shard, owner:% = addr; "owner of a shard not heard");
            }
        }
    }
    core.moves.send_modify(|n| *n += 1);
}

/// Starts to own a shard.
pub(crate) fn take<M: Minions>(core: &Arc<Core<M>>, shard: &Shard) -> Arc<Owned> {
    let taking = match core.peers().is_isolated(core.now()) {
        true => Taking::First(None),
        false => Taking::All,
    };
    let owned = Owned::new(shard.clone(), core.cfg.schedule.clone(), taking);
    install(core, &owned);
    drive::sync_register(core, &owned);
    owned
}

/// Adds a shard to those that this VM owns.
pub(crate) fn install<M>(core: &Core<M>, owned: &Arc<Owned>) {
    core.metrics.add(Count::ShardTaken, 1);
    core.owned.rcu(|all| {
        let mut all = HashMap::clone(all);
        all.insert(owned.shard.clone(), owned.clone());
        all
    });
}

/// Stops to own a shard. Its jobs end, or go on at the VM that took it over.
pub(crate) fn give_up<M: Minions>(core: &Arc<Core<M>>, shard: &Shard, to: Option<SocketAddr>) {
    let Some(owned) = core.owned(shard) else {
        return;
    };
    core.metrics.add(Count::ShardYielded, 1);
    core.owned.rcu(|all| {
        let mut all = HashMap::clone(all);
        all.remove(shard);
        all
    });
    let waiters = {
        let mut state = owned.lock();
        state.live = false;
        match to {
            Some(_) => std::mem::take(&mut state.waiters),
            None => HashMap::default(),
        }
    };
    if let Some(to) = to {
        for waiter in waiters.into_values() {
            if let Some(tell) = waiter.tell {
                // It fails if the caller is gone, which the next owner notices.
                let _ = tell.send(Ending::Moved(to));
            }
        }
    }
    owned.lock().scheduler.abandon(core.now());
    drive::perform(core, &owned);
}

/// Returns this VM's beat.
fn own_beat<M>(core: &Core<M>, all: bool, now: Timestamp) -> Heartbeat {
    let peers = core.peers();
    let reports = peers.claims();
    let reports = reports.map(|(shard, claim)| report(core, shard, *claim, now));
    let known = match all {
        true => peers.addrs().take(KNOWN_MOST).collect(),
        false => Vec::new(),
    };
    Heartbeat {
        from: peers.me().clone(),
        version: core.version(),
        reports: reports.collect(),
        known,
    }
}

/// Sends this VM's beat to all others, or only to those that need it often.
async fn send<M>(core: &Core<M>, all: bool, now: Timestamp) {
    let beat = own_beat(core, all, now);
    let targets: Vec<_> = match all || !beat.reports.is_empty() {
        true => core.peers().addrs().collect(),
        false => busy(core),
    };
    send_to(core, &beat, &targets).await;
}

async fn send_to<M>(core: &Core<M>, beat: &Heartbeat, targets: &[Ipv4Addr]) {
    let bytes = match encode(beat) {
        Ok(bytes) => bytes,
        Err(e) => {
            log::error!(error:% = e; "beat can't be written");
            return;
        }
    };
    for addr in targets {
        let to = SocketAddr::from((*addr, core.cfg.beats));
        if let Err(e) = core.socket.send_to(&bytes, to).await {
            log::debug!(to:% = to, error:% = e; "beat not sent");
        }
    }
}

/// Returns the VMs that run jobs for us.
fn busy<M>(core: &Core<M>) -> Vec<Ipv4Addr> {
    let away = lock(&core.away);
    let ips = away.keys().filter_map(|addr| match addr.ip() {
        IpAddr::V4(ip) => Some(ip),
        IpAddr::V6(_) => None,
    });
    ips.collect()
}

fn report<M>(core: &Core<M>, shard: &Shard, claim: Claim, now: Timestamp) -> Report {
    let load = core.owned(shard).map(|o| o.lock().scheduler.load(now));
    Report {
        shard: shard.clone(),
        claim,
        load: load.unwrap_or_default(),
    }
}

/// Asks a VM that has a later configuration for it, which reaches VMs that are
/// cut off from the store.
fn pull_configuration<M: Minions>(core: &Arc<Core<M>>, now: Timestamp) {
    let Some(from) = core.peers().latest_config(core.version(), now) else {
        return;
    };
    let core = core.clone();
    tokio::spawn(async move {
        match call_configuration(&core, from).await {
            Ok(Some(configuration)) => {
                crate::engine::configure(&core, configuration);
            }
            Ok(None) => {}
            Err(e) => log::info!(from:% = from, error:% = e; "configuration not read from a VM"),
        }
    });
}

/// Asks another VM for the register while the store has not told it.
fn pull_register<M: Minions>(core: &Arc<Core<M>>, now: Timestamp) {
    if core.register.load().is_some() {
        return;
    }
    let from = {
        let peers = core.peers();
        let owner = peers.owners().map(|(_, o)| o.claim.addr).next();
        // Owners always have one.
        owner.or_else(|| peers.first_alive(now))
    };
    let Some(from) = from else {
        return;
    };
    let core = core.clone();
    tokio::spawn(async move {
        match call_register(&core, from).await {
            Ok(Some(minions)) => {
                log::info!(from:% = from, minions = minions.len(); "register read from a VM");
                crate::engine::register_first(&core, minions);
            }
            Ok(None) => {}
            Err(e) => log::info!(from:% = from, error:% = e; "register not read from a VM"),
        }
    });
}

/// Tells all VMs at once that this one leaves or owns something else.
pub(crate) async fn announce<M>(core: &Core<M>) {
    send(core, true, core.now()).await;
}

/// Returns true once the VM stops.
pub(crate) fn stopping<M>(core: &Core<M>) -> bool {
    core.stopping.load(Ordering::Relaxed)
}
