//! Periodic reports of a running VM: its events as JSON lines, and its metrics.
//! Both are read from memory at intervals, so that no request waits for them.

use std::time::Duration;

use kernel::Millis;
use metrics::Sender;
use timeline::{Event, LineFilter, Recorder, Severity, Stamp, json_line};
use tokio::sync::oneshot;
use tokio::time::{MissedTickBehavior, interval};

use crate::logs::EVENT_TARGET;

/// Interval between two reads of the event ring.
const READ_PERIOD: Duration = Duration::from_millis(250);

/// Each read ends this far behind the clock, so that threads that have taken
/// their stamp can still put their event into the ring.
const READ_LAG: Millis = Millis(100);

/// Writes the VM's events as JSON lines until `done` resolves, then writes the
/// remaining ones and returns.
pub async fn write_events(recorder: Recorder, filter: LineFilter, mut done: oneshot::Receiver<()>) {
    let mut ticks = interval(READ_PERIOD);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut from = Stamp::default();
    loop {
        let last = tokio::select! {
            _ = ticks.tick() => false,
            _ = &mut done => true,
        };
        let mut to = recorder.stamp();
        if !last {
            to.wall = Millis(to.wall.0.saturating_sub(READ_LAG.0));
        }
        log_events(&recorder.read_span(from, to).events, filter);
        if last {
            return;
        }
        from = to;
    }
}

fn log_events(events: &[Event], filter: LineFilter) {
    let wanted = |e: &&Event| match filter {
        LineFilter::None => false,
        LineFilter::Notable => e.what.severity() == Severity::Notable,
        LineFilter::All => true,
    };
    for line in events.iter().filter(wanted).flat_map(json_line) {
        log::info!(target: EVENT_TARGET, "{line}");
    }
}

/// Sends metrics once each period, forever.
pub async fn send_metrics(mut sender: Sender, period: Millis) {
    let mut ticks = interval(period.duration());
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        if let Err(e) = sender.send() {
            log::warn!("{e}");
        }
    }
}
