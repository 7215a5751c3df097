//! The list of machines as last read, so that an unchanged one is not sent
//! again: at the design size it has 114 kB and is read twice a second.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use hyper::header::HeaderValue;

use crate::message::Listing;

/// A list and how the platform names this state of it.
#[derive(Debug, Clone)]
struct Known {
    /// The entity tag; `None` from a platform that gives none.
    tag: Option<HeaderValue>,
    /// The list.
    listing: Arc<Listing>,
}

/// The list as last read. Clones share it.
#[derive(Debug, Clone, Default)]
pub(crate) struct ListCache {
    /// The list; `None` before the first answer.
    known: Arc<Mutex<Option<Known>>>,
}

impl ListCache {
    /// Returns the tag to ask with.
    pub(crate) fn tag(&self) -> Option<HeaderValue> {
        self.lock().as_ref()?.tag.clone()
    }

    /// Returns the list, after the platform said that the tag still holds.
    pub(crate) fn same(&self) -> Option<Arc<Listing>> {
        Some(self.lock().as_ref()?.listing.clone())
    }

    /// Takes in a list, and returns the one from before if both are equal.
    pub(crate) fn put(&self, listing: Listing, tag: Option<HeaderValue>) -> Arc<Listing> {
        let mut known = self.lock();
        let same = known.as_ref().filter(|k| *k.listing == listing);
        let listing = same.map_or_else(|| Arc::new(listing), |k| k.listing.clone());
        *known = Some(Known {
            tag,
            listing: listing.clone(),
        });
        listing
    }

    fn lock(&self) -> MutexGuard<'_, Option<Known>> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
