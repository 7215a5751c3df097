//! Monitors the VMs' statuses, and publishes the operators' sheets.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use compact_str::CompactString;
use futures::future::join_all;
use http_body_util::Full;
use hyper::Request;
use kernel::{HashMap, Millis, Offset, VmId};
use logstore::{AppendError, HttpPlatform, Platform, Stream};
use rand::SeedableRng;
use rand_xoshiro::Xoshiro256PlusPlus;
use serde::Deserialize;
use sheet::{Body, Cells, Change, ChangeId, Operator, Sheet, SheetRecord};
use standins::Net;
use tokio::sync::watch;
use wire::{Client, PoolLimits};

use crate::backends::{Backend, Backends};
use crate::trace::{Base, Publish, Verdict};

/// Timeout of a request for a VM's status.
const STATUS_TIMEOUT: Duration = Duration::from_millis(500);

/// Timeout of an append to the platform's log.
const APPEND_TIMEOUT: Millis = Millis(1000);

/// Pause between two requests for the VMs' statuses.
const STATUS_PAUSE: Duration = Duration::from_millis(50);

/// Time after the end of all other actions for which a publication may stay
/// undecided.
const CLOSING_GRACE: Duration = Duration::from_secs(3);

/// The part of a VM's status that a replay needs.
#[derive(Debug, Clone, Deserialize)]
pub struct VmStatus {
    /// Incarnation of the VM's process.
    pub incarnation: CompactString,
    /// Whether the VM accepts jobs.
    pub ready: bool,
    /// State of the platform's log as the VM sees it; `answers` when it is
    /// reachable.
    pub log: CompactString,
    /// Offset of the change whose sheet is in force on the VM.
    pub sheet: Option<Offset>,
    /// Id of the VM.
    pub vm: VmId,
    /// Counts of invariant violations by name.
    pub faults: BTreeMap<CompactString, u64>,
    /// Verdicts on the last changes.
    pub changes: Vec<ChangeStatus>,
}

/// A VM's verdict on a change.
#[derive(Debug, Clone, Deserialize)]
pub struct ChangeStatus {
    /// Id of the change.
    pub id: ChangeId,
    /// Offset of the change.
    pub offset: Offset,
    /// Whether the change came into force.
    pub accepted: bool,
}

/// Invariant violations that a VM counted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VmViolations {
    /// VM that counted them.
    pub vm: VmId,
    /// Name of the count.
    pub name: CompactString,
    /// Number of violations.
    pub count: u64,
}

impl fmt::Display for VmViolations {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} counts {} {}", self.vm, self.count, self.name)
    }
}

/// Observations of the VMs' statuses during a replay.
#[derive(Debug, Clone, Default)]
pub struct Observed {
    /// Number of times that a VM's sheet went back to an earlier offset.
    pub reverts: u64,
    /// Counts above zero, by incarnation of the VM and by name.
    violations: BTreeMap<(CompactString, CompactString), VmViolations>,
}

impl Observed {
    /// Records the violations in a VM's status.
    pub fn record(&mut self, status: &VmStatus) {
        for (name, &count) in status.faults.iter().filter(|(_, n)| **n > 0) {
            let violations = VmViolations {
                vm: status.vm.clone(),
                name: name.clone(),
                count,
            };
            let key = (status.incarnation.clone(), name.clone());
            self.violations.insert(key, violations);
        }
    }

    /// Returns the violation counts above zero.
    pub fn violations(&self) -> Vec<VmViolations> {
        self.violations.values().cloned().collect()
    }
}

/// A client that requests the VMs' statuses.
#[derive(Clone)]
pub struct Monitor {
    /// HTTP client for the requests.
    client: Client<Net>,
    /// VMs to ask.
    backends: Backends,
}

impl Monitor {
    /// Creates a monitor.
    pub fn new(net: Net, backends: Backends) -> Monitor {
        let client = Client::new(net, PoolLimits::default());
        Monitor { client, backends }
    }

    /// Requests the statuses of all live VMs at once. VMs that don't answer are
    /// left out.
    pub async fn statuses(&self) -> Vec<VmStatus> {
        let backends = self.backends.live();
        let statuses = join_all(backends.iter().map(|b| self.status(b))).await;
        statuses.into_iter().flatten().collect()
    }

    async fn status(&self, backend: &Backend) -> Option<VmStatus> {
        let req = Request::get("/v1/status").header("host", "vm");
        let req = req.body(Full::<Bytes>::default()).ok()?;
        let reply = self
            .client
            .call(backend.addr, req, STATUS_TIMEOUT)
            .await
            .ok()?;
        serde_json::from_slice(&reply.body).ok()
    }

    /// Records, until dropped, each time a VM's sheet goes back and the violations
    /// that VMs count.
    pub async fn observe(&self, observed: &watch::Sender<Observed>) {
        let mut last: HashMap<CompactString, Option<Offset>> = HashMap::default();
        loop {
            for status in self.statuses().await {
                observed.send_modify(|o| o.record(&status));
                let previous = last.insert(status.incarnation, status.sheet);
                if previous.is_some_and(|p| status.sheet < p) {
                    observed.send_modify(|o| o.reverts += 1);
                }
            }
            tokio::time::sleep(STATUS_PAUSE).await;
        }
    }
}

/// An operator who publishes sheets.
#[derive(Clone)]
pub struct Publisher {
    /// Monitor of the VMs.
    monitor: Monitor,
    /// Client of the platform's log.
    platform: HttpPlatform<Net>,
    /// True once all other actions have ended.
    closing: watch::Receiver<bool>,
}

impl Publisher {
    /// Creates an operator.
    pub fn new(
        monitor: Monitor,
        platform: SocketAddr,
        closing: watch::Receiver<bool>,
    ) -> Publisher {
        let platform = HttpPlatform::new(monitor.client.clone(), platform, APPEND_TIMEOUT);
        Publisher {
            monitor,
            platform,
            closing,
        }
    }

    /// Publishes a sheet and waits for its verdict.
    pub async fn publish(self, publish: &Publish) -> Verdict {
        let Some(change) = self.build_change(publish).await else {
            return Verdict::Refused;
        };
        let id = change.id;
        let mut closing = self.closing.clone();
        let timeout = async {
            let _ = closing.wait_for(|c| *c).await;
            tokio::time::sleep(CLOSING_GRACE).await;
        };
        tokio::select! {
            verdict = self.append_until_decided(id, change) => verdict,
            () = timeout => Verdict::Undecided,
        }
    }

    /// Builds the change; `None` if a row doesn't have four cells or the operator's
    /// name is invalid.
    async fn build_change(&self, publish: &Publish) -> Option<Change> {
        let cells = publish.rows.iter().map(|r| Cells::try_from(r.clone()).ok());
        let cells: Option<Vec<Cells>> = cells.collect();
        let by = publish.by.parse().ok()?;
        Some(new_change(by, self.base(publish.base).await, cells?))
    }

    async fn base(&self, base: Base) -> sheet::Base {
        let statuses = self.monitor.statuses().await;
        let current = statuses.iter().filter_map(|s| s.sheet).max();
        let is_older = |c: &&ChangeStatus| c.accepted && Some(c.offset) < current;
        let changes = statuses.iter().flat_map(|s| &s.changes);
        let offset = match base {
            Base::Current => current,
            Base::Stale => changes.filter(is_older).map(|c| c.offset).max(),
        };
        offset.map_or(sheet::Base::Empty, sheet::Base::At)
    }

    /// Appends the change, again if the platform refuses it, and waits for the
    /// verdict.
    async fn append_until_decided(&self, id: ChangeId, change: Change) -> Verdict {
        let record = SheetRecord::Change(change).to_json().unwrap_or_default();
        let mut sent = false;
        loop {
            if !sent {
                let record = Bytes::from(record.clone());
                let result = self.platform.append(Stream::Sheet, record).await;
                // If only the answer was lost, the verdict shows up in the VMs'
                // statuses.
                sent = result != Err(AppendError::Refused);
            }
            if let Some(verdict) = self.verdict(id).await {
                return verdict;
            }
            tokio::time::sleep(STATUS_PAUSE).await;
        }
    }

    async fn verdict(&self, id: ChangeId) -> Option<Verdict> {
        let statuses = self.monitor.statuses().await;
        let mut changes = statuses.iter().flat_map(|s| &s.changes);
        let change = changes.find(|c| c.id == id)?;
        if !change.accepted {
            return Some(Verdict::Refused);
        }
        let has_change = |s: &VmStatus| s.sheet >= Some(change.offset);
        let all_answered = statuses.len() == self.monitor.backends.live().len();
        (all_answered && statuses.iter().all(has_change)).then_some(Verdict::InForce)
    }
}

fn new_change(by: Operator, base: sheet::Base, cells: Vec<Cells>) -> Change {
    let mut rng = Xoshiro256PlusPlus::from_os_rng();
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    Change {
        id: ChangeId::draw(&mut rng),
        by,
        base,
        at: Millis(now.map_or(0, |d| d.as_millis() as u64)),
        body: Body::Full(cells),
    }
}

/// Publishes the fleet's first sheet, which gives every service all slots and sets
/// no quotas.
pub async fn publish_first_sheet(net: &Net, platform: SocketAddr) {
    let client = Client::new(net.clone(), PoolLimits::default());
    let platform = HttpPlatform::new(client, platform, APPEND_TIMEOUT);
    let Ok(by) = "replay".parse() else {
        return;
    };
    let first = new_change(by, sheet::Base::Empty, Sheet::unlimited().cells());
    let record = SheetRecord::Change(first).to_json().unwrap_or_default();
    // If this fails, the fleet doesn't become ready and its start reports that.
    let _ = platform.append(Stream::Sheet, Bytes::from(record)).await;
}
