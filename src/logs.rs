//! Logs as JSON lines on standard output. Lines go through a queue of bounded
//! size, so that a slow reader never blocks the program.

use std::io::Write;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime};

use log::kv::{Key, Value, VisitSource};
use log::{LevelFilter, Record};
use serde::ser::SerializeMap;
use serde::{Serialize, Serializer};

use crate::error::CommandError;

/// Log target of time line events, whose messages are already JSON.
pub const EVENT_TARGET: &str = "timeline";

/// A log line.
#[derive(Serialize)]
struct Line<'a> {
    /// Time of the record, in UTC.
    time: String,
    /// Severity level.
    level: &'static str,
    /// Module that wrote the record.
    target: &'a str,
    /// Text of the record.
    message: String,
    /// Key-value pairs of the record.
    #[serde(flatten)]
    fields: Fields<'a>,
}

/// Serializes the key-value pairs of a record.
struct Fields<'a>(&'a Record<'a>);

impl Serialize for Fields<'_> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut writer = FieldWriter(serializer.serialize_map(None)?);
        // A value that can't be written is left out of the line.
        let _ = self.0.key_values().visit(&mut writer);
        writer.0.end()
    }
}

/// Writes key-value pairs into a serialized map.
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

/// Installs the logger of the process.
///
/// # Errors
///
/// Fails when a logger is already installed.
pub fn init(level: LevelFilter) -> Result<(), CommandError> {
    let queue = LineQueue::default();
    let lines = queue.clone();
    std::thread::spawn(move || write_lines(&queue));
    fern::Dispatch::new()
        .level(level)
        // The settings of the time line choose which events are written.
        .level_for(EVENT_TARGET, LevelFilter::Info)
        // Debug lines of the HTTP library would drown out ours.
        .level_for("hyper", level.min(LevelFilter::Info))
        .level_for("hyper_util", level.min(LevelFilter::Info))
        .format(|out, message, record| match record.target() {
            EVENT_TARGET => out.finish(format_args!("{message}")),
            _ => out.finish(format_args!("{}", format_line(record))),
        })
        .chain(fern::Output::call(move |record| {
            lines.push(&record.args().to_string());
        }))
        .apply()
        .map_err(CommandError::Logs)
}

fn format_line(record: &Record<'_>) -> String {
    let line = Line {
        time: humantime::format_rfc3339_millis(SystemTime::now()).to_string(),
        level: record.level().as_str(),
        target: record.target(),
        message: record.args().to_string(),
        fields: Fields(record),
    };
    serde_json::to_string(&line).unwrap_or_default()
}

/// Maximum number of bytes queued for standard output.
const MAX_QUEUED_BYTES: usize = 1 << 20;

/// Interval between two writes: long enough for each to write many lines at
/// once, too short for a person who follows the log to notice.
const WRITE_PERIOD: Duration = Duration::from_millis(50);

/// Lines queued for standard output.
#[derive(Debug, Default)]
struct Queue {
    /// Text of the queued lines, each with its newline.
    lines: Vec<u8>,
    /// Number of lines dropped since the last write because the queue was full.
    dropped: u64,
}

/// Bounded queue of log lines; adding a line never blocks on the reader.
#[derive(Debug, Clone, Default)]
pub struct LineQueue(Arc<Mutex<Queue>>);

impl LineQueue {
    /// Adds a line, or counts it as dropped if the queue is full.
    pub fn push(&self, line: &str) {
        let mut queue = self.lock();
        if queue.lines.len() + line.len() >= MAX_QUEUED_BYTES {
            queue.dropped += 1;
            return;
        }
        queue.lines.extend_from_slice(line.as_bytes());
        queue.lines.push(b'\n');
    }

    /// Writes the queued lines, and a warning if lines were dropped.
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

/// Writes queued lines to standard output until that fails. Runs on a thread of
/// its own, because writing may block.
fn write_lines(queue: &LineQueue) {
    loop {
        std::thread::sleep(WRITE_PERIOD);
        if queue.write_to(&mut std::io::stdout().lock()).is_err() {
            // The reader has closed the pipe; later lines are dropped.
            return;
        }
    }
}

/// Gives the writer thread a short time to write the last lines before the
/// process exits.
pub fn flush() {
    std::thread::sleep(WRITE_PERIOD * 2);
}
