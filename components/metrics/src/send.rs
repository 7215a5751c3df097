//! Sends the metrics to statsd through the `cadence` client.

use std::fmt;
use std::io;
use std::net::{Ipv4Addr, Ipv6Addr, SocketAddr, UdpSocket};

use cadence::prelude::*;
use cadence::{BufferedUdpMetricSink, MetricError, StatsdClient};

use crate::{Count, Gauge, Metrics};

/// Prefix of all metric names at statsd.
const PREFIX: &str = "pomelopost";

/// The error of opening a sender or sending metrics.
#[derive(Debug)]
pub enum SendError {
    /// The UDP socket could not be opened.
    Socket(io::Error),
    /// The client refused a metric or could not send it.
    Metric(MetricError),
}

impl fmt::Display for SendError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SendError::Socket(e) => write!(f, "cannot open a UDP socket for metrics: {e}"),
            SendError::Metric(e) => write!(f, "cannot send metrics: {e}"),
        }
    }
}

impl std::error::Error for SendError {}

/// Sends counters as their growth since the last send, new timings, and gauges.
#[derive(Debug)]
pub struct Sender {
    /// The client of statsd.
    client: StatsdClient,
    /// The metrics to send.
    metrics: Metrics,
    /// The value of each counter that was last sent.
    sent: Vec<u64>,
}

impl Sender {
    /// Creates a sender to a statsd address over UDP. Sending never blocks.
    ///
    /// # Errors
    ///
    /// Fails when no socket can be opened.
    pub fn new(statsd: SocketAddr, metrics: Metrics) -> Result<Sender, SendError> {
        let local: SocketAddr = match statsd {
            SocketAddr::V4(_) => (Ipv4Addr::UNSPECIFIED, 0).into(),
            SocketAddr::V6(_) => (Ipv6Addr::UNSPECIFIED, 0).into(),
        };
        let socket = UdpSocket::bind(local).map_err(SendError::Socket)?;
        socket.set_nonblocking(true).map_err(SendError::Socket)?;
        let sink = BufferedUdpMetricSink::from(statsd, socket).map_err(SendError::Metric)?;
        Ok(Sender {
            client: StatsdClient::from_sink(PREFIX, sink),
            metrics,
            sent: vec![0; Count::ALL.len()],
        })
    }

    /// Sends the growth of the counters, the new timings and the gauges.
    ///
    /// # Errors
    ///
    /// Fails when a metric can't be sent; a counter's growth is then part of the
    /// next send.
    pub fn send(&mut self) -> Result<(), SendError> {
        for count in Count::ALL {
            self.send_count(*count).map_err(SendError::Metric)?;
        }
        for (timing, span) in self.metrics.take_timings() {
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
