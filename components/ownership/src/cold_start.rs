//! The start of all VMs of a site at the same time. No VM owns a shard then, so
//! that a VM need not listen for as long as among running VMs
//! (docs/design/cold-start.md).

use kernel::Timestamp;

use crate::heartbeat::{Report, VmInfo};
use crate::peers::Peers;
use crate::plan::Planned;
use crate::shard::Shard;

/// Number of owners that the answer to a new VM reports on behalf of others. Each
/// VM that is up answers, so that two of each suffice to learn most owners, and
/// 147 answers still fit into 0.4 s of a link of 2 Mbit/s.
const RELAYED: usize = 2;

/// Number of other VMs that must have been heard, unless fewer are known: a
/// single one may be cut off from the owners together with this VM.
const HEARD: usize = 2;

impl Peers {
    /// Returns whether this VM has listened for long enough to take a shard:
    /// for `listen_time`, or in a cold start for `answer_time` if the shard is
    /// of its domain and it has room for it. Without room it may only not have
    /// heard yet of the VM that has room.
    pub(crate) fn has_listened(&self, shard: &Shard, now: Timestamp) -> bool {
        if now.since(self.started) >= self.cfg.listen_time {
            return true;
        }
        let home = shard.domain == self.me.domain;
        home && self.is_cold_start(now) && self.fits(shard, &self.me, &Planned::default())
    }

    /// Returns reports of owners in a new VM's domain, so that it learns from any
    /// running VM that shards have owners. They are empty if this VM knows none
    /// but the new VM itself, in an earlier life of its process.
    pub fn relayed_reports(&self, to: &VmInfo) -> Vec<Report> {
        let owners = self.owners.iter();
        let owners = owners.filter(|(s, o)| s.domain == to.domain && o.claim.addr != to.addr);
        let reports = owners.map(|(shard, owner)| Report {
            shard: shard.clone(),
            claim: owner.claim,
            load: owner.load,
        });
        reports.take(RELAYED).collect()
    }

    /// Returns whether a report of the VM `from` is to be believed: its own, or
    /// that of another VM for a shard of which this VM knows no owner. What this
    /// VM has heard directly is newer.
    pub(crate) fn accepts(&self, report: &Report, from: &VmInfo) -> bool {
        let addr = report.claim.addr;
        let relayed = addr != from.addr;
        !relayed || addr != self.me.addr && !self.is_owned(&report.shard)
    }

    /// Returns whether all VMs seem to be starting, unless an owner is known:
    /// other VMs have been heard, and the answers of running ones, which report
    /// the owners that they know, would have arrived.
    pub fn is_cold_start(&self, now: Timestamp) -> bool {
        let heard = self.peers.values().filter(|p| p.info.is_some()).count();
        let enough = heard >= HEARD.min(self.peers.len());
        let answered = |at| now.since(at) >= self.cfg.answer_time;
        enough && self.first_heard.is_some_and(answered)
    }
}
