//! Which failure domains are being evacuated. The operator's records in the
//! store decide that, and VMs pass the state on to each other
//! (docs/design/evacuation.md).

use std::collections::BTreeSet;
use std::sync::Arc;

use kernel::{Domain, Offset, Timestamp};
use metrics::Gauge;
use rand::seq::IteratorRandom;
use serde::{Deserialize, Serialize};

use crate::beats;
use crate::calls::call_evacuations;
use crate::control::Minions;
use crate::core::Core;
use crate::drive;
use crate::owned::Owned;

/// Maximum number of domains in a state, far more than a site has. It bounds what
/// garbage can make VMs keep and send to each other.
const MAX_DOMAINS: usize = 1_024;

/// The domains that are being evacuated as of an offset of the operator's
/// topic. A later state replaces an earlier one, never the reverse: a VM that
/// was cut off or frozen may still have an earlier one.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Evacuations {
    /// Offset after the last record that the state contains; 0 if nothing is
    /// known.
    as_of: Offset,
    /// Domains that are being evacuated.
    domains: BTreeSet<Domain>,
}

impl Evacuations {
    /// Applies records in their order: each begins (true) or ends the evacuation
    /// of a domain. `next` is the offset after the last one.
    pub fn apply(&mut self, changes: impl IntoIterator<Item = (Domain, bool)>, next: Offset) {
        self.as_of = next;
        for (domain, evacuated) in changes {
            match evacuated {
                true => self.domains.insert(domain),
                false => self.domains.remove(&domain),
            };
        }
    }

    /// Returns the offset after the last record that the state contains.
    pub fn as_of(&self) -> Offset {
        self.as_of
    }

    /// Returns whether a domain is being evacuated.
    pub fn contains(&self, domain: &Domain) -> bool {
        self.domains.contains(domain)
    }

    /// Returns the domains that are being evacuated, in order.
    pub fn domains(&self) -> impl Iterator<Item = &Domain> {
        self.domains.iter()
    }

    /// Returns whether this state replaces `held`.
    fn replaces(&self, held: &Evacuations) -> bool {
        self.as_of > held.as_of
    }
}

/// Puts a state in force unless it is no later than the one in force. `source`
/// says where it comes from, for the log.
pub(crate) fn adopt<M: Minions>(core: &Arc<Core<M>>, fresh: &Evacuations, source: &str) {
    if fresh.domains.len() > MAX_DOMAINS {
        log::warn!(domains = fresh.domains.len(), source = source; "evacuations ignored: too many domains");
        return;
    }
    let mut replaced = None;
    core.evacuations.rcu(|held| {
        replaced = fresh.replaces(held).then(|| held.clone());
        match replaced {
            Some(_) => Arc::new(fresh.clone()),
            None => held.clone(),
        }
    });
    let Some(earlier) = replaced.filter(|held| held.domains != fresh.domains) else {
        return;
    };
    let names: Vec<_> = fresh.domains.iter().map(Domain::as_str).collect();
    log::info!(offset = fresh.as_of.0, domains = names.join(" ").as_str(), source = source;
        "evacuated domains changed");
    let begun = fresh.domains.difference(&earlier.domains);
    for domain in begun.filter(|d| !core.cfg.domains.contains(d)) {
        log::warn!(domain:% = domain, offset = fresh.as_of.0; "evacuation ignored: unknown domain");
    }
    let owned = core.owned.load();
    let changed = owned.values().filter(|owned| enforce(core, owned)).count();
    if changed > 0 {
        // The other VMs must not send jobs to a shard that takes none.
        let core = core.clone();
        tokio::spawn(async move { beats::announce(&core).await });
    }
}

/// Applies the state in force to a shard and returns whether the shard was
/// changed by that.
pub(crate) fn enforce<M: Minions>(core: &Arc<Core<M>>, owned: &Arc<Owned>) -> bool {
    let shard = owned.shard();
    let (evacuated, as_of, given_back) = {
        let mut state = owned.lock();
        // Read under the lock, so that a concurrent call can't apply an earlier
        // state after a later one.
        let evacuations = core.evacuations.load();
        let evacuated = evacuations.contains(&shard.domain);
        if state.scheduler.is_evacuated() == evacuated {
            return false;
        }
        let given_back = state.scheduler.set_evacuated(evacuated, core.now());
        (evacuated, evacuations.as_of, given_back)
    };
    drive::run_actions(core, owned);
    match evacuated {
        true => log::info!(domain:% = shard.domain, shard:% = shard, offset = as_of.0,
            given_back = given_back.waiting, stopped = given_back.started; "evacuation in force"),
        false => {
            log::info!(domain:% = shard.domain, shard:% = shard, offset = as_of.0; "evacuation ended");
        }
    }
    true
}

/// Sets the gauges of evacuated domains and of the state's offset.
pub(crate) fn set_gauges<M>(core: &Core<M>) {
    let evacuations = core.evacuations.load();
    let known = core.cfg.domains.iter();
    let evacuated = known.filter(|d| evacuations.contains(d)).count();
    core.metrics.set(Gauge::DomainsEvacuated, evacuated as u64);
    core.metrics
        .set(Gauge::EvacuationOffset, evacuations.as_of.0);
}

/// Reads a later state from another VM that has one. This way it also reaches
/// VMs that have no connection to the store. The VM is drawn at random, so that
/// one that does not answer calls does not keep the state from this one.
pub(crate) fn pull<M: Minions>(core: &Arc<Core<M>>, now: Timestamp) {
    let as_of = core.evacuations.load().as_of;
    let from = {
        let peers = core.peers();
        peers.later_evacuations(as_of, now).choose(&mut rand::rng())
    };
    let Some(from) = from else {
        return;
    };
    let core = core.clone();
    tokio::spawn(async move {
        match call_evacuations(&core, from).await {
            Ok(evacuations) => adopt(&core, &evacuations, &from.to_string()),
            Err(e) => {
                log::info!(from:% = from, error:% = e; "reading the evacuations from another VM failed")
            }
        }
    });
}
