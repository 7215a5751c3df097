//! Counts the messages and bytes of this VM by kind, and logs them at intervals.
//! See docs/CAPACITY.md.

use kernel::{Millis, Timestamp};
use metrics::{Count, Gauge, Metrics};
use wire::Traffic;

use crate::control::Minions;
use crate::core::Core;

/// Interval between log lines.
const LOG_INTERVAL: Millis = Millis(5_000);

/// Adds the growth of the clients' counters to the metrics.
#[derive(Debug, Default)]
pub(crate) struct Meter {
    /// Counters of calls to minions at the last update.
    minions: Traffic,
    /// Counters of calls to other VMs at the last update.
    peers: Traffic,
    /// Values at the last log line, in the order of [`LOGGED`].
    logged: [u64; LOGGED.len()],
    /// Time of the last log line.
    last_log: Timestamp,
}

/// Counts in the log line.
const LOGGED: [Count; 13] = [
    Count::HeartbeatSent,
    Count::HeartbeatBytes,
    Count::HeartbeatReceived,
    Count::HeartbeatBytesIn,
    Count::HoldSent,
    Count::HoldMissed,
    Count::TaskSent,
    Count::MinionBytes,
    Count::MinionBytesIn,
    Count::MinionOpened,
    Count::PeerBytes,
    Count::PeerBytesIn,
    Count::PeerOpened,
];

impl Meter {
    /// Updates the metrics, and logs the growth since the last line when that is
    /// `LOG_INTERVAL` old.
    pub fn update<M: Minions>(&mut self, core: &Core<M>, now: Timestamp) {
        let metrics = &core.metrics;
        let minions = core.minions.traffic();
        add_growth(
            metrics,
            [
                Count::MinionBytes,
                Count::MinionBytesIn,
                Count::MinionOpened,
            ],
            &self.minions,
            &minions,
        );
        self.minions = minions;
        let peers = core.client.traffic();
        add_growth(
            metrics,
            [Count::PeerBytes, Count::PeerBytesIn, Count::PeerOpened],
            &self.peers,
            &peers,
        );
        self.peers = peers;
        let age = core.peers().oldest_report(now);
        metrics.set(Gauge::HeartbeatAge, age.0);
        if now.since(self.last_log) >= LOG_INTERVAL {
            self.log(metrics, age, now);
        }
    }

    fn log(&mut self, metrics: &Metrics, age: Millis, now: Timestamp) {
        let values = LOGGED.map(|count| metrics.count(count));
        let mut grown = values;
        for (value, last) in grown.iter_mut().zip(&self.logged) {
            *value -= last;
        }
        let [
            sent,
            bytes,
            received,
            bytes_in,
            holds,
            missed,
            starts,
            orders,
            answers,
            opened,
            calls,
            replies,
            dialled,
        ] = grown;
        log::info!(span_ms = now.since(self.last_log).0, heartbeat_age_ms = age.0,
            heartbeats = sent, heartbeat_bytes = bytes, heartbeats_in = received,
            heartbeat_bytes_in = bytes_in, holds = holds, holds_missed = missed, starts = starts,
            minion_bytes = orders, minion_bytes_in = answers, minions_opened = opened,
            peer_bytes = calls, peer_bytes_in = replies, peers_opened = dialled; "traffic");
        self.logged = values;
        self.last_log = now;
    }
}

/// Adds the growth of a client's counters to three counts: bytes sent, bytes
/// received and connections opened.
fn add_growth(metrics: &Metrics, counts: [Count; 3], last: &Traffic, next: &Traffic) {
    let [sent, received, opened] = counts;
    metrics.add(sent, next.sent - last.sent);
    metrics.add(received, next.received - last.received);
    metrics.add(opened, next.opened - last.opened);
}
