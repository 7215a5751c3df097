//! Decides which VM gets a heartbeat when: those that need it at the shortest
//! interval, all others as often as links and processors allow
//! (docs/design/platform.md#heartbeats).

use std::net::{IpAddr, Ipv4Addr};

use kernel::{HashMap, HashSet, Millis, Timestamp};
use ownership::{Broadcast, Heartbeat};
use schedule::EvidenceReport;
use wire::encode;

use crate::beats::{MAX_HEARTBEAT, MAX_KNOWN, REGULAR_KNOWN, own_evidence, own_heartbeat, send_to};
use crate::core::{Core, lock};
use crate::crashes::Audience;
use crate::leases::open_calls;

/// Number of heartbeats at the shortest interval that a VM still gets when it no
/// longer needs them. They announce the longer interval, and some may be lost.
const FAREWELLS: u8 = 3;

/// Number of VMs that get the heartbeats of a shard's owner at the shortest
/// interval because they would take the shard first.
const CANDIDATES: usize = 3;

/// Time between run times sent to the VMs that get frequent heartbeats, among
/// them those that would take this VM's shards first.
const EVIDENCE_SHORT: Millis = Millis(1_000);

/// Time between run times sent to all VMs: they are several times as large as a
/// heartbeat, and still count after thrice that time.
const EVIDENCE_ALL: Millis = Millis(10_000);

/// Decides which VMs get a heartbeat when.
#[derive(Debug, Default)]
pub(crate) struct Timetable {
    /// Time of the last heartbeats at the shortest interval.
    last_short: Timestamp,
    /// Time of the last heartbeats to all VMs.
    last_all: Timestamp,
    /// VMs that have got heartbeats at the shortest interval, with the number
    /// of further ones that they get.
    short: HashMap<Ipv4Addr, u8>,
    /// Time of the last run times sent to VMs that get frequent heartbeats.
    evidence_short: Timestamp,
    /// Time of the last run times sent to all VMs.
    evidence_all: Timestamp,
}

impl Timetable {
    /// Sends the heartbeats that are due. With `urgent` all VMs get one.
    pub async fn send<M>(&mut self, core: &Core<M>, urgent: bool, now: Timestamp) {
        let fresh = core.peers().take_fresh();
        if !fresh.is_empty() {
            let heartbeat = own_heartbeat(core, MAX_KNOWN, now);
            send_to(core, &heartbeat, &fresh).await;
        }
        let least = core.cfg.ownership.heartbeat_interval;
        if !urgent && now.since(self.last_short) < least {
            return;
        }
        self.last_short = now;
        let mut heartbeat = own_heartbeat(core, REGULAR_KNOWN, now);
        let interval = broadcast_interval(core, &heartbeat);
        let wanted = wanted_often(core, &heartbeat, now);
        self.short.retain(|_, left| {
            *left = left.saturating_sub(1);
            *left > 0
        });
        for ip in &wanted {
            self.short.insert(*ip, FAREWELLS + 1);
        }
        let rest: Vec<_> = match urgent || now.since(self.last_all) >= interval {
            true => {
                self.last_all = now;
                let all: Vec<_> = core.peers().addrs().collect();
                all.into_iter().filter(|ip| !wanted.contains(ip)).collect()
            }
            false => {
                let farewells = self.short.keys().filter(|ip| !wanted.contains(*ip));
                farewells.copied().collect()
            }
        };
        heartbeat.interval = interval;
        let evidence = own_evidence(core, now);
        let to_all = self.last_all == now && now.since(self.evidence_all) >= EVIDENCE_ALL;
        if to_all {
            self.evidence_all = now;
            heartbeat.evidence = evidence.clone();
        }
        if self.last_all == now {
            heartbeat.crashes = lock(&core.crashes).take_news(Audience::Rest);
        }
        send_to(core, &heartbeat, &rest).await;
        heartbeat.evidence = EvidenceReport::default();
        if now.since(self.evidence_short) >= EVIDENCE_SHORT {
            self.evidence_short = now;
            heartbeat.evidence = evidence;
        }
        heartbeat.crashes = lock(&core.crashes).take_news(Audience::Frequent);
        heartbeat.interval = least;
        heartbeat.known.clear();
        let called = open_calls(core, now);
        let others = wanted.iter().filter(|ip| !called.contains_key(*ip));
        let others: Vec<_> = others.copied().collect();
        send_to(core, &heartbeat, &others).await;
        for (ip, calls) in called {
            heartbeat.calls = Some(calls);
            send_to(core, &heartbeat, &[ip]).await;
        }
    }
}

/// Returns the interval of this VM's heartbeats to all others.
pub(crate) fn broadcast_interval<M>(core: &Core<M>, heartbeat: &Heartbeat) -> Millis {
    let peers = core.peers();
    let is_owner = !heartbeat.reports.is_empty();
    let broadcast = Broadcast {
        peers: peers.addrs().count(),
        owners: peers.owner_count() + usize::from(is_owner),
        is_owner,
        bytes: encode(heartbeat).map_or(MAX_HEARTBEAT, |bytes| bytes.len()),
        link: core.cfg.link.rate(),
    };
    broadcast.interval(&core.cfg.ownership)
}

/// Returns the VMs that need this VM's heartbeats at the shortest interval: those
/// that run jobs for it, those for which it runs jobs, and those that would take
/// its shards.
fn wanted_often<M>(core: &Core<M>, heartbeat: &Heartbeat, now: Timestamp) -> HashSet<Ipv4Addr> {
    let mut wanted: HashSet<_> = lock(&core.calls).called().collect();
    for owned in core.owned.load().values() {
        let state = owned.lock();
        let callers = state.waiters.values().filter_map(|w| w.from);
        wanted.extend(callers.filter_map(|addr| match addr.ip() {
            IpAddr::V4(ip) => Some(ip),
            IpAddr::V6(_) => None,
        }));
    }
    let peers = core.peers();
    for report in &heartbeat.reports {
        wanted.extend(peers.candidates(&report.shard, CANDIDATES, now));
    }
    wanted
}
