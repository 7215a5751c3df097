//! The state that all parts of an entry VM share.

use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use arc_swap::{ArcSwap, ArcSwapOption};
use jobs::{JobSpec, JobTable, Owner, Reason, Windows};
use kernel::{Clock, Incarnation, Millis, Service, SystemClock, Timestamp, VmId};
use logstore::{HttpPlatform, MachineList};
use membership::{Membership, View};
use rand_xoshiro::Xoshiro256PlusPlus;
use routing::Policy;
use timeline::Note;
use wire::{Client, Connect, MemoryBudget};

use crate::claimer::Claimer;
use crate::config::Config;
use crate::digests::Digests;
use crate::dispatch::Dispatch;
use crate::notes::Notes;
use crate::passing::Passing;
use crate::run::Run;
use crate::sheets::Sheets;
use crate::violations::Violations;

/// Stage of a VM's process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[repr(u8)]
pub enum Stage {
    /// The VM takes jobs.
    Serving = 0,
    /// The VM takes no new jobs and finishes those in flight.
    Stopping = 1,
    /// The VM has handed everything over.
    Stopped = 2,
}

/// An entry VM's shared state. The request path reads snapshots and atomics
/// only; see `docs/ARCHITECTURE.md`.
pub struct Core<C, P: Policy> {
    /// Configuration of the VM.
    pub cfg: Config,
    /// This VM and its incarnation.
    pub me: Owner,
    /// Monotonic and wall clock.
    pub clock: SystemClock,
    /// Memory for the bodies of callers' requests.
    pub bodies: MemoryBudget,
    /// Client for calls to minions.
    pub minions: Client<C>,
    /// Client for calls to peers.
    pub peers: Client<C>,
    /// Client of the platform's log and list of machines.
    pub platform: HttpPlatform<C>,
    /// Running jobs and kept outcomes.
    pub table: JobTable<Run>,
    /// Windows of the tickets that this VM answers for.
    pub windows: Windows,
    /// Claims of the keys that callers made up.
    pub claimer: Claimer,
    /// Assigns minion slots to tasks.
    pub dispatch: Arc<Dispatch<P>>,
    /// Use of slots and quotas, as last sent to peers.
    pub digests: Digests,
    /// Membership of the VM's peers; never locked on the request path.
    pub members: Mutex<Membership<Xoshiro256PlusPlus>>,
    /// List of machines, as last read from the platform.
    pub listing: ArcSwapOption<MachineList>,
    /// Snapshot of the peers, as last published by the control loop.
    pub view: ArcSwap<View>,
    /// The sheet in force.
    pub sheets: Sheets,
    /// Submissions that wait for another VM's answer.
    pub passing: Passing,
    /// Time line and metrics.
    pub notes: Notes,
    /// Counters of violated invariants.
    pub violations: Violations,
    /// The VM's [`Stage`] as a number.
    pub stage: AtomicU8,
}

impl<C: Connect, P: Policy> Core<C, P> {
    /// Returns the monotonic time.
    pub fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// Returns the stage of the VM.
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

    /// Returns whether the balancer may send callers to this VM.
    pub fn ready(&self) -> bool {
        self.stage() == Stage::Serving && self.sheets.is_known()
    }

    /// Records an event on the time line, and counts it.
    pub fn note(&self, note: Note) {
        self.notes.note(note);
    }

    /// Locks the membership. Only control code may call this.
    pub fn members(&self) -> MutexGuard<'_, Membership<Xoshiro256PlusPlus>> {
        self.members.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Publishes a snapshot of the peers to the request path. The membership
    /// stays locked until the snapshot is stored, so that an older one never
    /// replaces a newer one.
    pub fn publish_view(&self) {
        let mut members = self.members();
        self.view.store(members.view(self.now()));
    }

    /// Returns the id of the VM that an incarnation runs on, or this VM's own
    /// id if the incarnation is not known.
    pub fn vm_name(&self, incarnation: Incarnation) -> VmId {
        let view = self.view.load();
        let same = |p: &&membership::PeerView| p.incarnation == Some(incarnation);
        let peer = view.peers.iter().find(same);
        peer.map_or_else(|| self.me.vm.clone(), |p| p.id.clone())
    }

    /// Applies a new list of machines.
    pub fn set_listing(&self, listing: Arc<MachineList>) {
        let listed = crate::heartbeat::listed(&listing);
        self.members().on_listing(self.now(), listed);
        self.listing.store(Some(listing));
        self.publish_view();
    }

    /// Checks whether a job may be admitted.
    ///
    /// # Errors
    ///
    /// Returns the reason to refuse the job; none of its tasks has run.
    pub fn admit(&self, spec: &JobSpec) -> Result<(), Reason> {
        match self.dispatch.admit(spec) {
            Err(Reason::NoMinion) if self.is_unlisted(&spec.service) => Err(Reason::UnknownService),
            other => other,
        }
    }

    /// Returns whether no listed machine offers a service.
    fn is_unlisted(&self, service: &Service) -> bool {
        let listing = self.listing.load();
        let Some(listing) = listing.as_ref() else {
            return false;
        };
        !listing.minions.iter().any(|m| m.services.contains(service))
    }

    /// Returns the delay after which a refused caller should retry.
    pub fn retry_after(&self, spec: &JobSpec) -> Millis {
        self.dispatch.retry_after(spec).unwrap_or(RETRY_AFTER)
    }
}

/// Delay after which a refused caller should retry, unless the queue gives a
/// better estimate.
pub const RETRY_AFTER: Millis = Millis(500);
