//! Processor time and memory of this process, read from `/proc` on Linux.

use std::fs;
use std::hint::black_box;
use std::time::Instant;

/// Size of a memory page in bytes on the machines that this runs on.
const PAGE_SIZE: f64 = 4096.0;

/// Nanoseconds in a second.
const NANOS_PER_SEC: f64 = 1e9;

/// Returns the processor time in seconds of all threads with this name that have
/// not ended.
pub(crate) fn cpu(name: &str) -> f64 {
    let Ok(tasks) = fs::read_dir("/proc/self/task") else {
        return 0.0;
    };
    let spent = |dir: std::path::PathBuf| -> Option<f64> {
        let comm = fs::read_to_string(dir.join("comm")).ok()?;
        if comm.trim() != name {
            return None;
        }
        let text = fs::read_to_string(dir.join("schedstat")).ok()?;
        text.split_whitespace().next()?.parse().ok()
    };
    let all = tasks.flatten().filter_map(|t| spent(t.path()));
    all.sum::<f64>() / NANOS_PER_SEC
}

/// Returns the resident memory of this process in bytes.
pub(crate) fn resident() -> f64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1);
    pages.and_then(|p| p.parse::<f64>().ok()).unwrap_or(0.0) * PAGE_SIZE
}

/// Creates a value and returns the bytes by which the resident memory grew, and
/// the value.
pub(crate) fn memory<T>(make: impl FnOnce() -> T) -> (f64, T) {
    let before = resident();
    let value = black_box(make());
    (resident() - before, value)
}

/// Returns the time of one run in microseconds, averaged over `times` runs. The
/// fastest of five rounds counts, because other programs on the machine can only
/// add time.
pub(crate) fn micros(times: u32, mut run: impl FnMut()) -> f64 {
    let mut round = || {
        let start = Instant::now();
        for _ in 0..times {
            run();
        }
        start.elapsed().as_secs_f64() * 1e6 / f64::from(times)
    };
    (0..5).map(|_| round()).fold(f64::INFINITY, f64::min)
}
