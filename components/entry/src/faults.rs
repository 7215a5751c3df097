//! Counts of what must never happen, checked while the program runs. Any but
//! zero is a fault of this program (docs/design/invariants.md).

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};

use routing::Policy;
use wire::Connect;

use crate::core::Core;

/// What the request path counts.
#[derive(Debug, Default)]
pub struct Faults {
    /// Tasks that were about to be sent while they may have started already.
    double_starts: AtomicU64,
    /// Jobs that would have been told "not run" while a task may have started.
    untrue_refusals: AtomicU64,
    /// Runs that got a second outcome, other than the first.
    changed_outcomes: AtomicU64,
}

impl Faults {
    /// Counts a task that was about to be sent twice.
    pub fn double_start(&self) {
        self.double_starts.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a "not run" that would not have been true.
    pub fn untrue_refusal(&self) {
        self.untrue_refusals.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts an outcome that differs from an earlier one.
    pub fn changed_outcome(&self) {
        self.changed_outcomes.fetch_add(1, Ordering::Relaxed);
    }
}

/// Returns every count by its name.
pub fn read<C: Connect, P: Policy>(core: &Core<C, P>) -> BTreeMap<&'static str, u64> {
    let faults = &core.faults;
    let load = |count: &AtomicU64| count.load(Ordering::Relaxed);
    let dispatch = &core.dispatch;
    let quotas = [&dispatch.teams, &dispatch.home_teams, &dispatch.services];
    let outcomes = load(&faults.changed_outcomes) + core.table.conflicts();
    BTreeMap::from([
        ("double_starts", load(&faults.double_starts)),
        ("untrue_refusals", load(&faults.untrue_refusals)),
        ("changed_outcomes", outcomes),
        ("broken_slots", dispatch.fleet.violations()),
        ("broken_quotas", quotas.iter().map(|q| q.violations()).sum()),
        ("sheet_reverts", core.sheets.went_back()),
    ])
}
