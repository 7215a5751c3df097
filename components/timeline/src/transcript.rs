//! Output of events as text and as JSON lines.

use std::fmt;
use std::time::UNIX_EPOCH;

use kernel::{JobKey, Millis};

use crate::{Event, Severity};

/// Time before a job's first event from which events that concern no job are
/// still included.
const CONTEXT_SPAN: Millis = Millis(10_000);

/// Formats events as text, one line each, with times relative to the first.
#[derive(Debug, Clone, Copy)]
pub struct Transcript<'a> {
    /// The events, in causal order.
    events: &'a [Event],
}

impl<'a> Transcript<'a> {
    /// Creates the text form of events that are in causal order.
    pub fn new(events: &'a [Event]) -> Transcript<'a> {
        Transcript { events }
    }

    /// Returns the events of a job together with the notable events that concern no
    /// job, from [`CONTEXT_SPAN`] before the job's first event to its last.
    pub fn for_job(events: Vec<Event>, job: &JobKey) -> Vec<Event> {
        let own = |e: &&Event| e.job.as_ref() == Some(job);
        let walls = || events.iter().filter(own).map(|e| e.at.wall);
        let (Some(first), Some(last)) = (walls().min(), walls().max()) else {
            return Vec::new();
        };
        let span = Millis(first.0.saturating_sub(CONTEXT_SPAN.0))..=last;
        let keep = |e: &Event| {
            let context = e.job.is_none() && e.what.severity() == Severity::Notable;
            own(&e) || (context && span.contains(&e.at.wall))
        };
        events.into_iter().filter(keep).collect()
    }
}

impl fmt::Display for Transcript<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Some(first) = self.events.first() else {
            return writeln!(f, "no events");
        };
        let start = first.at.wall;
        let time = UNIX_EPOCH + start.duration();
        writeln!(f, "from {}", humantime::format_rfc3339_millis(time))?;
        let widths = self.events.iter().map(|e| e.process.as_str().len());
        let width = widths.max().unwrap_or_default();
        for event in self.events {
            write_line(f, event, start, width)?;
        }
        Ok(())
    }
}

/// Writes one event as a line, with the time since `start` and the VM's name
/// padded to `width`.
fn write_line(
    f: &mut fmt::Formatter<'_>,
    event: &Event,
    start: Millis,
    width: usize,
) -> fmt::Result {
    let elapsed = event.at.wall.0.saturating_sub(start.0);
    write!(f, "{:>+5}.{:03}s", elapsed / 1000, elapsed % 1000)?;
    write!(f, "  {:width$}  {}", event.process.as_str(), event.what)?;
    if let Some(task) = &event.task {
        write!(f, ", task {task}")?;
    }
    if let Some(minion) = &event.minion {
        write!(f, ", minion {minion}")?;
    }
    if let Some(job) = &event.job {
        write!(f, ", job {job}")?;
    }
    if let Some(cause) = &event.cause {
        write!(f, ": {cause}")?;
    }
    writeln!(f)
}

/// Formats an event as one line of JSON, without the line end.
///
/// # Errors
///
/// Fails only if the serializer does, which it does for no event.
pub fn json_line(event: &Event) -> Result<String, serde_json::Error> {
    serde_json::to_string(event)
}
