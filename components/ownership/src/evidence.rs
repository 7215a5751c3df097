//! Run times that other owners have reported, for a VM that takes a shard
//! (docs/design/run-times.md).

use std::net::SocketAddr;

use kernel::{HashMap, Timestamp};
use schedule::{EvidenceError, EvidenceReport, MAX_AGE, REPORTED_PAIRS};

/// Maximum number of owners whose reports are kept, more than a site has.
const MAX_SOURCES: usize = 512;

/// The newest report of run times from each owner.
#[derive(Debug, Clone, Default)]
pub struct Reports {
    newest: HashMap<SocketAddr, (EvidenceReport, Timestamp)>,
}

impl Reports {
    /// Keeps the report of an owner in place of its earlier one.
    ///
    /// # Errors
    ///
    /// Fails when the figures are not plausible; the earlier report is kept then.
    pub fn record(
        &mut self,
        from: SocketAddr,
        report: EvidenceReport,
        now: Timestamp,
    ) -> Result<(), EvidenceError> {
        if report.pairs.is_empty() {
            return Ok(());
        }
        report.check(REPORTED_PAIRS)?;
        self.newest.retain(|_, (_, at)| now.since(*at) < MAX_AGE);
        if self.newest.len() < MAX_SOURCES || self.newest.contains_key(&from) {
            self.newest.insert(from, (report, now));
        }
        Ok(())
    }

    /// Returns the reports that are not too old. Each counts less the older it is.
    pub fn current(&self, now: Timestamp) -> Vec<EvidenceReport> {
        let fresh = self.newest.values();
        let fresh = fresh.filter(|(_, at)| now.since(*at) < MAX_AGE);
        fresh.map(|(r, at)| r.aged(now.since(*at))).collect()
    }
}
