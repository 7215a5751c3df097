//! The embedded fleet: real entry VMs, with stand-ins for the platform and the
//! minions.

use std::time::{Duration, Instant};

use compact_str::CompactString;
use kernel::{Cores, Domain, HashMap, Millis, MinionId, VmId};
use logstore::{MachineList, Presence, VmRow};
use routing::RoutingConfig;
use standins::{
    Endpoint, Hops, Ledger, MinionConfig, MinionStandin, Net, PlatformConfig, PlatformStandin,
};

use crate::backends::{Backend, Backends};
use crate::monitor::{Monitor, publish_first_sheet};
use crate::trace::{Fault, FleetPlan, LogFault, MinionFault, VmFault};
use crate::vm::{EmbeddedVm, LaunchError, config};

/// Number of cores of each worker.
const WORKER_CORES: Cores = Cores(30);

/// Longest time that a planned stop may take.
pub(crate) const STOP_WAIT: Millis = Millis(15_000);

/// Longest time to wait until all VMs are ready.
const READY_WAIT: Duration = Duration::from_secs(15);

/// One-way network delays between failure domains and to callers, as given in the
/// users' brief.
const HOPS: Hops = Hops {
    domains: Duration::from_micros(1500),
    client: Duration::from_millis(1),
};

/// A running fleet with its platform and network.
pub struct Fleet {
    /// Simulated network.
    net: Net,
    /// Stand-in for the platform.
    platform: PlatformStandin,
    /// Ledger of the tasks that minions started.
    ledger: Ledger,
    /// Stand-ins for the minions.
    minions: HashMap<MinionId, MinionStandin>,
    /// Running VMs.
    vms: HashMap<VmId, EmbeddedVm>,
    /// Last row of each VM in the platform's VM list.
    rows: HashMap<VmId, VmRow>,
    /// VMs as the balancer's backends.
    backends: Backends,
    /// VMs and times of the planned stops.
    stops: Vec<(VmId, Instant)>,
    /// Routing settings of the VMs.
    routing: RoutingConfig,
}

impl Fleet {
    /// Starts a fleet with a first sheet, and waits until every VM has it.
    ///
    /// # Errors
    ///
    /// Fails when something can't start or does not become ready.
    pub async fn start(plan: &FleetPlan) -> Result<Fleet, LaunchError> {
        Fleet::start_with(plan, RoutingConfig::default()).await
    }

    /// Starts a fleet whose VMs use these routing settings.
    ///
    /// # Errors
    ///
    /// Fails when something can't start or does not become ready.
    pub async fn start_with(
        plan: &FleetPlan,
        routing: RoutingConfig,
    ) -> Result<Fleet, LaunchError> {
        let platform = PlatformStandin::start(PlatformConfig::default()).await?;
        let net = Net::new(HOPS);
        net.register(platform.addr(), Endpoint::platform());
        let mut fleet = Fleet {
            net,
            platform,
            ledger: Ledger::default(),
            minions: HashMap::default(),
            vms: HashMap::default(),
            rows: HashMap::default(),
            backends: Backends::default(),
            stops: Vec::new(),
            routing,
        };
        fleet.start_minions(plan).await?;
        publish_first_sheet(&fleet.net, fleet.platform.addr()).await;
        for (id, domain) in plan.vms() {
            fleet.start_vm(&id, &domain).await?;
        }
        fleet.publish_list();
        fleet.wait_until_ready().await?;
        Ok(fleet)
    }

    /// Returns the simulated network.
    pub fn net(&self) -> &Net {
        &self.net
    }

    /// Returns the number of tasks that are running on minions.
    pub fn running(&self) -> u32 {
        self.minions.values().map(MinionStandin::running).sum()
    }

    /// Returns the stand-in for the platform.
    pub fn platform(&self) -> &PlatformStandin {
        &self.platform
    }

    /// Returns the ledger of the tasks that minions started.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// Returns the VMs as the balancer's backends.
    pub fn backends(&self) -> &Backends {
        &self.backends
    }

    /// Returns the VMs and times of the planned stops.
    pub fn stops(&self) -> &[(VmId, Instant)] {
        &self.stops
    }

    /// Begins a fault.
    ///
    /// # Errors
    ///
    /// Fails when a VM can't be restarted.
    pub async fn begin(&mut self, fault: &Fault) -> Result<(), LaunchError> {
        match fault {
            Fault::Minion(id, fault) => self.begin_minion(id, *fault),
            Fault::Vm(id, VmFault::Dies) => self.kill(id),
            Fault::Vm(id, VmFault::Returns) => self.restart_vm(id).await?,
            Fault::Vm(id, VmFault::Stops) => self.stop(id),
            Fault::Vm(id, VmFault::Pauses) => self.net.pause(id.as_str()),
            Fault::Log(LogFault::Down) => self.platform.down(true),
            Fault::Log(LogFault::Slow(delay)) => self.platform.slow(delay.duration()),
            Fault::Log(LogFault::LosesAnswers) => self.platform.lose_answers(true),
            Fault::Log(LogFault::Trims(keep)) => self.platform.trim(*keep),
            Fault::Cut(domain) => self.net.cut(domain),
        }
        Ok(())
    }

    /// Ends a fault.
    ///
    /// # Errors
    ///
    /// Fails when a VM or minion can't be restarted.
    pub async fn end(&mut self, fault: &Fault) -> Result<(), LaunchError> {
        match fault {
            Fault::Minion(id, fault) => self.end_minion(id, *fault).await?,
            Fault::Vm(id, VmFault::Dies | VmFault::Stops) => self.restart_vm(id).await?,
            Fault::Vm(id, VmFault::Pauses) => self.net.resume(id.as_str()),
            Fault::Log(LogFault::Down) => self.platform.down(false),
            Fault::Log(LogFault::Slow(_)) => self.platform.slow(Duration::ZERO),
            Fault::Log(LogFault::LosesAnswers) => self.platform.lose_answers(false),
            Fault::Cut(domain) => self.net.heal(domain),
            Fault::Vm(_, VmFault::Returns) | Fault::Log(LogFault::Trims(_)) => {}
        }
        Ok(())
    }

    async fn start_minions(&mut self, plan: &FleetPlan) -> Result<(), LaunchError> {
        for (id, domain) in plan.minions() {
            let config = MinionConfig {
                id: id.clone(),
                domain: domain.clone(),
                services: plan.services.clone(),
                slots: plan.slots,
                cores: WORKER_CORES,
            };
            let minion = MinionStandin::start(config, self.ledger.clone()).await?;
            let at = Endpoint::inside(&domain, id.as_str());
            self.net.register(minion.addr(), at);
            self.minions.insert(id, minion);
        }
        self.publish_list();
        Ok(())
    }

    async fn start_vm(&mut self, id: &VmId, domain: &Domain) -> Result<(), LaunchError> {
        let seeds = self.rows.values().map(|row| row.peers).collect();
        let new_addrs = config(id.clone(), domain.clone(), self.platform.addr(), seeds);
        let at = Endpoint::inside(domain, id.as_str());
        let mut same_addrs = new_addrs.clone();
        if let Some(row) = self.rows.get(id) {
            same_addrs.callers = row.callers;
            same_addrs.peers = row.peers;
        }
        let vm = match EmbeddedVm::start(same_addrs, self.routing.clone(), self.net.at(at.clone()))
            .await
        {
            Ok(vm) => vm,
            // The old addresses may still be in use.
            Err(LaunchError::Start(_)) => {
                EmbeddedVm::start(new_addrs, self.routing.clone(), self.net.at(at.clone())).await?
            }
            Err(e) => return Err(e),
        };
        let row = vm.row();
        self.net.register(row.callers, at.clone());
        self.net.register(row.peers, at);
        self.backends.insert(Backend {
            vm: id.clone(),
            domain: domain.clone(),
            addr: row.callers,
            live: true,
        });
        self.rows.insert(id.clone(), row);
        self.vms.insert(id.clone(), vm);
        Ok(())
    }

    /// Sets the platform's machine list at once, without its usual lag.
    fn publish_list(&self) {
        let mut machines = MachineList {
            vms: self.rows.values().cloned().collect(),
            minions: self.minions.values().map(MinionStandin::row).collect(),
        };
        machines.vms.sort_by(|a, b| a.id.cmp(&b.id));
        machines.minions.sort_by(|a, b| a.id.cmp(&b.id));
        self.platform.set(machines);
    }

    async fn wait_until_ready(&self) -> Result<(), LaunchError> {
        let monitor = Monitor::new(self.net.clone(), self.backends.clone());
        let begin = Instant::now();
        while begin.elapsed() < READY_WAIT {
            let statuses = monitor.statuses().await;
            let ready = statuses.iter().all(|s| s.ready && s.log == "answers");
            if ready && statuses.len() == self.vms.len() {
                return Ok(());
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        Err(LaunchError::NotReady)
    }

    fn begin_minion(&self, id: &MinionId, fault: MinionFault) {
        let Some(minion) = self.minions.get(id) else {
            return;
        };
        match fault {
            MinionFault::Dies => minion.kill(),
            MinionFault::FailsAll => minion.fail_all(true),
            MinionFault::Slow(factor) => minion.slow(factor),
            MinionFault::Silent => self.net.silence(minion.addr()),
            MinionFault::Leaves => {
                minion.leave();
                let row = minion.row();
                self.platform.change(|list| {
                    list.minions.retain(|m| m.id != row.id);
                    list.minions.push(row);
                });
            }
        }
    }

    async fn end_minion(&self, id: &MinionId, fault: MinionFault) -> Result<(), LaunchError> {
        let Some(minion) = self.minions.get(id) else {
            return Ok(());
        };
        match fault {
            MinionFault::Dies => minion.restart().await?,
            MinionFault::FailsAll => minion.fail_all(false),
            MinionFault::Slow(_) => minion.slow(1.0),
            MinionFault::Silent | MinionFault::Leaves => {}
        }
        Ok(())
    }

    fn kill(&mut self, id: &VmId) {
        self.backends.set_live(id, false);
        self.vms.remove(id);
        self.remove_from_list(id.as_str().into());
    }

    fn remove_from_list(&self, id: CompactString) {
        self.platform
            .change(|list| list.vms.retain(|v| v.id.as_str() != id));
    }

    fn stop(&mut self, id: &VmId) {
        let Some(vm) = self.vms.remove(id) else {
            return;
        };
        self.stops.push((id.clone(), Instant::now()));
        self.backends.set_live(id, false);
        let row = vm.row();
        self.platform.change(|list| {
            let leaving = list.vms.iter_mut().filter(|v| v.id == row.id);
            leaving.for_each(|v| v.presence = Presence::Leaving);
        });
        let platform = self.platform.clone();
        tokio::spawn(async move {
            vm.stop(STOP_WAIT).await;
            // A new VM may have taken the id meanwhile, so the row is found by its
            // address.
            platform.change(|list| list.vms.retain(|v| v.peers != row.peers));
        });
    }

    async fn restart_vm(&mut self, id: &VmId) -> Result<(), LaunchError> {
        let Some(row) = self.rows.get(id).cloned() else {
            return Ok(());
        };
        if self.vms.contains_key(id) {
            return Ok(());
        }
        self.start_vm(id, &row.domain).await?;
        if let Some(row) = self.rows.get(id).cloned() {
            self.platform.change(|list| {
                list.vms.retain(|v| v.id != row.id);
                list.vms.push(row);
            });
        }
        Ok(())
    }
}
