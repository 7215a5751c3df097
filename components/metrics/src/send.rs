//! Sends the table to statsd through cadence.

use std::fmt;
use std::io;
use std::net::{Ipv4Addr, Ipv6Addr, SocketAddr, UdpSocket};

use cadence::prelude::*;
use cadence::{BufferedUdpMetricSink, MetricError, StatsdClient};

use crate::{Count, Gauge, Metrics};

/// What every name begins with.
const PREFIX: &str = "pomelopost";

/// Why metrics were not sent.
#[derive(Debug)]
pub enum SendError {
    /// No socket could be opened.
    Socket(io::Error),
    /// The client refused a metric or could not send it.
    Metric(MetricError),
}

impl fmt::Display for SendError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SendError::Socket(e) => write!(f, "no socket for metrics: {e}"),
            SendError::Metric(e) => write!(f, "metrics not sent: {e}"),
        }
    }
}

impl std::error::Error for SendError {}

/// Sends what changed since the last time.
#[derive(Debug)]
pub struct Sender {
    /// The statsd client.
    client: StatsdClient,
    /// The table.
    metrics: Metrics,
    /// What was sent of each counter.
    sent: Vec<u64>,
}

impl Sender {
    /// Makes a sender to a statsd address over UDP, which never blocks.
    ///
    /// # Errors
    ///
    /// Fails when no socket can be opened.
    pub fn new(statsd: SocketAddr, metrics: Metrics) -> Result<Sender, SendError> {
        let any: SocketAddr = match statsd {
            SocketAddr::V4(_) => (Ipv4Addr::UNSPECIFIED, 0).into(),
            SocketAddr::V6(_) => (Ipv6Addr::UNSPECIFIED, 0).into(),
        };
        let socket = UdpSocket::bind(any).map_err(SendError::Socket)?;
        socket.set_nonblocking(true).map_err(SendError::Socket)?;
        let sink = BufferedUdpMetricSink::from(statsd, socket).map_err(SendError::Metric)?;
        Ok(Sender {
            client: StatsdClient::from_sink(PREFIX, sink),
            metrics,
            sent: vec![0; Count::ALL.len()],
        })
    }

    /// Sends the counters' growth, the times taken and the levels.
    ///
    /// # Errors
    ///
    /// Fails when a metric can't be sent; its growth goes out the next time.
    pub fn send(&mut self) -> Result<(), SendError> {
        for count in Count::ALL {
            self.send_count(*count).map_err(SendError::Metric)?;
        }
        for (timing, span) in self.metrics.take_times() {
            let sent = self.client.time(timing.name(), span);
            sent.map_err(SendError::Metric)?;
        }
        for gauge in Gauge::ALL {
            let level = self.metrics.gauge(*gauge);
            let sent = self.client.gauge(gauge.name(), level);
            sent.map_err(SendError::Metric)?;
        }
        self.client.flush().map_err(SendError::Metric)
    }

    fn send_count(&mut self, count: Count) -> Result<(), MetricError> {
        let now = self.metrics.count(count);
        let sent = &mut self.sent[count as usize];
        let growth = i64::try_from(now.saturating_sub(*sent)).unwrap_or(i64::MAX);
        self.client.count(count.name(), growth)?;
        *sent = now;
        Ok(())
    }
}
