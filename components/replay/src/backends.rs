//! The VMs to which the platform's balancer sends callers.

use std::net::SocketAddr;
use std::sync::{Arc, PoisonError, RwLock};

use kernel::{Domain, VmId};

/// A VM as a backend of the balancer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Backend {
    /// Id of the VM.
    pub vm: VmId,
    /// Failure domain of the VM.
    pub domain: Domain,
    /// Address for callers.
    pub addr: SocketAddr,
    /// Whether the balancer sends callers to the VM.
    pub live: bool,
}

/// A shared list of backends. Clones refer to the same list.
#[derive(Debug, Clone, Default)]
pub struct Backends {
    /// Backends sorted by VM id, one for each VM.
    list: Arc<RwLock<Vec<Backend>>>,
}

impl Backends {
    /// Adds a backend, or replaces the earlier one of the same VM.
    pub fn insert(&self, backend: Backend) {
        let mut list = self.list.write().unwrap_or_else(PoisonError::into_inner);
        list.retain(|b| b.vm != backend.vm);
        list.push(backend);
        list.sort_by(|a, b| a.vm.cmp(&b.vm));
    }

    /// Sets whether the balancer sends callers to a VM.
    pub fn set_live(&self, vm: &VmId, live: bool) {
        let mut list = self.list.write().unwrap_or_else(PoisonError::into_inner);
        for backend in list.iter_mut().filter(|b| b.vm == *vm) {
            backend.live = live;
        }
    }

    /// Returns the live backends.
    pub fn live(&self) -> Vec<Backend> {
        let list = self.list.read().unwrap_or_else(PoisonError::into_inner);
        list.iter().filter(|b| b.live).cloned().collect()
    }

    /// Returns the backends in the order in which a caller tries them: `via`, even
    /// if it isn't live, then the live ones of its failure domain, then the
    /// others.
    pub fn ordered_from(&self, via: &VmId) -> Vec<Backend> {
        let list = self.list.read().unwrap_or_else(PoisonError::into_inner);
        let domain = list.iter().find(|b| b.vm == *via).map(|b| &b.domain);
        let candidates = list.iter().filter(|b| b.live || b.vm == *via);
        let mut backends: Vec<Backend> = candidates.cloned().collect();
        backends.sort_by_key(|b| (b.vm != *via, Some(&b.domain) != domain));
        backends
    }
}
