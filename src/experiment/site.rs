//! Embedded fleet under test and the load on it.

use std::collections::BTreeMap;
use std::time::Duration;

use kernel::{Millis, Slots};
use replay::{Fault, FleetPlan};
use routing::{PolicyKind, RoutingConfig};
use serde::Deserialize;

use crate::error::CommandError;
use crate::experiment::Row;
use crate::fleet::Fleet;
use crate::load::{KeySource, Plan, run};

/// Mix of jobs, with 8.9 tasks per job on average and at most 140.
const MIX: &str = "quote:1:200ms:40,quote:3:200ms:30,quote:10:200ms:20,\
                   quote:35:200ms:8,quote:140:200ms:2";

/// Mean number of tasks per job of the mix.
const MEAN_TASKS: f64 = 8.9;

/// Mean run time of a task in seconds: the median of 200 ms, times the ratio of
/// mean to median of a log-normal distribution with the sigma [`SPREAD`].
const MEAN_RUN_S: f64 = 0.2394;

/// Sigma of the log-normal distribution of run times, in percent.
const SPREAD: u32 = 60;

/// Number of teams that the jobs belong to.
const TEAMS: u32 = 8;

/// Number of slots per minion.
const SLOTS: u32 = 8;

/// Number of failure domains of an embedded fleet.
const DOMAINS: u32 = 3;

/// Added to the seed for the warm-up, so that it differs from the measured
/// load.
const WARM_UP_SEED: u64 = 1 << 32;

/// Timeout of requests other than submissions, and of the wait for idle
/// minions.
const REQUEST_TIMEOUT: Millis = Millis(3000);

/// Size of the fleets and length of the loads.
#[derive(Debug, Clone, Copy)]
pub struct Scale {
    /// Number of entry VMs in each failure domain.
    pub vms: u32,
    /// Number of minions in each failure domain.
    pub minions: u32,
    /// Duration of each measured load.
    pub span: Millis,
    /// Duration of the warm-up before the first load.
    pub warm_up: Millis,
    /// Seed of the loads.
    pub seed: u64,
}

impl Scale {
    /// Returns the number of jobs per second that uses a fraction of all slots.
    fn rate(&self, load: f64) -> u32 {
        let slots = f64::from(DOMAINS * self.minions * SLOTS);
        (slots / MEAN_RUN_S / MEAN_TASKS * load).round() as u32
    }

    /// Returns the plan of a load that uses a fraction of all slots.
    pub fn plan(&self, load: f64, deadline: Millis) -> Plan {
        Plan {
            rate: self.rate(load),
            duration: self.span,
            mix: MIX
                .parse()
                .unwrap_or_else(|_| unreachable!("the mix is well formed")),
            spread: SPREAD,
            teams: TEAMS,
            deadline,
            seed: self.seed,
        }
    }
}

/// Counters in the status of a VM.
#[derive(Debug, Deserialize)]
struct Counts {
    /// Counters by metric name.
    counts: BTreeMap<String, u64>,
}

/// Embedded fleet under test.
pub struct Site {
    /// Routing policy of the VMs.
    policy: PolicyKind,
    /// Embedded fleet.
    embedded: replay::Fleet,
    /// HTTP client for the VMs, as callers use them.
    client: Fleet,
}

impl Site {
    /// Starts a fleet whose VMs use the policy.
    ///
    /// # Errors
    ///
    /// Fails when the fleet does not become ready.
    pub async fn start(scale: &Scale, policy: PolicyKind) -> Result<Site, CommandError> {
        let plan = FleetPlan {
            vms: scale.vms,
            minions: scale.minions,
            slots: Slots(SLOTS),
            ..FleetPlan::default()
        };
        let routing = RoutingConfig {
            policy,
            ..RoutingConfig::default()
        };
        let embedded = replay::Fleet::start_with(&plan, routing)
            .await
            .map_err(CommandError::Launch)?;
        let backends = embedded.backends().live();
        let client = Fleet::new(backends.iter().map(|b| b.addr).collect(), REQUEST_TIMEOUT);
        Ok(Site {
            policy,
            embedded,
            client,
        })
    }

    /// Returns the HTTP client for the VMs.
    pub fn client(&self) -> &Fleet {
        &self.client
    }

    /// Returns the number of tasks that run on minions now.
    pub fn running(&self) -> u32 {
        self.embedded.running()
    }

    /// Returns the number of tasks that have started.
    pub fn starts(&self) -> u64 {
        self.embedded.ledger().count()
    }

    /// Injects a fault.
    ///
    /// # Errors
    ///
    /// Fails when a part of the fleet can't be restarted.
    pub async fn begin(&mut self, fault: &Fault) -> Result<(), CommandError> {
        self.embedded
            .begin(fault)
            .await
            .map_err(CommandError::Launch)
    }

    /// Ends a fault.
    ///
    /// # Errors
    ///
    /// Fails when a part of the fleet can't be restarted.
    pub async fn end(&mut self, fault: &Fault) -> Result<(), CommandError> {
        self.embedded.end(fault).await.map_err(CommandError::Launch)
    }

    /// Sends a load that is not measured, so that the VMs learn the run times.
    ///
    /// # Errors
    ///
    /// Fails when tickets can't be fetched.
    pub async fn warm_up(&self, plan: &Plan, span: Millis) -> Result<(), CommandError> {
        let plan = Plan {
            duration: span,
            seed: plan.seed.wrapping_add(WARM_UP_SEED),
            ..plan.clone()
        };
        run(&self.client, plan, KeySource::Ticket, |_| {})
            .await
            .map(drop)
    }

    /// Sends a load and returns its results.
    ///
    /// # Errors
    ///
    /// Fails when tickets can't be fetched or a VM does not answer.
    pub async fn measure(&self, case: &str, plan: Plan) -> Result<Row, CommandError> {
        let before = self.counts().await?;
        let starts = self.starts();
        let report = run(&self.client, plan, KeySource::Ticket, |_| {}).await?;
        let mut counts = self.counts().await?;
        for (name, count) in &mut counts {
            *count -= before.get(name).copied().unwrap_or_default();
        }
        Ok(Row {
            case: case.into(),
            policy: self.policy,
            report,
            counts,
            starts: self.starts() - starts,
            double_starts: self.embedded.ledger().double_starts(),
        })
    }

    /// Returns the sums of the counters of all VMs.
    ///
    /// # Errors
    ///
    /// Fails when a VM does not answer.
    pub async fn counts(&self) -> Result<BTreeMap<String, u64>, CommandError> {
        let mut sums = BTreeMap::new();
        for &addr in self.client.vms() {
            let status: Counts = self
                .client
                .get(addr, "/v1/status")
                .await
                .map_err(|e| CommandError::Request(addr, e))?;
            for (name, count) in status.counts {
                *sums.entry(name).or_default() += count;
            }
        }
        Ok(sums)
    }

    /// Waits until no task runs. Returns whether that was so before the
    /// timeout.
    pub async fn wait_idle(&self) -> bool {
        let idle = async {
            while self.running() > 0 {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        tokio::time::timeout(REQUEST_TIMEOUT.duration(), idle)
            .await
            .is_ok()
    }
}
