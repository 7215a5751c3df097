//! A VM's process with the relays that stand between it and all else.

use std::fs;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::Path;
use std::time::{Duration, Instant};

use kernel::{Domain, HashMap};
use nix::sys::signal::Signal;
use platform_standin::{MinionServer, StoreEndpoint, StoreStandin, VmRecord, settings};
use standins::{DatagramRelay, Endpoint, Net, Relay};

use crate::error::SoakError;
use crate::process::Process;

/// How long a stopping process may take before it is killed, as the platform
/// does it (`bounds.grace-s` of the settings).
const GRACE: Duration = Duration::from_secs(6);

/// The first host of VMs' own addresses, and of those where others call them.
const VM_HOST: u8 = 1;
const CALLED_HOST: u8 = 128;

/// How many VMs a settings file names as seeds, as the platform does.
const SEEDS: usize = 3;

/// Where a VM listens and is called.
#[derive(Debug)]
pub(crate) struct Place {
    pub name: String,
    pub domain: Domain,
    /// Where it listens.
    pub ip: Ipv4Addr,
    /// Where a relay takes what others send it.
    pub called: Ipv4Addr,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    /// The ports of calls and of beats, the same on all VMs.
    pub peers: u16,
    pub beats: u16,
}

impl Place {
    /// Finds free addresses for `count` VMs, dealt out to the domains in turn.
    pub fn find(site: u32, count: usize, domains: &[Domain]) -> Result<Vec<Place>, SoakError> {
        let first = address(site, VM_HOST);
        let peers = free_port(first, &[])?;
        let beats = free_port(first, &[peers])?;
        let mut places = Vec::new();
        for i in 0..count {
            let ip = address(site, VM_HOST + i as u8);
            places.push(Place {
                name: format!("vm-{i}"),
                domain: domains[i % domains.len()].clone(),
                ip,
                called: address(site, CALLED_HOST + i as u8),
                front: SocketAddr::from((ip, free_port(ip, &[peers, beats])?)),
                ready: SocketAddr::from((ip, free_port(ip, &[peers, beats])?)),
                peers,
                beats,
            });
        }
        Ok(places)
    }

    /// Returns who the VM is on the network.
    pub fn endpoint(&self) -> Endpoint {
        Endpoint::inside(&self.domain, &self.name)
    }

    /// Returns where others call it.
    pub fn calls(&self) -> SocketAddr {
        SocketAddr::from((self.called, self.peers))
    }

    /// Returns where others send their beats.
    pub fn datagrams(&self) -> SocketAddr {
        SocketAddr::from((self.called, self.beats))
    }
}

/// Returns an address of loopback that only this site uses.
fn address(site: u32, host: u8) -> Ipv4Addr {
    let key = std::process::id().wrapping_mul(16).wrapping_add(site);
    let [.., high, low] = key.to_be_bytes();
    Ipv4Addr::new(127, 1 + high % 250, low, host)
}

/// Returns a free port that is none of those promised to others, which are not
/// in use yet.
fn free_port(ip: Ipv4Addr, promised: &[u16]) -> Result<u16, SoakError> {
    loop {
        let listener = TcpListener::bind((ip, 0)).and_then(|l| l.local_addr());
        let port = listener.map_err(SoakError::Bind)?.port();
        if !promised.contains(&port) {
            return Ok(port);
        }
    }
}

/// What stands around the VMs.
pub(crate) struct Around<'a> {
    pub net: &'a Net,
    pub store: &'a StoreStandin,
    pub faces: &'a [MinionServer],
    pub domains: &'a [Domain],
}

/// A VM with its relays.
#[derive(Debug)]
pub struct Vm {
    /// Its name.
    pub name: String,
    /// Where callers reach it.
    pub front: SocketAddr,
    /// Where it tells whether it is ready.
    pub ready: SocketAddr,
    pub(crate) process: Process,
    pub(crate) door: StoreEndpoint,
    /// Where others call it; the relay passes on to it.
    pub(crate) called: Relay,
    /// To the store and to each minion.
    pub(crate) opened: Vec<Relay>,
    _beats: DatagramRelay,
    /// Until when it is not started again.
    down: Option<Instant>,
    /// When it is killed, as it was asked to stop.
    kill: Option<Instant>,
}

impl Vm {
    /// Opens a VM's relays and writes its settings.
    pub(crate) async fn open(
        place: &Place,
        all: &[Place],
        around: &Around<'_>,
        program: &Path,
        folder: &Path,
    ) -> Result<Vm, SoakError> {
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let net = around.net.at(place.endpoint());
        let door = around.store.open(any).await.map_err(SoakError::Bind)?;
        net.register(door.addr(), Endpoint::platform());
        let mut opened = vec![relay(any, door.addr(), &net).await?];
        let store = opened[0].addr();
        for face in around.faces {
            let relay = relay(any, face.addr(), &net).await?;
            door.redirect(face.addr(), relay.addr());
            opened.push(relay);
        }
        // Who calls can't be told from a connection, so only faults of the
        // called one hold it up.
        let own = SocketAddr::from((place.ip, place.peers));
        let called = relay(place.calls(), own, around.net).await?;
        let senders = all.iter();
        let senders = senders.map(|p| (IpAddr::from(p.ip), net.at(p.endpoint())));
        let senders: HashMap<IpAddr, Net> = senders.collect();
        let own = SocketAddr::from((place.ip, place.beats));
        let beats = DatagramRelay::start(place.datagrams(), own, senders).await;
        let record = VmRecord {
            name: place.name.clone(),
            ip: place.ip,
            domain: place.domain.clone(),
            domains: around.domains.to_vec(),
            front: place.front,
            ready: place.ready,
            peers: place.calls(),
            heartbeat_port: place.beats,
            seeds: all.iter().take(SEEDS).map(Place::calls).collect(),
            store,
        };
        let path = folder.join(format!("{}.conf", place.name));
        let written = fs::write(&path, settings(&record));
        written.map_err(|e| SoakError::File(path.clone(), e))?;
        let log = folder.join(format!("{}.log", place.name));
        Ok(Vm {
            name: place.name.clone(),
            front: place.front,
            ready: place.ready,
            process: Process::new(program, path, log),
            door,
            called,
            opened,
            _beats: beats.map_err(SoakError::Bind)?,
            down: None,
            kill: None,
        })
    }

    /// Kills the process; it is not started again before `until`.
    pub(crate) async fn kill(&mut self, until: Instant) {
        self.process.kill().await;
        self.down = Some(until);
    }

    /// Asks the process to stop; it is not started again before `until`.
    pub(crate) fn stop(&mut self, until: Instant) -> Result<(), SoakError> {
        self.process.signal(Signal::SIGTERM)?;
        self.kill = Some(Instant::now() + GRACE);
        self.down = Some(until);
        Ok(())
    }

    /// Starts the process again if it is down for long enough, or kills it if
    /// it does not stop. Returns true if it has ended by itself.
    pub(crate) async fn tend(&mut self, now: Instant) -> Result<bool, SoakError> {
        if self.process.runs() {
            if self.kill.is_some_and(|at| now >= at) {
                self.process.kill().await;
            }
            return Ok(false);
        }
        let asked = self.kill.is_some() || self.down.is_some();
        if self.down.is_none_or(|until| now >= until) {
            self.kill = None;
            self.down = None;
            self.process.start()?;
        }
        Ok(!asked)
    }
}

async fn relay(listen: SocketAddr, target: SocketAddr, net: &Net) -> Result<Relay, SoakError> {
    let relay = Relay::start(listen, target, net.clone()).await;
    relay.map_err(SoakError::Bind)
}
