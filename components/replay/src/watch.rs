//! What the VMs say of themselves, and the sheets that operators publish.

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

use crate::doors::{Door, Doors};
use crate::trace::{Base, Publish, Verdict};

/// The longest wait for a VM's status.
const STATUS_WAIT: Duration = Duration::from_millis(500);

/// The longest wait for the platform's answer.
const APPEND_WAIT: Millis = Millis(1000);

/// The pause between two looks at the VMs.
const LOOK_PAUSE: Duration = Duration::from_millis(50);

/// How long after everything else a publication may stay undecided.
const CLOSING: Duration = Duration::from_secs(3);

/// A VM's status, as far as a replay needs it.
#[derive(Debug, Clone, Deserialize)]
pub struct Seen {
    /// The life of its process.
    pub incarnation: CompactString,
    /// Whether it takes jobs.
    pub ready: bool,
    /// Whether the platform's log answers it.
    pub log: CompactString,
    /// The offset of the change whose sheet is in force there.
    pub sheet: Option<Offset>,
    /// The VM.
    pub vm: VmId,
    /// Its counts of what must never happen.
    pub faults: BTreeMap<CompactString, u64>,
    /// The last changes that it has judged.
    pub changes: Vec<SeenChange>,
}

/// What a VM says of a change.
#[derive(Debug, Clone, Deserialize)]
pub struct SeenChange {
    /// The change.
    pub id: ChangeId,
    /// Its offset.
    pub offset: Offset,
    /// Whether it came into force.
    pub accepted: bool,
}

/// A count of what must never happen, above zero on some VM.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BrokenVm {
    /// The VM.
    pub vm: VmId,
    /// The count's name.
    pub name: CompactString,
    /// The count.
    pub count: u64,
}

impl fmt::Display for BrokenVm {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} counts {} {}", self.vm, self.count, self.name)
    }
}

/// What was seen of the VMs during a replay.
#[derive(Debug, Clone, Default)]
pub struct Observed {
    /// How often a VM's sheet went back.
    pub reverts: u64,
    /// The counts above zero, by the life of the VM's process and by name.
    faults: BTreeMap<(CompactString, CompactString), BrokenVm>,
}

impl Observed {
    /// Notes what a VM says of itself.
    pub fn note(&mut self, seen: &Seen) {
        for (name, &count) in seen.faults.iter().filter(|(_, n)| **n > 0) {
            let fault = BrokenVm {
                vm: seen.vm.clone(),
                name: name.clone(),
                count,
            };
            let place = (seen.incarnation.clone(), name.clone());
            self.faults.insert(place, fault);
        }
    }

    /// Returns the counts above zero.
    pub fn faults(&self) -> Vec<BrokenVm> {
        self.faults.values().cloned().collect()
    }
}

/// Looks at the VMs.
#[derive(Clone)]
pub struct Watch {
    /// Carries the requests.
    client: Client<Net>,
    /// The VMs.
    doors: Doors,
}

impl Watch {
    /// Makes a watch.
    pub fn new(net: Net, doors: Doors) -> Watch {
        let client = Client::new(net, PoolLimits::default());
        Watch { client, doors }
    }

    /// Asks all live VMs at once; those that don't answer are left out.
    pub async fn look(&self) -> Vec<Seen> {
        let doors = self.doors.live();
        let all = join_all(doors.iter().map(|d| self.status(d))).await;
        all.into_iter().flatten().collect()
    }

    async fn status(&self, door: &Door) -> Option<Seen> {
        let req = Request::get("/v1/status").header("host", "vm");
        let req = req.body(Full::<Bytes>::default()).ok()?;
        let reply = self.client.call(door.addr, req, STATUS_WAIT).await.ok()?;
        serde_json::from_slice(&reply.body).ok()
    }

    /// Notes, until dropped, how often a VM's sheet went back, and what VMs say
    /// of themselves that must never happen.
    pub async fn observe(&self, observed: &watch::Sender<Observed>) {
        let mut last: HashMap<CompactString, Option<Offset>> = HashMap::default();
        loop {
            for seen in self.look().await {
                observed.send_modify(|o| o.note(&seen));
                let before = last.insert(seen.incarnation, seen.sheet);
                if before.is_some_and(|b| seen.sheet < b) {
                    observed.send_modify(|o| o.reverts += 1);
                }
            }
            tokio::time::sleep(LOOK_PAUSE).await;
        }
    }
}

/// An operator who publishes sheets.
#[derive(Clone)]
pub struct Publisher {
    /// Looks at the VMs.
    watch: Watch,
    /// The platform.
    platform: HttpPlatform<Net>,
    /// True once nothing else happens any more.
    closing: watch::Receiver<bool>,
}

impl Publisher {
    /// Makes an operator.
    pub fn new(watch: Watch, platform: SocketAddr, closing: watch::Receiver<bool>) -> Publisher {
        let platform = HttpPlatform::new(watch.client.clone(), platform, APPEND_WAIT);
        Publisher {
            watch,
            platform,
            closing,
        }
    }

    /// Publishes a sheet and waits for its verdict.
    pub async fn publish(self, publish: &Publish) -> Verdict {
        let Some(change) = self.change(publish).await else {
            return Verdict::Refused;
        };
        let id = change.id;
        let mut closing = self.closing.clone();
        let end = async {
            let _ = closing.wait_for(|c| *c).await;
            tokio::time::sleep(CLOSING).await;
        };
        tokio::select! {
            verdict = self.settle(id, change) => verdict,
            () = end => Verdict::Undecided,
        }
    }

    /// Writes the change; rows that can't even be written are refused.
    async fn change(&self, publish: &Publish) -> Option<Change> {
        let cells = publish.rows.iter().map(|r| Cells::try_from(r.clone()).ok());
        let cells: Option<Vec<Cells>> = cells.collect();
        let by = publish.by.parse().ok()?;
        Some(change(by, self.base(publish.base).await, cells?))
    }

    async fn base(&self, base: Base) -> sheet::Base {
        let seen = self.watch.look().await;
        let current = seen.iter().filter_map(|s| s.sheet).max();
        let before = |c: &&SeenChange| c.accepted && Some(c.offset) < current;
        let changes = seen.iter().flat_map(|s| &s.changes);
        let offset = match base {
            Base::Current => current,
            Base::Stale => changes.filter(before).map(|c| c.offset).max(),
        };
        offset.map_or(sheet::Base::Empty, sheet::Base::At)
    }

    async fn settle(&self, id: ChangeId, change: Change) -> Verdict {
        let record = SheetRecord::Change(change).to_json().unwrap_or_default();
        let mut sent = false;
        loop {
            if !sent {
                let record = Bytes::from(record.clone());
                let told = self.platform.append(Stream::Sheet, record).await;
                // An answer that was lost is found by reading.
                sent = told != Err(AppendError::Refused);
            }
            if let Some(verdict) = self.verdict(id).await {
                return verdict;
            }
            tokio::time::sleep(LOOK_PAUSE).await;
        }
    }

    async fn verdict(&self, id: ChangeId) -> Option<Verdict> {
        let seen = self.watch.look().await;
        let mut judged = seen.iter().flat_map(|s| &s.changes);
        let change = judged.find(|c| c.id == id)?;
        if !change.accepted {
            return Some(Verdict::Refused);
        }
        let held = |s: &Seen| s.sheet >= Some(change.offset);
        let all = seen.len() == self.watch.doors.live().len();
        (all && seen.iter().all(held)).then_some(Verdict::InForce)
    }
}

fn change(by: Operator, base: sheet::Base, cells: Vec<Cells>) -> Change {
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

/// Publishes the sheet that a fleet starts with: all slots for every service,
/// no quota.
pub async fn first_sheet(net: &Net, platform: SocketAddr) {
    let client = Client::new(net.clone(), PoolLimits::default());
    let platform = HttpPlatform::new(client, platform, APPEND_WAIT);
    let Ok(by) = "replay".parse() else {
        return;
    };
    let first = change(by, sheet::Base::Empty, Sheet::open().cells());
    let record = SheetRecord::Change(first).to_json().unwrap_or_default();
    // Without it the fleet does not become ready, and the start fails.
    let _ = platform.append(Stream::Sheet, Bytes::from(record)).await;
}
