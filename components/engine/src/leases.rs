//! Leases on the jobs of other VMs: an owner runs such a job while the heartbeats of
//! the VM that took it from its caller list the call
//! (docs/design/job-leases.md#open-calls).

use std::collections::BTreeSet;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;

use kernel::{HashMap, HashSet, Millis, Timestamp};
use ownership::{CallId, CallNumber, CallState, OpenCalls, VmInfo};
use schedule::JobId;

use crate::control::Minions;
use crate::core::{Core, lock};
use crate::drive;
use crate::owned::{Owned, State, Waiter};

/// Time after the sending of a call, or of a heartbeat that lists it, for which its
/// job may run. A caller's VM runs the job elsewhere 1.2 s after it has given the call
/// up; the rest is for the stops of its runs.
pub(crate) const JOB_LEASE: Millis = Millis(1_000);

/// The calls to other VMs that this VM waits for.
#[derive(Debug, Default)]
pub(crate) struct CallTable {
    latest: CallNumber,
    open: HashMap<SocketAddr, BTreeSet<CallNumber>>,
}

impl CallTable {
    /// Returns the VMs that run jobs for this one.
    pub fn called(&self) -> impl Iterator<Item = Ipv4Addr> {
        self.open.keys().filter_map(|addr| match addr.ip() {
            IpAddr::V4(ip) => Some(ip),
            IpAddr::V6(_) => None,
        })
    }
}

/// Lists a call as open while the guard exists, so that heartbeats renew the lease of
/// its job.
pub(crate) struct CallGuard<'a, M> {
    core: &'a Core<M>,
    to: SocketAddr,
    number: CallNumber,
}

impl<'a, M> CallGuard<'a, M> {
    pub fn new(core: &'a Core<M>, to: SocketAddr) -> CallGuard<'a, M> {
        let mut calls = lock(&core.calls);
        calls.latest.0 += 1;
        let number = calls.latest;
        calls.open.entry(to).or_default().insert(number);
        CallGuard { core, to, number }
    }

    /// Returns the id of the call.
    pub fn id(&self) -> CallId {
        CallId {
            caller: self.core.peers().me().incarnation,
            number: self.number,
        }
    }
}

impl<M> Drop for CallGuard<'_, M> {
    fn drop(&mut self) {
        let mut calls = lock(&self.core.calls);
        if let Some(open) = calls.open.get_mut(&self.to) {
            open.remove(&self.number);
            if open.is_empty() {
                calls.open.remove(&self.to);
            }
        }
    }
}

/// Returns the lists of open calls, by the VM that they were made to.
pub(crate) fn open_calls<M>(core: &Core<M>, now: Timestamp) -> HashMap<Ipv4Addr, OpenCalls> {
    let mut lists = HashMap::default();
    let peers = core.peers();
    let calls = lock(&core.calls);
    for (to, open) in &calls.open {
        if let IpAddr::V4(ip) = to.ip() {
            let sent = peers.sent_at(*to, now);
            let list = OpenCalls::new(sent, calls.latest, open.iter().copied());
            lists.insert(ip, list);
        }
    }
    lists
}

/// Renews the leases of the jobs whose calls another VM lists, and cancels the jobs
/// whose calls it has ended.
pub(crate) fn renew<M: Minions>(core: &Arc<Core<M>>, from: &VmInfo, calls: &OpenCalls) {
    let now = core.now();
    let age = core.peers().age(calls.sent, now);
    let until = age.map(|age| now.before(age).after(JOB_LEASE));
    for owned in core.owned.load().values() {
        let mut ended = Vec::new();
        {
            let mut state = owned.lock();
            let State {
                scheduler, waiters, ..
            } = &mut *state;
            for (id, waiter) in waiters.iter() {
                let call = waiter.call.filter(|c| c.caller == from.incarnation);
                match call.map(|c| calls.state(c.number)) {
                    Some(CallState::Open) => {
                        if let Some(until) = until {
                            scheduler.renew_lease(id, until);
                        }
                    }
                    Some(CallState::Ended) => ended.push(id.clone()),
                    Some(CallState::Later) | None => {}
                }
            }
        }
        if !ended.is_empty() {
            for id in &ended {
                log::info!(job:% = id, from:% = from.addr; "job cancelled: the caller's VM no longer waits for it");
            }
            cancel(core, owned, ended);
        }
    }
}

/// Cancels the jobs of a shard whose leases have lapsed, and those of VMs that have
/// missed four heartbeats: these mostly have gone, and capacity is short.
pub(crate) fn cancel_orphaned<M: Minions>(core: &Arc<Core<M>>, owned: &Arc<Owned>, now: Timestamp) {
    let ended: Vec<_> = {
        let peers = core.peers();
        let state = owned.lock();
        let silent = |w: &Waiter| match (&w.reply_tx, w.from) {
            (Some(_), Some(from)) => !peers.within_timeout(from, w.since, now),
            _ => false,
        };
        let silent = state.waiters.iter().filter(|(_, w)| silent(w));
        let mut ended: HashSet<_> = silent.map(|(id, _)| id.clone()).collect();
        ended.extend(state.scheduler.lapsed_jobs(now));
        ended.into_iter().collect()
    };
    if !ended.is_empty() {
        for id in &ended {
            log::warn!(job:% = id, shard:% = owned.shard(); "job cancelled: no heartbeat from the caller's VM");
        }
        cancel(core, owned, ended);
    }
}

fn cancel<M: Minions>(core: &Arc<Core<M>>, owned: &Arc<Owned>, ids: Vec<JobId>) {
    let now = core.now();
    {
        let mut state = owned.lock();
        for id in ids {
            state.waiters.remove(&id);
            state.scheduler.cancel(&id, now);
        }
    }
    drive::run_actions(core, owned);
}
