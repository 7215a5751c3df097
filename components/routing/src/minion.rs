//! Minions as the fleet knows them.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU8, AtomicU32, AtomicU64, AtomicUsize, Ordering};

use kernel::{Cores, Domain, MinionId, Service, Slots, Timestamp, key_hash};
use serde::Serialize;

use crate::health::{Health, Mode};
use crate::held::Held;

/// What the platform and the sheet say of a minion.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MinionInfo {
    /// The minion's id.
    pub id: MinionId,
    /// Its failure domain.
    pub domain: Domain,
    /// Where it takes tasks.
    pub addr: SocketAddr,
    /// The services it offers.
    pub services: Vec<Service>,
    /// How many tasks it runs at once, for all VMs together.
    pub slots: Slots,
    /// The cores of its worker; no task that needs more can run there.
    pub cores: Cores,
    /// Whether it is leaving, so that it gets no new task.
    pub leaving: bool,
}

/// What operators see of a minion.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct MinionStatus {
    /// The minion's id.
    pub id: MinionId,
    /// Its failure domain.
    pub domain: Domain,
    /// Its slots.
    pub slots: Slots,
    /// Tasks of this VM there now.
    pub own: u32,
    /// Tasks of this domain's other VMs there, as last heard.
    pub peers: u32,
    /// How far this VM trusts it.
    pub mode: Mode,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// What outlives a change of the table, as long as id and address stay.
#[derive(Debug, Default)]
pub(crate) struct State {
    /// Tasks of this VM on the minion.
    pub(crate) held: Held,
    /// Tasks of other VMs there, as last heard.
    pub(crate) peers: AtomicU32,
    /// Tasks of this VM there as its last digest said.
    pub(crate) reported: AtomicU32,
    /// Slots on soft lease to this VM ([`crate::Load::lease`]).
    pub(crate) lease: AtomicU32,
    /// Digests in a row after which all leases together were not the slots.
    pub(crate) drift: AtomicU32,
    /// When it may be picked again, in microseconds of [`Timestamp`].
    pub(crate) closed: AtomicU64,
    /// The [`Mode`], as its number.
    pub(crate) mode: AtomicU8,
    /// The minion's position in the newest table.
    pub(crate) index: AtomicUsize,
    /// What answers have shown. It is locked when a task ends, never to pick.
    pub(crate) health: Mutex<Health>,
}

impl State {
    /// Returns the mode.
    pub(crate) fn mode(&self) -> Mode {
        Mode::from_number(self.mode.load(Ordering::Relaxed))
    }

    /// Closes the minion until `end`, if it is not closed for longer already.
    pub(crate) fn close(&self, end: Timestamp) {
        self.closed.fetch_max(end.0, Ordering::Relaxed);
    }
}

/// A minion in a table.
#[derive(Debug)]
pub(crate) struct Node {
    /// What it is.
    pub(crate) info: MinionInfo,
    /// The id in 8 bytes, for messages.
    pub(crate) hash: u64,
    /// What this VM knows of it.
    pub(crate) state: std::sync::Arc<State>,
}

/// Returns a minion's id in 8 bytes.
pub(crate) fn id_hash(id: &MinionId) -> u64 {
    key_hash(id.as_str().as_bytes()) as u64
}
