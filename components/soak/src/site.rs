//! A site on loopback: VM processes, and stand-ins for all else.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use kernel::{Domain, Gpus, Mebibytes, MilliCores, Millis, MinionId, Service};
use nix::sys::signal::Signal;
use platform_standin::{
    MinionServer, OrderFaults, QueueRecord, StoreMode, StoreStandin, Topic, configuration, minion,
};
use schedule::{MinionInfo, Resources};
use standins::{Endpoint, Hops, LeasedFleet, Net, Relay};

use crate::error::SoakError;
use crate::plan::{Shape, Trouble, Way};
use crate::vm::{Around, Place, Vm};

/// The processors of a minion in cores; every fourth is larger.
const CORES: [u32; 4] = [32, 32, 32, 48];

/// How often a task may fail.
const ATTEMPTS: u32 = 3;

/// The one-way delay between domains while it is long.
const LONG_HOP: Duration = Duration::from_millis(40);

/// Counts the sites of this process, so that each has addresses of its own.
static SITES: AtomicU32 = AtomicU32::new(0);

/// Everything around the callers.
#[derive(Debug)]
pub struct Site {
    /// The minions.
    pub fleet: LeasedFleet,
    /// The VMs.
    pub vms: Vec<Vm>,
    /// When each version was published, on the minions' clock.
    pub versions: Vec<(u64, u64)>,
    /// When minions announced that they leave, on their clock, by the step of
    /// the plan.
    pub drained: Vec<(usize, MinionId, u64)>,
    /// VMs whose processes ended by themselves.
    pub ended: Vec<usize>,
    domains: Vec<Domain>,
    ids: Vec<MinionId>,
    faces: Vec<MinionServer>,
    /// Those that have crashed or left.
    away: Vec<bool>,
    store: StoreStandin,
    net: Net,
    sequence: u64,
}

/// Returns the service that all minions run.
fn service() -> Result<Service, SoakError> {
    "quotes".parse().map_err(SoakError::Name)
}

/// Returns the queue that every version has.
///
/// # Errors
///
/// Fails when its name is none, which is a fault of this program.
pub fn lasting_queue() -> Result<QueueRecord, SoakError> {
    queue("lasting")
}

/// Returns the queue that only one version has.
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
    /// Starts all stand-ins and VMs, whose settings and logs go into a folder.
    ///
    /// # Errors
    ///
    /// Fails when an address can't be bound, a file not written or the program
    /// not started.
    pub async fn start(shape: Shape, program: &Path, folder: &Path) -> Result<Site, SoakError> {
        let site = SITES.fetch_add(1, Ordering::Relaxed);
        let names = (0..shape.domains).map(|i| format!("d{i}").parse());
        let domains: Result<Vec<Domain>, _> = names.collect();
        let domains = domains.map_err(SoakError::Name)?;
        let net = Net::new(Hops::default());
        let store = StoreStandin::new();
        let fleet = LeasedFleet::new(minions(&domains, shape.minions)?);
        let mut whole = Site {
            ids: fleet.infos().into_iter().map(|m| m.id).collect(),
            fleet,
            vms: Vec::new(),
            versions: Vec::new(),
            drained: Vec::new(),
            ended: Vec::new(),
            domains,
            faces: Vec::new(),
            away: vec![false; shape.domains * shape.minions],
            store,
            net,
            sequence: 0,
        };
        whole.open_faces().await?;
        whole.publish_configuration()?;
        whole.beat();
        let places = Place::find(site, shape.vms, &whole.domains)?;
        for place in &places {
            whole.net.register(place.calls(), place.endpoint());
            whole.net.register(place.datagrams(), place.endpoint());
        }
        for place in &places {
            let around = Around {
                net: &whole.net,
                store: &whole.store,
                faces: &whole.faces,
                domains: &whole.domains,
            };
            let vm = Vm::open(place, &places, &around, program, folder).await?;
            whole.vms.push(vm);
        }
        for vm in &mut whole.vms {
            vm.process.start()?;
        }
        Ok(whole)
    }

    async fn open_faces(&mut self) -> Result<(), SoakError> {
        for (i, id) in self.ids.iter().enumerate() {
            let addr = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
            let face = MinionServer::start(self.fleet.clone(), id.clone(), addr, i as u64).await;
            let face = face.map_err(SoakError::Bind)?;
            let addr = face.addr();
            self.fleet.change(id, |m, _| m.info.addr = addr);
            let domain = self.fleet.infos()[i].domain.clone();
            self.net
                .register(addr, Endpoint::inside(&domain, id.as_str()));
            self.faces.push(face);
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

    /// Lets every minion that is there write its record.
    pub fn beat(&mut self) {
        for i in 0..self.ids.len() {
            if !self.away[i] {
                self.publish_minion(i);
            }
        }
    }

    fn publish_minion(&mut self, i: usize) {
        self.sequence += 1;
        let id = &self.ids[i];
        let info = self.fleet.infos().into_iter().find(|m| m.id == *id);
        if let Some(info) = info {
            let record = minion(&info, self.sequence);
            self.store.put(Topic::Register, id.as_str(), &record);
        }
    }

    /// Returns how often a VM's process was started.
    pub fn life(&self, vm: usize) -> u32 {
        self.vms[vm].process.starts()
    }

    /// Starts processes again that are down for long enough, kills those that
    /// don't stop, and notes those that have ended by themselves.
    ///
    /// # Errors
    ///
    /// Fails when the program can't be started.
    pub async fn tend(&mut self) -> Result<(), SoakError> {
        let now = Instant::now();
        for (i, vm) in self.vms.iter_mut().enumerate() {
            if vm.tend(now).await? {
                self.ended.push(i);
            }
        }
        Ok(())
    }

    /// Kills a VM's process; it stays down until [`Site::tend`].
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

    /// Begins a trouble, which is the plan's step of this index.
    ///
    /// # Errors
    ///
    /// Fails when a signal can't be sent.
    pub async fn begin(
        &mut self,
        trouble: Trouble,
        span: Millis,
        index: usize,
    ) -> Result<(), SoakError> {
        let until = Instant::now() + span.duration();
        match trouble {
            Trouble::Kill(vm) => self.vms[vm].kill(until).await,
            Trouble::KillAll => {
                for vm in &mut self.vms {
                    vm.kill(until).await;
                }
            }
            Trouble::Stop(vm) => self.vms[vm].stop(until)?,
            Trouble::Pause(vm) => self.vms[vm].process.signal(Signal::SIGSTOP)?,
            Trouble::Isolate(vm) => self.net.pause(&self.vms[vm].name),
            Trouble::Part(vm, way) => self.part(vm, way, true),
            Trouble::CutDomain(i) => self.net.cut(&self.domains[i]),
            Trouble::Delay => self.net.delay(Hops {
                domains: LONG_HOP,
                client: Duration::ZERO,
            }),
            Trouble::Reset(vm) => self.vms[vm].opened.iter().for_each(Relay::reset),
            Trouble::SilenceStore(vm) => self.vms[vm].door.silence(),
            Trouble::Store(vm, mode) => self.set_store(vm, mode),
            Trouble::Compact => self.store.compact(),
            Trouble::Crash(i) => self.leave(i),
            Trouble::SilenceMinion(i) => self.faces[i].silence(),
            Trouble::Slow(i, factor) => self.fleet.change(&self.ids[i], |m, _| m.slowness = factor),
            Trouble::Fail(i) => self.fleet.change(&self.ids[i], |m, _| m.fail_all = true),
            Trouble::Stall(i) => self.fleet.change(&self.ids[i], |m, _| m.stall()),
            Trouble::Drain(i) => {
                self.fleet
                    .change(&self.ids[i], |m, _| m.info.draining = true);
                self.publish_minion(i);
                let at = self.fleet.now();
                self.drained.push((index, self.ids[i].clone(), at));
            }
            Trouble::Orders(faults) => self.faces.iter().for_each(|f| f.set(faults)),
            Trouble::Configure => self.publish_configuration()?,
            // The load asks the plan.
            Trouble::Burst(_) => {}
        }
        Ok(())
    }

    /// Ends a trouble.
    ///
    /// # Errors
    ///
    /// Fails when a signal can't be sent, or a minion's address is taken.
    pub async fn end(&mut self, trouble: Trouble) -> Result<(), SoakError> {
        match trouble {
            Trouble::Pause(vm) => self.vms[vm].process.signal(Signal::SIGCONT)?,
            Trouble::Isolate(vm) => self.net.resume(&self.vms[vm].name),
            Trouble::Part(vm, way) => self.part(vm, way, false),
            Trouble::CutDomain(i) => self.net.heal(&self.domains[i]),
            Trouble::Delay => self.net.delay(Hops::default()),
            Trouble::Store(vm, _) => self.set_store(vm, StoreMode::Well),
            Trouble::Crash(i) => self.come_back(i).await?,
            Trouble::Drain(i) => {
                self.leave(i);
                self.store.put(Topic::Register, self.ids[i].as_str(), &[]);
                self.come_back(i).await?;
            }
            Trouble::Slow(i, _) => self.fleet.change(&self.ids[i], |m, _| m.slowness = 1.0),
            Trouble::Fail(i) => self.fleet.change(&self.ids[i], |m, _| m.fail_all = false),
            Trouble::Orders(_) => {
                let none = OrderFaults::default();
                self.faces.iter().for_each(|f| f.set(none));
            }
            _ => {}
        }
        Ok(())
    }

    fn part(&self, vm: usize, way: Way, on: bool) {
        let one = &self.vms[vm];
        for other in self.vms.iter().filter(|o| o.name != one.name) {
            if way != Way::In {
                self.net.partition(&one.name, &other.name, on);
            }
            if way != Way::Out {
                self.net.partition(&other.name, &one.name, on);
            }
        }
        if way != Way::Out {
            self.net.stall(one.called.addr(), on);
        }
    }

    fn set_store(&self, vm: Option<usize>, mode: StoreMode) {
        let all = self.vms.iter().enumerate();
        let concerned = all.filter(|(i, _)| vm.is_none_or(|v| v == *i));
        concerned.for_each(|(_, vm)| vm.door.set(mode));
    }

    /// Ends a minion's process with all that runs there.
    fn leave(&mut self, i: usize) {
        self.faces[i].kill();
        self.away[i] = true;
        self.fleet.change(&self.ids[i], |m, now| m.reborn(now));
    }

    async fn come_back(&mut self, i: usize) -> Result<(), SoakError> {
        if !std::mem::replace(&mut self.away[i], false) {
            return Ok(());
        }
        self.fleet
            .change(&self.ids[i], |m, _| m.info.draining = false);
        self.faces[i].restart().await.map_err(SoakError::Bind)?;
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
            });
        }
    }
    Ok(infos)
}
