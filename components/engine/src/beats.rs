//! Sends and receives heartbeats and applies the resulting changes of
//! ownership.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::Ordering;

use kernel::{HashMap, Timestamp};
use metrics::{Count, Gauge};
use ownership::{Change, Claim, Heartbeat, Report, Shard, VmInfo};
use rand::seq::IteratorRandom;
use schedule::{EvidenceReport, REPORTED_PAIRS};
use wire::{decode, encode};

use crate::control::Minions;
use crate::core::{Core, lock};
use crate::crashes;
use crate::drive;
use crate::evacuation;
use crate::first_reads::{await_register, pull_register, read_configuration};
use crate::handover;
use crate::leases::{self, JOB_LEASE};
use crate::owned::{Ending, Owned, TakePolicy};
use crate::startup::Step;
use crate::timetable::{Timetable, broadcast_interval};
use crate::traffic::Meter;

/// Maximum size of a heartbeat in bytes: a few fragments of one Ethernet frame
/// each.
pub(crate) const MAX_HEARTBEAT: usize = 16 << 10;

/// Number of addresses of other VMs in a heartbeat to a new VM.
pub(crate) const MAX_KNOWN: usize = 32;

/// Number of addresses of other VMs in a heartbeat to all.
pub(crate) const REGULAR_KNOWN: usize = 4;

/// Receives heartbeats until the runtime ends.
pub(crate) async fn receive<M: Minions>(core: Arc<Core<M>>) {
    let mut buffer = vec![0; MAX_HEARTBEAT];
    loop {
        let size = match core.socket.recv_from(&mut buffer).await {
            Ok((size, _)) => size,
            Err(e) => {
                // Another host has rejected an earlier datagram.
                log::debug!(error:% = e; "receiving a heartbeat failed");
                continue;
            }
        };
        core.metrics.add(Count::HeartbeatReceived, 1);
        core.metrics.add(Count::HeartbeatBytesIn, size as u64);
        let mut heartbeat = match decode::<Heartbeat>(&buffer[..size]) {
            Ok(heartbeat) => heartbeat,
            Err(e) => {
                log::warn!(error:% = e; "heartbeat could not be decoded");
                continue;
            }
        };
        let new = core.peers().is_new(&heartbeat.from);
        let from = heartbeat.from.clone();
        if from.addr != core.cfg.peer_addr {
            core.startup.reach(Step::Heartbeat);
        }
        let evidence = std::mem::take(&mut heartbeat.evidence);
        let recorded = lock(&core.evidence).record(from.addr, evidence, core.now());
        if let Err(e) = recorded {
            core.metrics.add(Count::EvidenceRefused, 1);
            log::warn!(from:% = from.addr, error:% = e; "reported run times refused");
        }
        crashes::learn(&core, &heartbeat.crashes);
        if let Some(calls) = heartbeat.calls.take() {
            leases::renew(&core, &from, &calls);
        }
        let changes = core.peers().receive(heartbeat, core.now());
        apply_changes(&core, changes);
        if new && from.addr != core.cfg.peer_addr {
            answer_new(&core, &from).await;
        }
    }
}

/// Sends a heartbeat to a new VM at once, so that it need not wait for the next
/// regular one. It also reports owners that this VM knows, so that a new VM learns
/// from any running one that shards have owners.
async fn answer_new<M>(core: &Core<M>, to: &VmInfo) {
    if let IpAddr::V4(ip) = to.addr.ip() {
        let now = core.now();
        let mut heartbeat = own_heartbeat(core, MAX_KNOWN, now);
        heartbeat.reports.extend(core.peers().relayed_reports(to));
        send_to(core, &heartbeat, &[ip]).await;
    }
}

/// Sends heartbeats and does all periodic work until the runtime ends.
pub(crate) async fn run<M: Minions>(core: Arc<Core<M>>) {
    let mut ticks = tokio::time::interval(core.cfg.tick.duration());
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut timetable = Timetable::default();
    let mut last_periodic = Timestamp(0);
    let mut meter = Meter::default();
    loop {
        ticks.tick().await;
        let now = core.now();
        core.ticks.record(now);
        let shards = all_shards(&core, now);
        let changes = core.peers().tick(&shards, now);
        let found = core.room_found.swap(false, Ordering::Relaxed);
        let urgent = found || changes.iter().any(Change::is_own);
        apply_changes(&core, changes);
        for owned in core.owned.load().values() {
            tick_shard(&core, owned, now);
        }
        if now.since(last_periodic) >= core.cfg.ownership.idle_interval {
            last_periodic = now;
            set_gauges(&core, now);
            evacuation::set_gauges(&core);
            crashes::maintain(&core, now);
            meter.update(&core, now);
            pull_configuration(&core, now);
            pull_register(&core, now);
            evacuation::pull(&core, now);
            report_held(&core);
            core.peers().set_link_busy(core.cfg.link.is_busy());
            if !stopping(&core) {
                handover::hand_to_preferred(&core, now);
                handover::divide_too_large(&core, now);
                handover::unite_halves(&core, now);
            }
            for owned in core.owned.load().values().filter(|o| o.lock().moving) {
                drive::sync_register(&core, owned);
            }
        }
        timetable.send(&core, urgent, now).await;
    }
}

/// Updates the number of minions that this VM holds in each of its shards.
fn report_held<M>(core: &Core<M>) {
    for (shard, owned) in core.owned.load().iter() {
        let held = owned.lock().scheduler.held_count();
        core.peers().set_held(shard, held as u32);
    }
}

/// Sets the gauges of owned shards, minions, free cores and live VMs.
fn set_gauges<M>(core: &Core<M>, now: Timestamp) {
    let owned = core.owned.load();
    let loads = owned.values().map(|o| o.lock().scheduler.load(now));
    let loads: Vec<_> = loads.collect();
    let metrics = &core.metrics;
    metrics.set(Gauge::ShardsOwned, loads.len() as u64);
    let minions: u32 = loads.iter().map(|l| l.minions).sum();
    metrics.set(Gauge::MinionsHeld, u64::from(minions));
    let free: f64 = loads.iter().map(|l| l.free).sum();
    metrics.set(Gauge::CoresFree, free as u64);
    let contrasts = owned.values();
    let contrasts = contrasts.filter_map(|o| o.lock().scheduler.speed_contrast());
    let contrasts: Vec<_> = contrasts.collect();
    metrics.set(Gauge::ShardsUneven, contrasts.len() as u64);
    let contrast = contrasts.into_iter().fold(1.0, f64::max);
    metrics.set(Gauge::SpeedContrast, (contrast * 100.0) as u64);
    metrics.set(Gauge::PeersLive, core.peers().alive(now).count() as u64);
}

/// Returns all shards of the site. Returns none while this VM has no register,
/// from which the division of the minions follows.
fn all_shards<M>(core: &Core<M>, now: Timestamp) -> Vec<Shard> {
    if core.register.load().is_none() {
        return Vec::new();
    }
    let peers = core.peers();
    let domains = core.cfg.domains.iter();
    domains
        .flat_map(|domain| peers.shards(domain, core.cfg.shards, now))
        .collect()
}

/// Cancels the jobs of an owned shard that nobody waits for any more, and lets
/// its scheduler apply timeouts.
fn tick_shard<M: Minions>(core: &Arc<Core<M>>, owned: &Arc<Owned>, now: Timestamp) {
    evacuation::enforce(core, owned);
    leases::cancel_orphaned(core, owned, now);
    {
        let mut state = owned.lock();
        state
            .scheduler
            .set_link(core.link_delay(), core.cfg.link.is_busy());
        state
            .unclaimed
            .retain(|_, (_, since)| now.since(*since) <= JOB_LEASE);
        state.scheduler.tick(now);
    }
    drive::run_actions(core, owned);
}

/// Carries out changes of ownership.
pub(crate) fn apply_changes<M: Minions>(core: &Arc<Core<M>>, changes: Vec<Change>) {
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
                // The heartbeat of a VM that accepts a handover may arrive
                // before its answer, which completes the handover.
                let in_handover = core.owned(&shard).is_some_and(|o| !o.lock().live);
                if !in_handover {
                    give_up(core, &shard, None);
                }
            }
            Change::Contested(shard) => {
                log::warn!(shard:% = shard; "isolated: shard yielded to the VM that its minions obey");
                give_up(core, &shard, None);
            }
            Change::NewOwner(shard, addr) => {
                log::info!(shard:% = shard, owner:% = addr; "shard has a new owner");
                core.startup.reach(Step::Owner);
            }
            Change::OwnerLost(shard, addr) => {
                log::warn!(shard:% = shard, owner:% = addr; "no heartbeat from the owner of a shard");
            }
        }
    }
}

/// Begins to own a shard.
pub(crate) fn take<M: Minions>(core: &Arc<Core<M>>, shard: &Shard) -> Arc<Owned> {
    let take_policy = match core.peers().is_isolated(core.now()) {
        true => TakePolicy::First(None),
        false => TakePolicy::All,
    };
    let owned = Owned::new(shard.clone(), core.cfg.schedule.clone(), take_policy);
    learn_run_times(core, &owned);
    crashes::inform(core, &owned);
    install(core, &owned);
    await_register(core, &owned);
    drive::sync_register(core, &owned);
    owned
}

/// Gives a new owner's scheduler the run times that this VM and other owners have
/// observed.
pub(crate) fn learn_run_times<M>(core: &Core<M>, owned: &Owned) {
    let now = core.now();
    let mut reports = lock(&core.evidence).current(now);
    let own = core.owned.load();
    reports.extend(
        own.values()
            .map(|o| o.lock().scheduler.evidence_report(now)),
    );
    let pairs: usize = reports.iter().map(|r| r.pairs.len()).sum();
    if pairs > 0 {
        log::info!(shard:% = owned.shard(), reports = reports.len(), pairs = pairs;
            "run times of other owners adopted");
    }
    let mut state = owned.lock();
    for report in &reports {
        state.scheduler.learn_report(report, now);
    }
}

/// Returns the run times that this VM has observed, for other VMs.
pub(crate) fn own_evidence<M>(core: &Core<M>, now: Timestamp) -> EvidenceReport {
    let owned = core.owned.load();
    let reports = owned
        .values()
        .map(|o| o.lock().scheduler.evidence_report(now));
    EvidenceReport::sum(reports, REPORTED_PAIRS, now)
}

/// Adds a shard to those that this VM owns.
pub(crate) fn install<M: Minions>(core: &Arc<Core<M>>, owned: &Arc<Owned>) {
    core.metrics.add(Count::ShardTaken, 1);
    core.startup.reach(Step::Shard);
    core.owned.rcu(|all| {
        let mut all = HashMap::clone(all);
        all.insert(Shard::clone(&owned.shard()), owned.clone());
        all
    });
    evacuation::enforce(core, owned);
}

/// Ends the ownership of a shard. Its jobs continue on `to`, the VM that took
/// it over, or are lost if there is none.
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
            if let Some(reply_tx) = waiter.reply_tx {
                // Sending fails if the caller has disconnected, which the next
                // owner detects.
                let _ = reply_tx.send(Ending::Moved(to));
            }
        }
    }
    owned.lock().scheduler.abandon(core.now());
    drive::run_actions(core, &owned);
}

/// Returns this VM's heartbeat with the addresses of at most `known` other VMs,
/// chosen at random. It announces the longer of the intervals.
pub(crate) fn own_heartbeat<M>(core: &Core<M>, known: usize, now: Timestamp) -> Heartbeat {
    let peers = core.peers();
    let reports = peers.claims();
    let reports = reports.map(|(shard, claim)| report(core, shard, *claim, now));
    Heartbeat {
        from: peers.me().clone(),
        interval: core.cfg.ownership.idle_interval,
        version: core.version(),
        reports: reports.collect(),
        known: peers.addrs().choose_multiple(&mut rand::rng(), known),
        evacuations: core.evacuations.load().as_of(),
        evidence: EvidenceReport::default(),
        register: core.register_read().end,
        crashes: Vec::new(),
        sent: now,
        calls: None,
    }
}

pub(crate) async fn send_to<M>(core: &Core<M>, heartbeat: &Heartbeat, targets: &[Ipv4Addr]) {
    let bytes = match encode(heartbeat) {
        Ok(bytes) => bytes,
        Err(e) => {
            log::error!(error:% = e; "heartbeat could not be encoded");
            return;
        }
    };
    core.metrics.add(Count::HeartbeatSent, targets.len() as u64);
    let size = bytes.len() * targets.len();
    core.metrics.add(Count::HeartbeatBytes, size as u64);
    for addr in targets {
        core.cfg.link.reserve(bytes.len());
        let to = SocketAddr::from((*addr, core.cfg.heartbeat_port));
        if let Err(e) = core.socket.send_to(&bytes, to).await {
            log::debug!(to:% = to, error:% = e; "heartbeat not sent");
        }
    }
}

fn report<M>(core: &Core<M>, shard: &Shard, claim: Claim, now: Timestamp) -> Report {
    let load = core.owned(shard).map(|o| o.lock().scheduler.load(now));
    Report {
        shard: shard.clone(),
        claim,
        load: load.unwrap_or_default(),
    }
}

/// Reads a later configuration from another VM that has one. This way it
/// also reaches VMs that have no connection to the store.
fn pull_configuration<M: Minions>(core: &Arc<Core<M>>, now: Timestamp) {
    if core.peers().latest_config(core.version(), now).is_some() {
        let core = core.clone();
        tokio::spawn(async move { read_configuration(&core).await });
    }
}

/// Sends a heartbeat to all VMs at once, because this VM is leaving or its
/// shards have changed.
pub(crate) async fn announce<M>(core: &Core<M>) {
    let mut heartbeat = own_heartbeat(core, REGULAR_KNOWN, core.now());
    heartbeat.interval = broadcast_interval(core, &heartbeat);
    let all: Vec<_> = core.peers().addrs().collect();
    send_to(core, &heartbeat, &all).await;
}

/// Returns whether the planned stop of this VM has begun.
pub(crate) fn stopping<M>(core: &Core<M>) -> bool {
    core.stopping.load(Ordering::Relaxed)
}
