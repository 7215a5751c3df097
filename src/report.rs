//! What a VM reports while it runs: events as JSON lines, and metrics. Both are
//! read from memory now and then, so that no request waits for them.

use std::time::Duration;

use kernel::Millis;
use metrics::Sender;
use timeline::{Event, LineFilter, Recorder, Severity, Stamp, json_line};
use tokio::sync::oneshot;
use tokio::time::{MissedTickBehavior, interval};

use crate::logs::EVENTS;

/// The time between two looks at the ring.
const LOOK: Duration = Duration::from_millis(250);

/// How far behind the clock a look ends, so that threads that have taken their
/// stamp can still put their event into the ring.
const LAG: Millis = Millis(100);

/// Writes the VM's events as JSON lines until `done`, and then the rest.
pub async fn write_events(recorder: Recorder, lines: LineFilter, mut done: oneshot::Receiver<()>) {
    let mut ticks = interval(LOOK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut from = Stamp::default();
    loop {
        let last = tokio::select! {
            _ = ticks.tick() => false,
            _ = &mut done => true,
        };
        let mut to = recorder.stamp();
        if !last {
            to.wall = Millis(to.wall.0.saturating_sub(LAG.0));
        }
        write(&recorder.read_span(from, to).events, lines);
        if last {
            return;
        }
        from = to;
    }
}

fn write(events: &[Event], lines: LineFilter) {
    let wanted = |e: &&Event| match lines {
        LineFilter::None => false,
        LineFilter::Notable => e.what.severity() == Severity::Notable,
        LineFilter::All => true,
    };
    for line in events.iter().filter(wanted).flat_map(json_line) {
        log::info!(target: EVENTS, "{line}");
    }
}

/// Sends metrics now and then.
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
