//! A VM's process with the relays between it and the rest of the site.

use std::fs;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::Path;
use std::time::{Duration, Instant};

use kernel::{Domain, HashMap};
use nix::sys::signal::Signal;
use platform_standin::{MinionServer, StoreEndpoint, StoreStandin, VmLimits, VmRecord, settings};
use standins::{DatagramRelay, Endpoint, Net, Relay};

use crate::error::SoakError;
use crate::process::Process;

/// Time that a stopping process may take before it is killed, as the platform
/// does (`bounds.grace-s` in the settings).
const GRACE: Duration = Duration::from_secs(6);

/// Last octet of the first VM's own address.
const VM_HOST: u8 = 1;

/// Last octet of the first VM's relay address.
const RELAY_HOST: u8 = 128;

/// Number of VMs that a settings file names as seeds, as the platform does.
const SEEDS: usize = 3;

/// Name, failure domain and addresses of a VM.
#[derive(Debug)]
pub(crate) struct VmAddrs {
    pub name: String,
    pub domain: Domain,
    /// The address that the VM's process listens on.
    pub ip: Ipv4Addr,
    /// The address of the relays through which other VMs reach it.
    pub relay_ip: Ipv4Addr,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    /// The port of calls between VMs, the same on all VMs.
    pub peer_port: u16,
    /// The port of heartbeats, the same on all VMs.
    pub heartbeat_port: u16,
}

impl VmAddrs {
    /// Finds free addresses for `count` VMs, which are assigned to the domains in
    /// turn.
    pub fn find(site: u32, count: usize, domains: &[Domain]) -> Result<Vec<VmAddrs>, SoakError> {
        let first = address(site, VM_HOST);
        let peer_port = free_port(first, &[])?;
        let heartbeat_port = free_port(first, &[peer_port])?;
        let mut addrs = Vec::new();
        for i in 0..count {
            let ip = address(site, VM_HOST + i as u8);
            addrs.push(VmAddrs {
                name: format!("vm-{i}"),
                domain: domains[i % domains.len()].clone(),
                ip,
                relay_ip: address(site, RELAY_HOST + i as u8),
                front: SocketAddr::from((ip, free_port(ip, &[peer_port, heartbeat_port])?)),
                ready: SocketAddr::from((ip, free_port(ip, &[peer_port, heartbeat_port])?)),
                peer_port,
                heartbeat_port,
            });
        }
        Ok(addrs)
    }

    /// Returns the VM's endpoint on the network.
    pub fn endpoint(&self) -> Endpoint {
        Endpoint::inside(&self.domain, &self.name)
    }

    /// Returns the address at which other VMs call it.
    pub fn peer_addr(&self) -> SocketAddr {
        SocketAddr::from((self.relay_ip, self.peer_port))
    }

    /// Returns the address to which other VMs send heartbeats.
    pub fn heartbeat_addr(&self) -> SocketAddr {
        SocketAddr::from((self.relay_ip, self.heartbeat_port))
    }
}

/// Returns a loopback address that only this site uses.
fn address(site: u32, host: u8) -> Ipv4Addr {
    let key = std::process::id().wrapping_mul(16).wrapping_add(site);
    let [.., high, low] = key.to_be_bytes();
    Ipv4Addr::new(127, 1 + high % 250, low, host)
}

/// Returns a free port other than the reserved ones, which are not in use yet.
fn free_port(ip: Ipv4Addr, reserved: &[u16]) -> Result<u16, SoakError> {
    loop {
        let listener = TcpListener::bind((ip, 0)).and_then(|l| l.local_addr());
        let port = listener.map_err(SoakError::Bind)?.port();
        if !reserved.contains(&port) {
            return Ok(port);
        }
    }
}

/// The network, store, minions and domains around the VMs.
pub(crate) struct Environment<'a> {
    pub net: &'a Net,
    pub store: &'a StoreStandin,
    pub servers: &'a [MinionServer],
    pub domains: &'a [Domain],
    pub limits: VmLimits,
}

/// A VM with its relays.
#[derive(Debug)]
pub struct Vm {
    /// The VM's name.
    pub name: String,
    /// The address that callers reach it at.
    pub front: SocketAddr,
    /// The address of its readiness check.
    pub ready: SocketAddr,
    pub(crate) process: Process,
    /// The store as this VM sees it.
    pub(crate) store_endpoint: StoreEndpoint,
    /// The relay that forwards calls of other VMs to it.
    pub(crate) inbound: Relay,
    /// The relays to the store and to each minion.
    pub(crate) outbound: Vec<Relay>,
    /// The relay that forwards heartbeats of other VMs to it.
    _heartbeats: DatagramRelay,
    /// The time before which the process is not restarted.
    down_until: Option<Instant>,
    /// The time at which the process is killed if it hasn't stopped as asked.
    kill_at: Option<Instant>,
}

impl Vm {
    /// Opens a VM's relays and writes its settings.
    pub(crate) async fn open(
        addrs: &VmAddrs,
        all: &[VmAddrs],
        env: &Environment<'_>,
        program: &Path,
        folder: &Path,
    ) -> Result<Vm, SoakError> {
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let net = env.net.at(addrs.endpoint());
        let store_endpoint = env.store.open(any).await.map_err(SoakError::Bind)?;
        net.register(store_endpoint.addr(), Endpoint::platform());
        let mut outbound = vec![relay(any, store_endpoint.addr(), &net).await?];
        let store = outbound[0].addr();
        for server in env.servers {
            let relay = relay(any, server.addr(), &net).await?;
            store_endpoint.redirect(server.addr(), relay.addr());
            outbound.push(relay);
        }
        // The relay can't tell which VM opened a connection, so only faults of the
        // called VM apply to it.
        let own = SocketAddr::from((addrs.ip, addrs.peer_port));
        let inbound = relay(addrs.peer_addr(), own, env.net).await?;
        let senders = all.iter();
        let senders = senders.map(|vm| (IpAddr::from(vm.ip), net.at(vm.endpoint())));
        let senders: HashMap<IpAddr, Net> = senders.collect();
        let own = SocketAddr::from((addrs.ip, addrs.heartbeat_port));
        let heartbeats = DatagramRelay::start(addrs.heartbeat_addr(), own, senders).await;
        let record = VmRecord {
            name: addrs.name.clone(),
            ip: addrs.ip,
            domain: addrs.domain.clone(),
            domains: env.domains.to_vec(),
            front: addrs.front,
            ready: addrs.ready,
            peers: addrs.peer_addr(),
            heartbeat_port: addrs.heartbeat_port,
            seeds: all.iter().take(SEEDS).map(VmAddrs::peer_addr).collect(),
            store,
            limits: env.limits,
        };
        let path = folder.join(format!("{}.conf", addrs.name));
        let written = fs::write(&path, settings(&record));
        written.map_err(|e| SoakError::File(path.clone(), e))?;
        let log = folder.join(format!("{}.log", addrs.name));
        Ok(Vm {
            name: addrs.name.clone(),
            front: addrs.front,
            ready: addrs.ready,
            process: Process::new(program, path, log),
            store_endpoint,
            inbound,
            outbound,
            _heartbeats: heartbeats.map_err(SoakError::Bind)?,
            down_until: None,
            kill_at: None,
        })
    }

    /// Returns the id of the running process.
    pub fn process_id(&self) -> Option<u32> {
        self.process.id()
    }

    /// Kills the process. It is not restarted before `until`.
    pub(crate) async fn kill(&mut self, until: Instant) {
        self.process.kill().await;
        self.down_until = Some(until);
    }

    /// Asks the process to stop. It is not restarted before `until`.
    pub(crate) fn stop(&mut self, until: Instant) -> Result<(), SoakError> {
        self.process.signal(Signal::SIGTERM)?;
        self.kill_at = Some(Instant::now() + GRACE);
        self.down_until = Some(until);
        Ok(())
    }

    /// Restarts the process if its down time is over, or kills it if it doesn't
    /// stop in time. Returns whether it has ended by itself.
    pub(crate) async fn supervise(&mut self, now: Instant) -> Result<bool, SoakError> {
        if self.process.is_running() {
            if self.kill_at.is_some_and(|at| now >= at) {
                self.process.kill().await;
            }
            return Ok(false);
        }
        let expected = self.kill_at.is_some() || self.down_until.is_some();
        if self.down_until.is_none_or(|until| now >= until) {
            self.kill_at = None;
            self.down_until = None;
            self.process.start()?;
        }
        Ok(!expected)
    }
}

async fn relay(listen: SocketAddr, target: SocketAddr, net: &Net) -> Result<Relay, SoakError> {
    let relay = Relay::start(listen, target, net.clone()).await;
    relay.map_err(SoakError::Bind)
}
