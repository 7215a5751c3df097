//! Counters, gauges and timings reach statsd.

use std::net::UdpSocket;
use std::time::Duration;

use metrics::{Count, Gauge, Metrics, Sender, Timing};

/// Returns a socket in place of statsd, a table, and a sender from the table to
/// the socket.
fn statsd_sender() -> (UdpSocket, Metrics, Sender) {
    let statsd = UdpSocket::bind("127.0.0.1:0").unwrap();
    statsd
        .set_read_timeout(Some(Duration::from_secs(10)))
        .unwrap();
    let metrics = Metrics::new();
    let sender = Sender::new(statsd.local_addr().unwrap(), metrics.clone()).unwrap();
    (statsd, metrics, sender)
}

/// Reads datagrams until the last gauge has arrived.
fn read_lines(statsd: &UdpSocket) -> Vec<String> {
    let last = format!("pomelopost.{}:", Gauge::ALL.last().unwrap().name());
    let mut lines: Vec<String> = Vec::new();
    let mut buf = [0; 65536];
    while !lines.iter().any(|line| line.starts_with(&last)) {
        let len = statsd.recv(&mut buf).unwrap();
        let text = str::from_utf8(&buf[..len]).unwrap();
        lines.extend(text.lines().map(str::to_owned));
    }
    lines
}

#[test]
fn growth_only() {
    let (statsd, metrics, mut sender) = statsd_sender();
    metrics.add(Count::TaskSent, 5);
    metrics.set(Gauge::SheetOffset, 9);
    sender.send().unwrap();
    let first = read_lines(&statsd);
    assert!(first.contains(&"pomelopost.tasks.sent:5|c".to_owned()));
    assert!(first.contains(&"pomelopost.sheet.offset:9|g".to_owned()));
    metrics.add(Count::TaskSent, 2);
    sender.send().unwrap();
    assert!(read_lines(&statsd).contains(&"pomelopost.tasks.sent:2|c".to_owned()));
}

#[test]
fn times() {
    let (statsd, metrics, mut sender) = statsd_sender();
    metrics.time(Timing::Response, Duration::from_millis(250));
    sender.send().unwrap();
    assert!(read_lines(&statsd).contains(&"pomelopost.jobs.response:250|ms".to_owned()));
}

#[test]
fn waste_sum() {
    let metrics = Metrics::new();
    metrics.add(Count::WasteResent, 2);
    metrics.add(Count::WasteProbe, 3);
    metrics.add(Count::TaskSent, 100);
    assert_eq!(metrics.waste(), 5);
}
