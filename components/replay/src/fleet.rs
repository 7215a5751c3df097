//! The embedded fleet: real entry VMs, and stand-ins for all around them.

use std::time::{Duration, Instant};

use compact_str::CompactString;
use kernel::{Cores, Domain, HashMap, Millis, MinionId, VmId};
use logstore::{MachineList, Presence, VmRow};
use routing::RoutingConfig;
use standins::{
    Endpoint, Hops, Ledger, MinionConfig, MinionStandin, Net, PlatformConfig, PlatformStandin,
};

use crate::doors::{Door, Doors};
use crate::trace::{Fault, FleetPlan, LogFault, MinionFault, VmFault};
use crate::vm::{EmbeddedVm, LaunchError, config};
use crate::watch::{Watch, first_sheet};

/// The cores of each worker.
const WORKER_CORES: Cores = Cores(30);

/// How long a planned stop may take.
pub(crate) const STOP_WAIT: Millis = Millis(15_000);

/// The longest wait for all VMs to become ready.
const READY_WAIT: Duration = Duration::from_secs(15);

/// The one-way delays of the brief's sites.
const HOPS: Hops = Hops {
    domains: Duration::from_micros(1500),
    client: Duration::from_millis(1),
};

/// A running fleet.
pub struct Fleet {
    /// The network.
    net: Net,
    /// The platform.
    platform: PlatformStandin,
    /// What minions have started.
    ledger: Ledger,
    /// The minions.
    minions: HashMap<MinionId, MinionStandin>,
    /// The VMs that run.
    vms: HashMap<VmId, EmbeddedVm>,
    /// The last row of each VM.
    rows: HashMap<VmId, VmRow>,
    /// What callers see of the VMs.
    doors: Doors,
    /// When planned stops began.
    stops: Vec<(VmId, Instant)>,
    /// How the VMs pick minions.
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

    /// Starts a fleet whose VMs pick minions as these settings say.
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
            doors: Doors::default(),
            stops: Vec::new(),
            routing,
        };
        fleet.start_minions(plan).await?;
        first_sheet(&fleet.net, fleet.platform.addr()).await;
        for (id, domain) in plan.vms() {
            fleet.start_vm(&id, &domain).await?;
        }
        fleet.list();
        fleet.await_ready().await?;
        Ok(fleet)
    }

    /// Returns the network, for callers.
    pub fn net(&self) -> &Net {
        &self.net
    }

    /// Counts the tasks that run on minions now.
    pub fn running(&self) -> u32 {
        self.minions.values().map(MinionStandin::running).sum()
    }

    /// Returns the platform.
    pub fn platform(&self) -> &PlatformStandin {
        &self.platform
    }

    /// Returns what minions have started.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// Returns what callers see of the VMs.
    pub fn doors(&self) -> &Doors {
        &self.doors
    }

    /// Returns when planned stops began.
    pub fn stops(&self) -> &[(VmId, Instant)] {
        &self.stops
    }

    /// Begins a fault.
    ///
    /// # Errors
    ///
    /// Fails when a VM that returns can't start.
    pub async fn begin(&mut self, fault: &Fault) -> Result<(), LaunchError> {
        match fault {
            Fault::Minion(id, fault) => self.begin_minion(id, *fault),
            Fault::Vm(id, VmFault::Dies) => self.kill(id),
            Fault::Vm(id, VmFault::Returns) => self.return_vm(id).await?,
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
    /// Fails when a VM or minion that returns can't start.
    pub async fn end(&mut self, fault: &Fault) -> Result<(), LaunchError> {
        match fault {
            Fault::Minion(id, fault) => self.end_minion(id, *fault).await?,
            Fault::Vm(id, VmFault::Dies | VmFault::Stops) => self.return_vm(id).await?,
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
        self.list();
        Ok(())
    }

    async fn start_vm(&mut self, id: &VmId, domain: &Domain) -> Result<(), LaunchError> {
        let seeds = self.rows.values().map(|row| row.peers).collect();
        let any = config(id.clone(), domain.clone(), self.platform.addr(), seeds);
        let at = Endpoint::inside(domain, id.as_str());
        let mut same = any.clone();
        if let Some(row) = self.rows.get(id) {
            same.callers = row.callers;
            same.peers = row.peers;
        }
        let vm = match EmbeddedVm::start(same, self.routing.clone(), self.net.at(at.clone())).await
        {
            Ok(vm) => vm,
            // The old address is not free yet.
            Err(LaunchError::Start(_)) => {
                EmbeddedVm::start(any, self.routing.clone(), self.net.at(at.clone())).await?
            }
            Err(e) => return Err(e),
        };
        let row = vm.row();
        self.net.register(row.callers, at.clone());
        self.net.register(row.peers, at);
        self.doors.put(Door {
            vm: id.clone(),
            domain: domain.clone(),
            addr: row.callers,
            live: true,
        });
        self.rows.insert(id.clone(), row);
        self.vms.insert(id.clone(), vm);
        Ok(())
    }

    /// Sets the platform's list, without lag.
    fn list(&self) {
        let mut list = MachineList {
            vms: self.rows.values().cloned().collect(),
            minions: self.minions.values().map(MinionStandin::row).collect(),
        };
        list.vms.sort_by(|a, b| a.id.cmp(&b.id));
        list.minions.sort_by(|a, b| a.id.cmp(&b.id));
        self.platform.set(list);
    }

    async fn await_ready(&self) -> Result<(), LaunchError> {
        let watch = Watch::new(self.net.clone(), self.doors.clone());
        let begin = Instant::now();
        while begin.elapsed() < READY_WAIT {
            let seen = watch.look().await;
            let ready = seen.iter().all(|s| s.ready && s.log == "answers");
            if ready && seen.len() == self.vms.len() {
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
        self.doors.set_live(id, false);
        self.vms.remove(id);
        self.unlist(id.as_str().into());
    }

    fn unlist(&self, id: CompactString) {
        self.platform
            .change(|list| list.vms.retain(|v| v.id.as_str() != id));
    }

    fn stop(&mut self, id: &VmId) {
        let Some(vm) = self.vms.remove(id) else {
            return;
        };
        self.stops.push((id.clone(), Instant::now()));
        self.doors.set_live(id, false);
        let row = vm.row();
        self.platform.change(|list| {
            let leaving = list.vms.iter_mut().filter(|v| v.id == row.id);
            leaving.for_each(|v| v.presence = Presence::Leaving);
        });
        let platform = self.platform.clone();
        tokio::spawn(async move {
            vm.stop(STOP_WAIT).await;
            // Another VM may have taken the name meanwhile.
            platform.change(|list| list.vms.retain(|v| v.peers != row.peers));
        });
    }

    async fn return_vm(&mut self, id: &VmId) -> Result<(), LaunchError> {
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
