//! Metrics under stable names, sent to statsd. Threads add to atomics; one
//! sender reads them now and then, so that no request waits for the network.
//! Every name stands in `docs/METRICS.md`.

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
