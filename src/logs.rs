//! Logs as JSON lines on standard output, through a queue of fixed size, so that
//! nothing ever waits for their reader.

use std::io::Write;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime};

use log::kv::{Key, Value, VisitSource};
use log::{LevelFilter, Record};
use serde::ser::SerializeMap;
use serde::{Serialize, Serializer};

use crate::error::CommandError;

/// The log target of events of the time line, which are JSON already.
pub const EVENTS: &str = "timeline";

/// One line of the logs.
#[derive(Serialize)]
struct Line<'a> {
    /// When, in UTC.
    time: String,
    /// How severe.
    level: &'static str,
    /// The module that wrote it.
    target: &'a str,
    /// What was written.
    message: String,
    /// What it was decided by, by name.
    #[serde(flatten)]
    fields: Fields<'a>,
}

/// The named values of a line.
struct Fields<'a>(&'a Record<'a>);

impl Serialize for Fields<'_> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut writer = FieldWriter(serializer.serialize_map(None)?);
        // The writer keeps its own error; a value it can't write is left out.
        let _ = self.0.key_values().visit(&mut writer);
        writer.0.end()
    }
}

/// Writes named values into a map.
struct FieldWriter<M>(M);

impl<'kvs, M: SerializeMap> VisitSource<'kvs> for FieldWriter<M> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        let written = match (value.to_u64(), value.to_f64()) {
            (Some(number), _) => self.0.serialize_entry(key.as_str(), &number),
            (None, Some(number)) => self.0.serialize_entry(key.as_str(), &number),
            (None, None) => self.0.serialize_entry(key.as_str(), &value.to_string()),
        };
        written.map_err(|_| log::kv::Error::msg("a field can't be written"))
    }
}

/// Sets up the logs of the process.
///
/// # Errors
///
/// Fails when they are set up already.
pub fn start(level: LevelFilter) -> Result<(), CommandError> {
    let queue = LineQueue::default();
    let lines = queue.clone();
    std::thread::spawn(move || write_lines(&queue));
    fern::Dispatch::new()
        .level(level)
        // Settings choose these by themselves.
        .level_for(EVENTS, LevelFilter::Info)
        // The HTTP library's own debug lines would bury ours.
        .level_for("hyper", level.min(LevelFilter::Info))
        .level_for("hyper_util", level.min(LevelFilter::Info))
        .format(|out, message, record| match record.target() {
            EVENTS => out.finish(format_args!("{message}")),
            _ => out.finish(format_args!("{}", line(record))),
        })
        .chain(fern::Output::call(move |record| {
            lines.push(&record.args().to_string());
        }))
        .apply()
        .map_err(CommandError::Logs)
}

fn line(record: &Record<'_>) -> String {
    let line = Line {
        time: humantime::format_rfc3339_millis(SystemTime::now()).to_string(),
        level: record.level().as_str(),
        target: record.target(),
        message: record.args().to_string(),
        fields: Fields(record),
    };
    serde_json::to_string(&line).unwrap_or_default()
}

/// The most bytes of lines that wait for standard output.
const QUEUE_SIZE: usize = 1 << 20;

/// Time between two writes: many lines go out in one, and a person who follows
/// them does not notice.
const WRITE_PERIOD: Duration = Duration::from_millis(50);

/// Lines on their way to standard output.
#[derive(Debug, Default)]
struct Queue {
    /// Whole lines.
    lines: Vec<u8>,
    /// Lines that found no room since the last write.
    dropped: u64,
}

/// Takes lines without ever waiting for their reader.
#[derive(Debug, Clone, Default)]
pub struct LineQueue(Arc<Mutex<Queue>>);

impl LineQueue {
    /// Adds a line, or counts it as dropped.
    pub fn push(&self, line: &str) {
        let mut queue = self.lock();
        if queue.lines.len() + line.len() >= QUEUE_SIZE {
            queue.dropped += 1;
            return;
        }
        queue.lines.extend_from_slice(line.as_bytes());
        queue.lines.push(b'\n');
    }

    /// Writes what waits, and tells of lines that were dropped.
    ///
    /// # Errors
    ///
    /// Fails when the output can't be written.
    pub fn write_to(&self, out: &mut impl Write) -> std::io::Result<()> {
        let Queue { lines, dropped } = std::mem::take(&mut *self.lock());
        out.write_all(&lines)?;
        if dropped > 0 {
            let message = "log lines dropped, their reader is too slow";
            writeln!(
                out,
                "{{\"level\":\"WARN\",\"message\":\"{message}\",\"count\":{dropped}}}"
            )?;
        }
        out.flush()
    }

    fn lock(&self) -> MutexGuard<'_, Queue> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Writes lines to standard output for ever, on a thread of its own, as that may
/// block.
fn write_lines(queue: &LineQueue) {
    loop {
        std::thread::sleep(WRITE_PERIOD);
        if queue.write_to(&mut std::io::stdout().lock()).is_err() {
            // Nobody reads any more; later lines are dropped.
            return;
        }
    }
}

/// Writes the last lines at the process's end, for a short time only.
pub fn finish() {
    std::thread::sleep(WRITE_PERIOD * 2);
}
