//! Cache of the machine list, so that an unchanged list is not transferred
//! again: at the design size it has 114 kB and is read twice a second.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use hyper::header::HeaderValue;

use crate::message::MachineList;

/// A machine list with its entity tag.
#[derive(Debug, Clone)]
struct CachedList {
    /// The entity tag; `None` if the platform sent none.
    tag: Option<HeaderValue>,
    /// The machine list.
    listing: Arc<MachineList>,
}

/// The machine list as last read. Clones share one cache.
#[derive(Debug, Clone, Default)]
pub(crate) struct ListCache {
    /// The cached list; `None` before the first response.
    cached: Arc<Mutex<Option<CachedList>>>,
}

impl ListCache {
    /// Returns the entity tag for a conditional request.
    pub(crate) fn tag(&self) -> Option<HeaderValue> {
        self.lock().as_ref()?.tag.clone()
    }

    /// Returns the cached list. Used when the platform answered that the list is
    /// unchanged.
    pub(crate) fn listing(&self) -> Option<Arc<MachineList>> {
        Some(self.lock().as_ref()?.listing.clone())
    }

    /// Stores a list and returns it, or the previous `Arc` if the list is
    /// unchanged.
    pub(crate) fn store(&self, listing: MachineList, tag: Option<HeaderValue>) -> Arc<MachineList> {
        let mut cached = self.lock();
        let equal = cached.as_ref().filter(|c| *c.listing == listing);
        let listing = equal.map_or_else(|| Arc::new(listing), |c| c.listing.clone());
        *cached = Some(CachedList {
            tag,
            listing: listing.clone(),
        });
        listing
    }

    fn lock(&self) -> MutexGuard<'_, Option<CachedList>> {
        self.cached.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
