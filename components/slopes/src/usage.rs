//! Processor time and memory of this process, from Linux' `/proc`.

use std::fs;
use std::hint::black_box;
use std::time::Instant;

/// The bytes of a page on the machines that this runs on.
const PAGE: f64 = 4096.0;

/// Nanoseconds in a second.
const NANOS: f64 = 1e9;

/// Returns the seconds of processor time that the threads of a name have used.
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
    all.sum::<f64>() / NANOS
}

/// Returns the bytes of this process that are in memory.
pub(crate) fn resident() -> f64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1);
    pages.and_then(|p| p.parse::<f64>().ok()).unwrap_or(0.0) * PAGE
}

/// Returns what a value keeps in memory, in bytes, and the value.
pub(crate) fn memory<T>(make: impl FnOnce() -> T) -> (f64, T) {
    let before = resident();
    let value = black_box(make());
    (resident() - before, value)
}

/// Returns the microseconds of one of `times` runs, the fastest of five
/// rounds, as other programs on the machine only ever add time.
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
