//! Counters of violated invariants, checked while the program runs. A value
//! other than zero is a bug in this program (docs/design/invariants.md).

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};

use routing::Policy;
use wire::Connect;

use crate::core::Core;

/// Violations counted on the request path.
#[derive(Debug, Default)]
pub struct Violations {
    /// Number of tasks that were about to be sent although they may have
    /// started already.
    double_starts: AtomicU64,
    /// Number of jobs that would have been reported as "not run" although a
    /// task may have started.
    untrue_refusals: AtomicU64,
    /// Number of runs that got a second outcome that differs from the first.
    changed_outcomes: AtomicU64,
}

impl Violations {
    /// Counts a task that was about to be sent twice.
    pub fn double_start(&self) {
        self.double_starts.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a "not run" that would have been wrong.
    pub fn untrue_refusal(&self) {
        self.untrue_refusals.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts an outcome that differs from an earlier one.
    pub fn changed_outcome(&self) {
        self.changed_outcomes.fetch_add(1, Ordering::Relaxed);
    }
}

/// Returns all counters of violations by name.
pub fn read<C: Connect, P: Policy>(core: &Core<C, P>) -> BTreeMap<&'static str, u64> {
    let violations = &core.violations;
    let load = |count: &AtomicU64| count.load(Ordering::Relaxed);
    let dispatch = &core.dispatch;
    let quotas = [&dispatch.teams, &dispatch.home_teams, &dispatch.services];
    let outcomes = load(&violations.changed_outcomes) + core.table.conflicts();
    BTreeMap::from([
        ("double_starts", load(&violations.double_starts)),
        ("untrue_refusals", load(&violations.untrue_refusals)),
        ("changed_outcomes", outcomes),
        ("broken_slots", dispatch.fleet.violations()),
        ("broken_quotas", quotas.iter().map(|q| q.violations()).sum()),
        ("sheet_reverts", core.sheets.reverts()),
    ])
}
