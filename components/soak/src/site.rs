//! A site on loopback: VM processes, and stand-ins for the platform and minions.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use kernel::{Domain, Gpus, Mebibytes, MilliCores, Millis, MinionId, Sequence, Service};
use nix::sys::signal::Signal;
use platform_standin::{
    MinionServer, OrderFaults, QueueRecord, StoreMode, StoreStandin, Topic, VmLimits,
    configuration, minion, odd_minion,
};
use schedule::{MinionInfo, Resources};
use standins::{Endpoint, Hops, LeasedFleet, Net, Relay};

use crate::check::Evacuation;
use crate::error::SoakError;
use crate::plan::{Direction, Fault, Shape};
use crate::vm::{Environment, Vm, VmAddrs};

/// Cores of the minions of a domain in turn: every fourth minion is larger.
const CORES: [u32; 4] = [32, 32, 32, 48];

/// Failures of a task after which its job fails.
const ATTEMPTS: u32 = 3;

/// One-way delay between domains during the delay fault.
const LONG_HOP: Duration = Duration::from_millis(40);

/// Number of sites started in this process, from which each gets its own
/// addresses.
static SITES: AtomicU32 = AtomicU32::new(0);

/// The VMs and the stand-ins around them.
#[derive(Debug)]
pub struct Site {
    /// The minions.
    pub fleet: LeasedFleet,
    /// The VMs.
    pub vms: Vec<Vm>,
    /// Each version with the time of its publication on the minions' clock.
    pub versions: Vec<(u64, u64)>,
    /// The minions that announced that they leave: the index of the step in the
    /// plan, the minion, and the time on the minions' clock.
    pub drained: Vec<(usize, MinionId, u64)>,
    /// The evacuations that the operator has asked for.
    pub evacuations: Vec<Evacuation>,
    /// The VMs whose processes ended by themselves.
    pub ended: Vec<usize>,
    domains: Vec<Domain>,
    ids: Vec<MinionId>,
    servers: Vec<MinionServer>,
    /// Whether each minion has crashed or left.
    down: Vec<bool>,
    store: StoreStandin,
    net: Net,
    sequence: u64,
}

/// Returns the service that all minions offer.
fn service() -> Result<Service, SoakError> {
    "quotes".parse().map_err(SoakError::Name)
}

/// Returns the queue that every version has.
///
/// # Errors
///
/// Fails when the generated name is invalid, which is a bug in this crate.
pub fn lasting_queue() -> Result<QueueRecord, SoakError> {
    queue("lasting")
}

/// Returns the queue that only this version has.
pub(crate) fn version_queue(version: u64) -> Result<QueueRecord, SoakError> {
    queue(&format!("version-{version}"))
}

fn queue(name: &str) -> Result<QueueRecord, SoakError> {
    Ok(QueueRecord {
        name: name.to_owned(),
        service: service()?,
        attempts: ATTEMPTS,
    })
}

impl Site {
    /// Starts all stand-ins and VMs. Settings and logs are written to `folder`.
    ///
    /// # Errors
    ///
    /// Fails when an address can't be bound, a file can't be written or the
    /// program can't be started.
    pub async fn start(shape: Shape, program: &Path, folder: &Path) -> Result<Site, SoakError> {
        Site::start_limited(shape, VmLimits::default(), program, folder).await
    }

    /// Starts a site like [`Site::start`], whose VMs have these limits.
    ///
    /// # Errors
    ///
    /// Fails like [`Site::start`].
    pub async fn start_limited(
        shape: Shape,
        limits: VmLimits,
        program: &Path,
        folder: &Path,
    ) -> Result<Site, SoakError> {
        let number = SITES.fetch_add(1, Ordering::Relaxed);
        let names = (0..shape.domains).map(|i| format!("d{i}").parse());
        let domains: Result<Vec<Domain>, _> = names.collect();
        let domains = domains.map_err(SoakError::Name)?;
        let net = Net::new(Hops::default());
        let store = StoreStandin::new();
        let fleet = LeasedFleet::new(minions(&domains, shape.minions)?);
        let mut site = Site {
            ids: fleet.infos().into_iter().map(|m| m.id).collect(),
            fleet,
            vms: Vec::new(),
            versions: Vec::new(),
            drained: Vec::new(),
            evacuations: Vec::new(),
            ended: Vec::new(),
            domains,
            servers: Vec::new(),
            down: vec![false; shape.domains * shape.minions],
            store,
            net,
            sequence: 0,
        };
        site.start_servers().await?;
        site.publish_configuration()?;
        site.heartbeat();
        let addrs = VmAddrs::find(number, shape.vms, &site.domains)?;
        for vm in &addrs {
            site.net.register(vm.peer_addr(), vm.endpoint());
            site.net.register(vm.heartbeat_addr(), vm.endpoint());
        }
        for vm in &addrs {
            let env = Environment {
                net: &site.net,
                store: &site.store,
                servers: &site.servers,
                domains: &site.domains,
                limits,
            };
            let vm = Vm::open(vm, &addrs, &env, program, folder).await?;
            site.vms.push(vm);
        }
        for vm in &mut site.vms {
            vm.process.start()?;
        }
        Ok(site)
    }

    async fn start_servers(&mut self) -> Result<(), SoakError> {
        for (i, id) in self.ids.iter().enumerate() {
            let addr = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
            let server = MinionServer::start(self.fleet.clone(), id.clone(), addr, i as u64).await;
            let server = server.map_err(SoakError::Bind)?;
            let addr = server.addr();
            self.fleet.change(id, |m, _| m.info.addr = addr);
            let domain = self.fleet.infos()[i].domain.clone();
            self.net
                .register(addr, Endpoint::inside(&domain, id.as_str()));
            self.servers.push(server);
        }
        Ok(())
    }

    /// Publishes the next version, with a queue of its own.
    fn publish_configuration(&mut self) -> Result<(), SoakError> {
        let version = self.versions.last().map_or(1, |(v, _)| v + 3);
        let queues = [lasting_queue()?, version_queue(version)?];
        let record = configuration(version, &queues);
        self.store.put(Topic::Operator, "config", &record);
        self.versions.push((version, self.fleet.now()));
        Ok(())
    }

    /// Returns the newest version.
    pub fn version(&self) -> u64 {
        self.versions.last().map_or(0, |(v, _)| *v)
    }

    /// Publishes the register record of every minion that is up.
    pub fn heartbeat(&mut self) {
        for i in 0..self.ids.len() {
            if !self.down[i] {
                self.publish_minion(i);
            }
        }
    }

    fn publish_minion(&mut self, i: usize) {
        self.publish(i, minion);
    }

    /// Publishes a record under a minion's id, written from its entry and the next
    /// sequence number.
    fn publish(&mut self, i: usize, write: impl Fn(&MinionInfo, u64) -> Vec<u8>) {
        self.sequence += 1;
        let id = &self.ids[i];
        let info = self.fleet.infos().into_iter().find(|m| m.id == *id);
        if let Some(info) = info {
            let record = write(&info, self.sequence);
            self.store.put(Topic::Register, id.as_str(), &record);
        }
    }

    /// Returns the incarnation of a VM's process, counted from 1.
    pub fn incarnation(&self, vm: usize) -> u32 {
        self.vms[vm].process.starts()
    }

    /// Restarts processes whose down time is over, kills those that don't stop in
    /// time, and records those that have ended by themselves.
    ///
    /// # Errors
    ///
    /// Fails when the program can't be started.
    pub async fn supervise(&mut self) -> Result<(), SoakError> {
        let now = Instant::now();
        for (i, vm) in self.vms.iter_mut().enumerate() {
            if vm.supervise(now).await? {
                self.ended.push(i);
            }
        }
        Ok(())
    }

    /// Kills a VM's process. It stays down until [`Site::supervise`] is called.
    ///
    /// # Errors
    ///
    /// Fails when the signal can't be sent.
    pub fn kill_process(&self, vm: usize) -> Result<(), SoakError> {
        self.vms[vm].process.signal(Signal::SIGKILL)
    }

    /// Kills all processes.
    pub async fn kill_all(&mut self) {
        for vm in &mut self.vms {
            vm.process.kill().await;
        }
    }

    /// Begins a fault, which is step `index` of the plan.
    ///
    /// # Errors
    ///
    /// Fails when a signal can't be sent.
    pub async fn begin(
        &mut self,
        fault: Fault,
        span: Millis,
        index: usize,
    ) -> Result<(), SoakError> {
        let until = Instant::now() + span.duration();
        match fault {
            Fault::Kill(vm) => self.vms[vm].kill(until).await,
            Fault::KillAll => {
                for vm in &mut self.vms {
                    vm.kill(until).await;
                }
            }
            Fault::Stop(vm) => self.vms[vm].stop(until)?,
            Fault::Pause(vm) => self.vms[vm].process.signal(Signal::SIGSTOP)?,
            Fault::Isolate(vm) => self.net.pause(&self.vms[vm].name),
            Fault::Part(vm, direction) => self.partition(vm, direction, true),
            Fault::CutDomain(i) => self.net.cut(&self.domains[i]),
            Fault::Delay => self.net.delay(Hops {
                domains: LONG_HOP,
                client: Duration::ZERO,
            }),
            Fault::Reset(vm) => self.vms[vm].outbound.iter().for_each(Relay::reset),
            Fault::SilenceStore(vm) => self.vms[vm].store_endpoint.silence(),
            Fault::Store(vm, mode) => self.set_store(vm, mode),
            Fault::Compact => self.store.compact(),
            Fault::Crash(i) => self.stop_minion(i),
            Fault::SilenceMinion(i) => self.servers[i].silence(),
            Fault::Slow(i, factor) => self.fleet.change(&self.ids[i], |m, _| m.slowness = factor),
            Fault::Fail(i) => self.fleet.change(&self.ids[i], |m, _| m.fail_all = true),
            Fault::Stall(i) => self.fleet.change(&self.ids[i], |m, _| m.stall()),
            Fault::Drain(i) => {
                self.fleet
                    .change(&self.ids[i], |m, _| m.info.draining = true);
                self.publish_minion(i);
                let at = self.fleet.now();
                self.drained.push((index, self.ids[i].clone(), at));
            }
            Fault::Orders(faults) => self.servers.iter().for_each(|s| s.set(faults)),
            Fault::Configure => self.publish_configuration()?,
            // The run sets these of the load.
            Fault::Burst(_) | Fault::Poison(_) => {}
            Fault::Shrink(i) => self.resize(i, |cpu| cpu / 2),
            Fault::Evacuate(i) => self.evacuate(i),
            Fault::OddEntry(i, variant) => {
                self.publish(i, |info, sequence| odd_minion(info, sequence, variant));
            }
        }
        Ok(())
    }

    /// Ends a fault.
    ///
    /// # Errors
    ///
    /// Fails when a signal can't be sent, or a minion's address is taken.
    pub async fn end(&mut self, fault: Fault) -> Result<(), SoakError> {
        match fault {
            Fault::Pause(vm) => self.vms[vm].process.signal(Signal::SIGCONT)?,
            Fault::Isolate(vm) => self.net.resume(&self.vms[vm].name),
            Fault::Part(vm, direction) => self.partition(vm, direction, false),
            Fault::CutDomain(i) => self.net.heal(&self.domains[i]),
            Fault::Delay => self.net.delay(Hops::default()),
            Fault::Store(vm, _) => self.set_store(vm, StoreMode::Well),
            Fault::Crash(i) => self.restart_minion(i).await?,
            Fault::Drain(i) => {
                self.stop_minion(i);
                self.store.put(Topic::Register, self.ids[i].as_str(), &[]);
                self.restart_minion(i).await?;
            }
            Fault::Slow(i, _) => self.fleet.change(&self.ids[i], |m, _| m.slowness = 1.0),
            Fault::Fail(i) => self.fleet.change(&self.ids[i], |m, _| m.fail_all = false),
            Fault::Shrink(i) => self.resize(i, |cpu| cpu * 2),
            Fault::Evacuate(i) => self.end_evacuation(i),
            Fault::Orders(_) => {
                let none = OrderFaults::default();
                self.servers.iter().for_each(|s| s.set(none));
            }
            _ => {}
        }
        Ok(())
    }

    /// Changes the cores of a minion while it runs.
    fn resize(&mut self, i: usize, change: impl Fn(u32) -> u32) {
        self.fleet.change(&self.ids[i], |minion, now| {
            let mut capacity = minion.info.capacity;
            capacity.cpu = MilliCores(change(capacity.cpu.0));
            minion.resize(capacity, now);
        });
        if !self.down[i] {
            self.publish_minion(i);
        }
    }

    /// Has a domain evacuated, as the operator does.
    fn evacuate(&mut self, i: usize) {
        let domain = &self.domains[i];
        self.store
            .put(Topic::Operator, &format!("evacuate/{domain}"), b"{}");
        self.evacuations.push(Evacuation {
            domain: domain.clone(),
            begun: self.fleet.now(),
            ended: None,
        });
    }

    /// Ends the first evacuation of a domain that has not ended, and withdraws the
    /// request unless another one of the domain goes on.
    fn end_evacuation(&mut self, i: usize) {
        let domain = &self.domains[i];
        let ongoing = self.evacuations.iter_mut();
        let mut ongoing = ongoing.filter(|e| e.ended.is_none() && e.domain == *domain);
        if let Some(first) = ongoing.next() {
            first.ended = Some(self.fleet.now());
        }
        if ongoing.next().is_none() {
            self.store
                .put(Topic::Operator, &format!("evacuate/{domain}"), &[]);
        }
    }

    fn partition(&self, vm: usize, direction: Direction, on: bool) {
        let one = &self.vms[vm];
        for other in self.vms.iter().filter(|o| o.name != one.name) {
            if direction != Direction::In {
                self.net.partition(&one.name, &other.name, on);
            }
            if direction != Direction::Out {
                self.net.partition(&other.name, &one.name, on);
            }
        }
        if direction != Direction::Out {
            self.net.stall(one.inbound.addr(), on);
        }
    }

    fn set_store(&self, vm: Option<usize>, mode: StoreMode) {
        let all = self.vms.iter().enumerate();
        let affected = all.filter(|(i, _)| vm.is_none_or(|v| v == *i));
        affected.for_each(|(_, vm)| vm.store_endpoint.set(mode));
    }

    /// Ends a minion's process and the tasks that run on it.
    fn stop_minion(&mut self, i: usize) {
        self.servers[i].kill();
        self.down[i] = true;
        self.fleet.change(&self.ids[i], |m, now| m.restart(now));
    }

    /// Restarts a minion's process if it is down.
    async fn restart_minion(&mut self, i: usize) -> Result<(), SoakError> {
        if !std::mem::replace(&mut self.down[i], false) {
            return Ok(());
        }
        self.fleet
            .change(&self.ids[i], |m, _| m.info.draining = false);
        self.servers[i].restart().await.map_err(SoakError::Bind)?;
        self.publish_minion(i);
        Ok(())
    }
}

fn minions(domains: &[Domain], each: usize) -> Result<Vec<MinionInfo>, SoakError> {
    let mut infos = Vec::new();
    for domain in domains {
        for i in 0..each {
            let id = format!("m-{domain}-{i}").parse();
            infos.push(MinionInfo {
                id: id.map_err(SoakError::Name)?,
                addr: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
                domain: domain.clone(),
                service: service()?,
                capacity: Resources {
                    cpu: MilliCores(CORES[i % CORES.len()] * 1_000),
                    memory: Mebibytes(131_072),
                    gpus: Gpus(0),
                },
                labels: vec!["a".into()],
                draining: false,
                born: 1,
                sequence: Sequence(0),
                kind: "a".into(),
            });
        }
    }
    Ok(infos)
}
