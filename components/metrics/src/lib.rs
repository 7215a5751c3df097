//! Counters, gauges and timings under stable names, sent to statsd and rendered
//! as text for Prometheus. Threads update atomics, and one sender reads them
//! periodically, so that no request waits for the network. `docs/METRICS.md`
//! lists every metric.

mod name;
mod plugin;
mod send;
mod table;
mod text;

pub use name::{Count, Gauge, Timing};
pub use plugin::Config;
pub use send::{SendError, Sender};
pub use table::Metrics;
pub use text::TextPage;
