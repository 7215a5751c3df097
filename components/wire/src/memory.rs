//! Bounds the memory that clients make a process hold.

use std::fmt;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};

use kernel::Mebibytes;

/// Memory of a connection in bytes: its read buffer while that holds the longest headers,
/// [`COVERED_BYTES`] of a body or answers that its client does not read, its task, what the
/// system has received for it, and a quarter more for gaps in the heap.
pub(crate) const CONNECTION_MEMORY: usize = 112 << 10;

/// Bytes of a request that its connection's [`CONNECTION_MEMORY`] covers. Requests up to
/// this size are read without the budget that all connections share.
pub const COVERED_BYTES: usize = 16 << 10;

/// Parts of a process's memory that its clients may use, half of it in all. The rest is the
/// process's own.
/// docs/CAPACITY.md has the arithmetic.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemoryShares {
    /// Maximum number of connections.
    pub connections: usize,
    /// Bytes for requests beyond what their connections cover.
    pub requests: usize,
}

impl MemoryShares {
    /// Returns the shares of a process with this much memory.
    pub fn of(memory: Mebibytes) -> MemoryShares {
        let bytes = (memory.0 as usize) << 20;
        MemoryShares {
            connections: bytes / 8 * 3 / CONNECTION_MEMORY,
            requests: bytes / 8,
        }
    }
}

/// The budget is spent, so that nothing can be reserved now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BudgetSpent;

impl fmt::Display for BudgetSpent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("no memory for requests is free")
    }
}

impl std::error::Error for BudgetSpent {}

/// A number of bytes that the requests of all clients share
/// (docs/design/client-memory.md). Clones share one budget.
#[derive(Debug, Clone)]
pub struct MemoryBudget(Arc<Budget>);

#[derive(Debug)]
struct Budget {
    limit: usize,
    used: AtomicUsize,
    refusals: AtomicU64,
}

impl MemoryBudget {
    /// Creates a budget of this many bytes.
    pub fn new(limit: usize) -> MemoryBudget {
        MemoryBudget(Arc::new(Budget {
            limit,
            used: AtomicUsize::new(0),
            refusals: AtomicU64::new(0),
        }))
    }

    /// Returns the number of bytes that may be reserved in all.
    pub fn limit(&self) -> usize {
        self.0.limit
    }

    /// Returns the number of bytes that are reserved.
    pub fn used(&self) -> usize {
        self.0.used.load(Ordering::Relaxed)
    }

    /// Returns how often a reservation was refused.
    pub fn refusals(&self) -> u64 {
        self.0.refusals.load(Ordering::Relaxed)
    }

    /// Returns a reservation of no bytes for one request.
    pub fn reservation(&self) -> Reservation {
        Reservation {
            budget: Some(self.clone()),
            bytes: 0,
        }
    }

    fn take(&self, bytes: usize) -> Result<(), BudgetSpent> {
        let Budget { limit, used, .. } = &*self.0;
        let add = |used: usize| used.checked_add(bytes).filter(|sum| sum <= limit);
        let taken = used.fetch_update(Ordering::Relaxed, Ordering::Relaxed, add);
        taken.map(drop).map_err(|_| {
            self.0.refusals.fetch_add(1, Ordering::Relaxed);
            BudgetSpent
        })
    }

    fn give_back(&self, bytes: usize) {
        self.0.used.fetch_sub(bytes, Ordering::Relaxed);
    }
}

/// Bytes of a budget that are reserved for one request. Dropping it frees them.
#[derive(Debug)]
pub struct Reservation {
    /// The budget; `None` for senders that are trusted, who need none.
    budget: Option<MemoryBudget>,
    bytes: usize,
}

impl Reservation {
    /// Creates a reservation that is never refused.
    pub(crate) fn unlimited() -> Reservation {
        Reservation {
            budget: None,
            bytes: 0,
        }
    }

    /// Reserves what a request of `size` bytes needs, less what its connection covers.
    ///
    /// # Errors
    ///
    /// Fails when the budget is spent. What was reserved before stays reserved.
    pub fn resize(&mut self, size: usize) -> Result<(), BudgetSpent> {
        let Some(budget) = &self.budget else {
            return Ok(());
        };
        let bytes = size.saturating_sub(COVERED_BYTES);
        match bytes.checked_sub(self.bytes) {
            Some(0) => {}
            Some(more) => budget.take(more)?,
            None => budget.give_back(self.bytes - bytes),
        }
        self.bytes = bytes;
        Ok(())
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        if let Some(budget) = &self.budget
            && self.bytes > 0
        {
            budget.give_back(self.bytes);
        }
    }
}
