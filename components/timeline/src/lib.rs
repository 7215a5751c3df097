//! The time line: what every VM did and why, in causal order across all VMs. Each
//! VM keeps a bounded [`Ring`] of typed events; operators read the rings of all
//! VMs and merge them into one list. See `docs/design/timeline.md`.

mod event;
mod excerpt;
mod filter;
mod hlc;
mod plugin;
mod recorder;
mod ring;
mod text;
mod transcript;

pub use event::{Cause, Event, EventKind, Note, Severity};
pub use excerpt::{Excerpt, merge};
pub use filter::{Filter, FilterError};
pub use hlc::{Hlc, MAX_DRIFT, Stamp, StampError};
pub use plugin::{Config, LineFilter};
pub use recorder::Recorder;
pub use ring::Ring;
pub use transcript::{Transcript, json_line};
