//! What all parts of an entry VM share.

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
use wire::{Client, Connect};

use crate::claimer::Claimer;
use crate::config::Config;
use crate::digests::Digests;
use crate::dispatch::Dispatch;
use crate::faults::Faults;
use crate::notes::Notes;
use crate::passing::Passing;
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
    /// What was last told of slots and quotas.
    pub digests: Digests,
    /// Decides whom to believe in; never locked on the request path.
    pub members: Mutex<Membership<Xoshiro256PlusPlus>>,
    /// The platform's list of machines, as last read.
    pub listing: ArcSwapOption<MachineList>,
    /// The peers, as the control loop last saw them.
    pub view: ArcSwap<View>,
    /// The sheet in force.
    pub sheets: Sheets,
    /// The submissions that wait for another VM.
    pub passing: Passing,
    /// The time line and what is counted.
    pub notes: Notes,
    /// Counts of what must never happen.
    pub faults: Faults,
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

    /// Records an event on the time line, and counts it.
    pub fn note(&self, note: Note) {
        self.notes.note(note);
    }

    /// Locks the membership, which only control code does.
    pub fn members(&self) -> MutexGuard<'_, Membership<Xoshiro256PlusPlus>> {
        self.members.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Publishes the peers to readers.
    pub fn publish_view(&self) {
        let view = self.members().view(self.now());
        self.view.store(view);
    }

    /// Returns the name of the VM that an incarnation runs on, or this VM's own
    /// while it is not known.
    pub fn name_of(&self, incarnation: Incarnation) -> VmId {
        let view = self.view.load();
        let same = |p: &&membership::PeerView| p.incarnation == Some(incarnation);
        let peer = view.peers.iter().find(same);
        peer.map_or_else(|| self.me.vm.clone(), |p| p.id.clone())
    }

    /// Takes in the platform's list of machines.
    pub fn take_listing(&self, listing: Arc<MachineList>) {
        let listed = crate::beat::listed(&listing);
        self.members().on_listing(self.now(), listed);
        self.listing.store(Some(listing));
        self.publish_view();
    }

    /// Decides whether a job may be taken on.
    ///
    /// # Errors
    ///
    /// Tells why not; nothing of the job has run.
    pub fn admit(&self, spec: &JobSpec) -> Result<(), Reason> {
        match self.dispatch.admit(spec) {
            Err(Reason::NoMinion) if self.unheard_of(&spec.service) => Err(Reason::UnknownService),
            other => other,
        }
    }

    /// Tells whether no machine that is listed offers a service.
    fn unheard_of(&self, service: &Service) -> bool {
        let listing = self.listing.load();
        let Some(listing) = listing.as_ref() else {
            return false;
        };
        !listing.minions.iter().any(|m| m.services.contains(service))
    }

    /// Returns when a refused caller should come back.
    pub fn retry_after(&self, spec: &JobSpec) -> Millis {
        self.dispatch.retry_after(spec).unwrap_or(RETRY_AFTER)
    }
}

/// When a refused caller should come back, unless the queue tells better.
pub const RETRY_AFTER: Millis = Millis(500);
