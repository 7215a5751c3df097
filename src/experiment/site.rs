//! One embedded fleet and the load on it.

use std::collections::BTreeMap;
use std::time::Duration;

use kernel::{Millis, Slots};
use replay::{Fault, FleetPlan};
use routing::{PolicyKind, RoutingConfig};
use serde::Deserialize;

use crate::error::CommandError;
use crate::experiment::Row;
use crate::fleet::Fleet;
use crate::load::{Keys, Plan, run};

/// The mix of jobs: 8.9 tasks each on average, at most 140.
const MIX: &str = "quote:1:200ms:40,quote:3:200ms:30,quote:10:200ms:20,\
                   quote:35:200ms:8,quote:140:200ms:2";

/// The mean number of tasks of a job of the mix.
const MEAN_TASKS: f64 = 8.9;

/// The mean run time of a task in seconds: the median of 200 ms times the mean
/// over the median of a log-normal distribution with this spread.
const MEAN_RUN: f64 = 0.2394;

/// The sigma of the run times, in percent.
const SPREAD: u32 = 60;

/// How many teams the jobs are of.
const TEAMS: u32 = 8;

/// The slots of a minion.
const SLOTS: u32 = 8;

/// The failure domains of an embedded fleet.
const DOMAINS: u32 = 3;

/// What is added to the seed of the load that warms a fleet up.
const WARM_SEED: u64 = 1 << 32;

/// The longest wait for a VM's answer to anything but a submission.
const ASK_WAIT: Millis = Millis(3000);

/// The size of the fleets and the length of the runs.
#[derive(Debug, Clone, Copy)]
pub struct Scale {
    /// The entry VMs of each failure domain.
    pub vms: u32,
    /// The minions of each failure domain.
    pub minions: u32,
    /// For how long a load is measured.
    pub span: Millis,
    /// For how long a fleet is warmed up before.
    pub warm: Millis,
    /// Seeds the loads.
    pub seed: u64,
}

impl Scale {
    /// Returns the jobs a second that use a part of all slots.
    fn rate(&self, load: f64) -> u32 {
        let slots = f64::from(DOMAINS * self.minions * SLOTS);
        (slots / MEAN_RUN / MEAN_TASKS * load).round() as u32
    }

    /// Returns the load that uses a part of all slots.
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

/// A VM's counters.
#[derive(Debug, Deserialize)]
struct Counts {
    /// Each by its metric's name.
    counts: BTreeMap<String, u64>,
}

/// An embedded fleet under test.
pub struct Site {
    /// The policy of its VMs.
    policy: PolicyKind,
    /// The fleet.
    embedded: replay::Fleet,
    /// The fleet as callers reach it.
    callers: Fleet,
}

impl Site {
    /// Starts a fleet.
    ///
    /// # Errors
    ///
    /// Fails when it does not become ready.
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
        let callers = Fleet::new(backends.iter().map(|b| b.addr).collect(), ASK_WAIT);
        Ok(Site {
            policy,
            embedded,
            callers,
        })
    }

    /// Returns the fleet as callers reach it.
    pub fn callers(&self) -> &Fleet {
        &self.callers
    }

    /// Counts the tasks that run on minions now.
    pub fn running(&self) -> u32 {
        self.embedded.running()
    }

    /// Counts the tasks that have started.
    pub fn starts(&self) -> u64 {
        self.embedded.ledger().count()
    }

    /// Begins a fault.
    ///
    /// # Errors
    ///
    /// Fails when something can't be started again.
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
    /// Fails when something can't be started again.
    pub async fn end(&mut self, fault: &Fault) -> Result<(), CommandError> {
        self.embedded.end(fault).await.map_err(CommandError::Launch)
    }

    /// Sends a load that nobody measures, so that run times are learned.
    ///
    /// # Errors
    ///
    /// Fails when tickets can't be fetched.
    pub async fn warm_up(&self, plan: &Plan, span: Millis) -> Result<(), CommandError> {
        let plan = Plan {
            duration: span,
            seed: plan.seed.wrapping_add(WARM_SEED),
            ..plan.clone()
        };
        run(&self.callers, plan, Keys::Ticket, |_| {})
            .await
            .map(drop)
    }

    /// Sends a load and returns what became of it.
    ///
    /// # Errors
    ///
    /// Fails when tickets can't be fetched or a VM can't be asked.
    pub async fn measure(&self, case: &str, plan: Plan) -> Result<Row, CommandError> {
        let before = self.counts().await?;
        let starts = self.starts();
        let report = run(&self.callers, plan, Keys::Ticket, |_| {}).await?;
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

    /// Sums up the counters of all VMs.
    ///
    /// # Errors
    ///
    /// Fails when a VM can't be asked.
    pub async fn counts(&self) -> Result<BTreeMap<String, u64>, CommandError> {
        let mut sums = BTreeMap::new();
        for &addr in self.callers.vms() {
            let one: Counts = self
                .callers
                .get(addr, "/v1/status")
                .await
                .map_err(|e| CommandError::Ask(addr, e))?;
            for (name, count) in one.counts {
                *sums.entry(name).or_default() += count;
            }
        }
        Ok(sums)
    }

    /// Waits until no task runs, and tells whether that came about in time.
    pub async fn settled(&self) -> bool {
        let idle = async {
            while self.running() > 0 {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        tokio::time::timeout(ASK_WAIT.duration(), idle)
            .await
            .is_ok()
    }
}
