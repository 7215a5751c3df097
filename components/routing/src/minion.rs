//! Minions and the state that the fleet keeps for each of them.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU8, AtomicU32, AtomicU64, AtomicUsize, Ordering};

use kernel::{Cores, Domain, MinionId, Service, Slots, Timestamp, key_hash};
use serde::Serialize;

use crate::health::{Health, Mode};
use crate::in_flight::InFlight;

/// The description of a minion in the platform and the sheet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MinionInfo {
    /// The minion's id.
    pub id: MinionId,
    /// Its failure domain.
    pub domain: Domain,
    /// The address at which it accepts tasks.
    pub addr: SocketAddr,
    /// The services it offers.
    pub services: Vec<Service>,
    /// The number of tasks that it runs at once, for all VMs together.
    pub slots: Slots,
    /// The cores of its worker. A task that needs more can't run there.
    pub cores: Cores,
    /// Whether it is leaving and gets no new tasks.
    pub leaving: bool,
}

/// The status of a minion, shown to operators.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct MinionStatus {
    /// The minion's id.
    pub id: MinionId,
    /// Its failure domain.
    pub domain: Domain,
    /// The number of its slots.
    pub slots: Slots,
    /// The number of tasks of this VM on it.
    pub own: u32,
    /// The number of tasks of the domain's other VMs on it, from their last
    /// digests.
    pub peers: u32,
    /// Which tasks this VM gives it.
    pub mode: Mode,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// The state of a minion, kept across table updates while its id and address
/// stay the same.
#[derive(Debug, Default)]
pub(crate) struct State {
    /// The tasks of this VM on the minion.
    pub(crate) in_flight: InFlight,
    /// The number of tasks of other VMs there, from their last digests.
    pub(crate) peers: AtomicU32,
    /// The number of tasks of this VM there in its last digest.
    pub(crate) reported: AtomicU32,
    /// The number of slots on soft lease to this VM ([`crate::Load::lease`]).
    pub(crate) lease: AtomicU32,
    /// The number of digests in a row at which the leases of all VMs did not
    /// add up to the slots.
    pub(crate) drift_count: AtomicU32,
    /// The time from which it may be picked again, in microseconds of
    /// [`Timestamp`].
    pub(crate) closed_until: AtomicU64,
    /// The [`Mode`] as a number.
    pub(crate) mode: AtomicU8,
    /// The minion's position in the newest table.
    pub(crate) index: AtomicUsize,
    /// The health, as seen in answers. It is locked when a task ends, but never
    /// during a pick.
    pub(crate) health: Mutex<Health>,
}

impl State {
    /// Returns the mode.
    pub(crate) fn mode(&self) -> Mode {
        Mode::from_number(self.mode.load(Ordering::Relaxed))
    }

    /// Excludes the minion from picks until `end`, or longer if it is already
    /// closed for longer.
    pub(crate) fn close_until(&self, end: Timestamp) {
        self.closed_until.fetch_max(end.0, Ordering::Relaxed);
    }
}

/// A minion in a [`crate::table::Table`].
#[derive(Debug)]
pub(crate) struct Node {
    /// The description of the minion.
    pub(crate) info: MinionInfo,
    /// The hash of its id, which stands for the id in digests.
    pub(crate) hash: u64,
    /// The state that this VM keeps for it.
    pub(crate) state: std::sync::Arc<State>,
}

/// Returns the 8-byte hash of a minion's id.
pub(crate) fn id_hash(id: &MinionId) -> u64 {
    key_hash(id.as_str().as_bytes()) as u64
}
