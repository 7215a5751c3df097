//! Reads the configuration and the register of minions from another VM, for a VM
//! that has none from the store or can't reach it.

use std::net::SocketAddr;
use std::sync::Arc;

use kernel::{Millis, Offset, Timestamp};

use crate::calls::{call_configuration, call_register};
use crate::control::Minions;
use crate::core::{Core, lock};
use crate::drive;
use crate::engine::{adopt_register, configure, merge_register};
use crate::owned::Owned;

/// Interval at which a VM without a configuration or register asks another one. A
/// store that works answers within a tenth of it.
const READ_PERIOD: Millis = Millis(100);

/// Time for which a new VM waits for the register from the store before it asks
/// another VM: 87 KB take 350 ms of a link of 2 Mbit/s, and two of them twice that.
const STORE_TIME: Millis = Millis(400);

/// Reads what this VM lacks from other VMs until it has a configuration and a
/// register.
pub(crate) async fn read_first<M: Minions>(core: Arc<Core<M>>) {
    let start = core.now();
    loop {
        tokio::time::sleep(READ_PERIOD.duration()).await;
        let configured = core.configuration.load().is_some();
        let registered = core.register.load().is_some();
        if configured && registered {
            return;
        }
        if !configured {
            read_configuration(&core).await;
        }
        if !registered && core.now().since(start) >= STORE_TIME {
            read_register(&core).await;
        }
    }
}

/// Reads the configuration of the VM with the latest one, if that is later than
/// this VM's.
pub(crate) async fn read_configuration<M: Minions>(core: &Arc<Core<M>>) {
    let latest = core.peers().latest_config(core.version(), core.now());
    let Some(from) = latest else {
        return;
    };
    match call_configuration(core, from).await {
        Ok(Some(configuration)) => configure(core, configuration),
        Ok(None) => {}
        Err(e) => {
            log::info!(from:% = from, error:% = e; "reading the configuration from another VM failed")
        }
    }
}

/// Reads the register of another VM: an owner, which always has one, or else a VM
/// with a configuration, which has reached the store.
async fn read_register<M: Minions>(core: &Arc<Core<M>>) {
    let from = {
        let now = core.now();
        let peers = core.peers();
        let owner = peers.owners().map(|(_, o)| o.claim.addr).next();
        let configured = owner.or_else(|| peers.latest_config(0, now));
        configured.or_else(|| peers.first_alive(now))
    };
    let Some(from) = from else {
        return;
    };
    match call_register(core, from).await {
        Ok(Some(minions)) => {
            log::info!(from:% = from, minions = minions.len(); "register read from another VM");
            adopt_register(core, minions);
        }
        Ok(None) => {}
        Err(e) => {
            log::info!(from:% = from, error:% = e; "reading the register from another VM failed")
        }
    }
}

/// Time since its last read of the register after which an owner asks another VM.
/// Capacity that has shrunk counts within `bounds.contact-ms`, on VMs that the
/// store turns away too.
const REGISTER_AGE: Millis = Millis(1_200);

/// Reads the register of the VM that knows most of it, if this VM owns minions and
/// has not reached the store for a while.
pub(crate) fn pull_register<M: Minions>(core: &Arc<Core<M>>, now: Timestamp) {
    let read = core.register_read();
    if core.owned.load().is_empty() || now.since(read.tried) < REGISTER_AGE {
        return;
    }
    let Some((from, end)) = core.peers().latest_register(read.end, now) else {
        return;
    };
    lock(&core.register_read).tried = now;
    let core = core.clone();
    tokio::spawn(async move { merge_from(&core, from, end).await });
}

/// Merges the register with that of another VM, which has read it up to `end`.
async fn merge_from<M: Minions>(core: &Arc<Core<M>>, from: SocketAddr, end: Offset) {
    match call_register(core, from).await {
        Ok(minions) => {
            let minions = minions.unwrap_or_default();
            log::debug!(from:% = from, minions = minions.len(); "register merged with that of another VM");
            merge_register(core, &minions, end);
        }
        Err(e) => {
            log::info!(from:% = from, error:% = e; "reading the register from another VM failed")
        }
    }
}

/// Age of the register from which a VM that takes a shard reads it before it starts
/// tasks: the drain time of a leaving minion, after which nothing may be started on
/// it. VMs that follow the register read it more often.
const REGISTER_FRESH: Millis = Millis(2_000);

/// Longest time for which the new owner of a shard waits for the register. Neither the
/// store nor another VM that has read it answers then, and the shard must be served.
const REGISTER_WAIT: Millis = Millis(700);

/// Number of VMs that a new owner asks for the register at once, as one of them may have
/// been lost with the previous owner.
const REGISTER_SOURCES: usize = 2;

/// Has a shard that this VM takes wait for the present register if this VM does not
/// follow it: a minion may have begun to leave since it was read.
pub(crate) fn await_register<M: Minions>(core: &Arc<Core<M>>, owned: &Arc<Owned>) {
    let now = core.now();
    let age = now.since(core.register_read().current);
    if age < REGISTER_FRESH {
        return;
    }
    log::info!(shard:% = owned.shard(), age_ms = age.0; "shard taken with an old register, which is read first");
    owned
        .lock()
        .scheduler
        .await_register(now.after(REGISTER_WAIT));
    core.register_needed.notify_one();
    let end = core.register_read().end;
    let later = core.peers().later_registers(end, now);
    for (from, end) in later.into_iter().take(REGISTER_SOURCES) {
        let core = core.clone();
        tokio::spawn(async move { merge_from(&core, from, end).await });
    }
}

/// Ends the waits for the register, which is up to date.
pub(crate) fn end_waits<M: Minions>(core: &Arc<Core<M>>) {
    let now = core.now();
    for owned in core.owned.load().values() {
        owned.lock().scheduler.end_register_wait(now);
        drive::run_actions(core, owned);
    }
}
