//! The VMs as the platform's balancer offers them to callers.

use std::net::SocketAddr;
use std::sync::{Arc, PoisonError, RwLock};

use kernel::{Domain, VmId};

/// A VM's callers' side.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Door {
    /// The VM.
    pub vm: VmId,
    /// Its failure domain.
    pub domain: Domain,
    /// Where callers reach it.
    pub addr: SocketAddr,
    /// Whether the balancer offers it.
    pub live: bool,
}

/// A cloneable list of doors.
#[derive(Debug, Clone, Default)]
pub struct Doors {
    /// One a VM.
    list: Arc<RwLock<Vec<Door>>>,
}

impl Doors {
    /// Puts a door in, in place of an earlier one of its VM.
    pub fn put(&self, door: Door) {
        let mut list = self.list.write().unwrap_or_else(PoisonError::into_inner);
        list.retain(|d| d.vm != door.vm);
        list.push(door);
        list.sort_by(|a, b| a.vm.cmp(&b.vm));
    }

    /// Tells whether the balancer offers a VM from now on.
    pub fn set_live(&self, vm: &VmId, live: bool) {
        let mut list = self.list.write().unwrap_or_else(PoisonError::into_inner);
        for door in list.iter_mut().filter(|d| d.vm == *vm) {
            door.live = live;
        }
    }

    /// Returns the doors that are offered.
    pub fn live(&self) -> Vec<Door> {
        let list = self.list.read().unwrap_or_else(PoisonError::into_inner);
        list.iter().filter(|d| d.live).cloned().collect()
    }

    /// Returns the doors in the order in which a caller tries them: the one
    /// picked, those of its failure domain, the others.
    pub fn order(&self, via: &VmId) -> Vec<Door> {
        let list = self.list.read().unwrap_or_else(PoisonError::into_inner);
        let home = list.iter().find(|d| d.vm == *via).map(|d| &d.domain);
        let offered = list.iter().filter(|d| d.live || d.vm == *via);
        let mut doors: Vec<Door> = offered.cloned().collect();
        doors.sort_by_key(|d| (d.vm != *via, Some(&d.domain) != home));
        doors
    }
}
