//! What all parts of an entry VM share.

use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};

use arc_swap::ArcSwap;
use jobs::{JobTable, Owner, Windows};
use kernel::{Clock, Millis, SystemClock, Timestamp};
use membership::View;
use platform::HttpPlatform;
use routing::Policy;
use timeline::{Note, Recorder};
use wire::{Client, Connect};

use crate::claimer::Claimer;
use crate::config::Config;
use crate::count::Counts;
use crate::dispatch::Dispatch;
use crate::run::Run;
use crate::sheets::Sheets;

/// How far a VM is in its life.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[repr(u8)]
pub enum Stage {
    /// It takes jobs.
    Serving = 0,
    /// It takes no new jobs and finishes those in flight.
    Stopping = 1,
    /// It has handed everything over.
    Stopped = 2,
}

/// An entry VM's shared state. The request path reads snapshots and atomics
/// only; see `docs/ARCHITECTURE.md`.
pub struct Core<C, P: Policy> {
    /// The configuration.
    pub cfg: Config,
    /// This VM and its incarnation.
    pub me: Owner,
    /// The clock.
    pub clock: SystemClock,
    /// Carries tasks to minions.
    pub minions: Client<C>,
    /// Carries messages to peers.
    pub peers: Client<C>,
    /// The platform.
    pub platform: HttpPlatform<C>,
    /// The jobs.
    pub table: JobTable<Run>,
    /// The tickets that this VM answers for.
    pub windows: Windows,
    /// The keys that callers made up.
    pub claimer: Claimer,
    /// Queues and slots.
    pub dispatch: Arc<Dispatch<P>>,
    /// The peers, as the control loop last saw them.
    pub view: ArcSwap<View>,
    /// The sheet in force.
    pub sheets: Sheets,
    /// The time line.
    pub recorder: Recorder,
    /// What is counted.
    pub counts: Counts,
    /// How far the VM is, as [`Stage`].
    pub stage: AtomicU8,
}

impl<C: Connect, P: Policy> Core<C, P> {
    /// Returns the monotonic time.
    pub fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// Returns how far the VM is in its life.
    pub fn stage(&self) -> Stage {
        match self.stage.load(Ordering::Acquire) {
            0 => Stage::Serving,
            1 => Stage::Stopping,
            _ => Stage::Stopped,
        }
    }

    /// Moves on to a later stage.
    pub fn set_stage(&self, stage: Stage) {
        self.stage.fetch_max(stage as u8, Ordering::AcqRel);
    }

    /// Tells whether the balancer may send callers here.
    pub fn ready(&self) -> bool {
        self.stage() == Stage::Serving && self.sheets.known()
    }

    /// Records an event on the time line.
    pub fn note(&self, note: Note) {
        self.recorder.record(note);
    }

    /// Returns when a refused caller should come back.
    pub fn retry_after(&self) -> Millis {
        RETRY_AFTER
    }
}

/// When a refused caller should come back, unless the queue tells better.
pub const RETRY_AFTER: Millis = Millis(500);
