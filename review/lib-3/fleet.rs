//! A small deployment: the store, minions and the processes of entry VMs, each at a
//! loopback address of its own.

use std::fs::File;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::Record;
use crate::http;
use crate::minions::{Minion, Runs};
use crate::store::Store;

/// Port of clients on all VMs; the others follow it.
const FRONT: u16 = 18_161;

/// Memory of a VM in MB (`limits.memory-mb`).
pub const MEMORY_MB: u64 = 260;

/// Program of the deploy file.
const PROGRAM: &str = "target/release/pomelopost";

/// An entry VM.
pub struct Vm {
    pub name: String,
    ip: Ipv4Addr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Vm {
    /// Returns the address for clients.
    pub fn front(&self) -> SocketAddr {
        (self.ip, FRONT).into()
    }

    /// Starts the process.
    pub fn start(&mut self) -> std::io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        // The limit on descriptors is the deployment's (`limits.max-fds`).
        let child = Command::new("/bin/sh")
            .args(["-c", "ulimit -n 4100 && exec \"$0\" --platform", PROGRAM])
            .env_clear()
            .env("POMELOPOST_NODE_FILE", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Returns the resident memory of the process in KiB, or 0 if it is not running.
    pub fn memory(&self) -> u64 {
        let Some(child) = &self.child else {
            return 0;
        };
        let status = std::fs::read_to_string(format!("/proc/{}/status", child.id()));
        let status = status.unwrap_or_default();
        let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
        let size = line.and_then(|l| l.trim().trim_end_matches(" kB").parse().ok());
        size.unwrap_or(0)
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Vm {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The deployment.
pub struct Fleet {
    pub vms: Vec<Vm>,
    pub minions: Vec<Arc<Minion>>,
    pub runs: Runs,
    folder: PathBuf,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.vms.clear();
        match std::env::var_os("KEEP") {
            Some(_) => eprintln!("logs kept in {}", self.folder.display()),
            None => drop(std::fs::remove_dir_all(&self.folder)),
        }
    }
}

/// Host of the only queue.
pub const HOST: &str = "quotes.example";

/// Path prefix of the only queue.
pub const PREFIX: &str = "/quotes/";

impl Fleet {
    /// Starts a deployment with this number of VMs and minions in each zone, and waits
    /// until its VMs are ready.
    pub fn start(
        zones: &[&str],
        vms: u8,
        minions: u8,
        cpu: u64,
        record: &Record,
    ) -> std::io::Result<Fleet> {
        let net = free_net()?;
        let ip = |zone: usize, host: u8| Ipv4Addr::new(127, net, zone as u8 + 1, host);
        let folder = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let store = Store::default();
        let store_addr = SocketAddr::from((ip(200, 7), FRONT + 8));
        store.open(store_addr)?;
        let runs = Runs::default();
        let mut all = Vec::new();
        for (z, zone) in zones.iter().enumerate() {
            for m in 0..minions {
                let id = format!("i-{z}{m:02}");
                let addr = SocketAddr::from((ip(z, 100 + m), FRONT + 9));
                let minion = Minion::start(&id, addr, zone, "quote-engine", cpu, &runs, record)?;
                store.put("keyed.servers", &id, minion.entry(1).as_bytes());
                all.push(minion);
            }
        }
        store.put("keyed.op", "config", configuration(1).as_bytes());
        let mut fleet = Fleet {
            vms: Vec::new(),
            minions: all,
            runs,
            folder: folder.clone(),
        };
        for (z, zone) in zones.iter().enumerate() {
            for v in 0..vms {
                let name = format!("front-{zone}-{}", v + 1);
                let ip = ip(z, 10 + v);
                let seeds = (0..zones.len()).map(|z| {
                    let seed = Ipv4Addr::new(127, net, z as u8 + 1, 10);
                    format!("{seed}:{}", FRONT + 5)
                });
                let seeds: Vec<_> = seeds.collect();
                let settings = folder.join(format!("{name}.conf"));
                std::fs::write(
                    &settings,
                    settings_of(&name, ip, zone, zones, &seeds, store_addr),
                )?;
                let mut vm = Vm {
                    log: folder.join(format!("{name}.log")),
                    name,
                    ip,
                    settings,
                    child: None,
                };
                vm.start()?;
                fleet.vms.push(vm);
            }
        }
        fleet.await_ready()?;
        record.line(&format!(
            "{} VMs are ready, {} minions",
            fleet.vms.len(),
            fleet.minions.len()
        ));
        Ok(fleet)
    }

    /// Waits until all VMs are ready and have had time to take their minions.
    fn await_ready(&self) -> std::io::Result<()> {
        let end = Instant::now() + Duration::from_secs(15);
        for vm in &self.vms {
            let ready = SocketAddr::from((vm.ip, FRONT + 6));
            let probe = || {
                http::call(
                    ready,
                    "GET",
                    "/api/readyz",
                    &[],
                    b"",
                    Duration::from_millis(300),
                )
            };
            while probe().is_none_or(|(status, _)| status != 200) {
                if Instant::now() > end {
                    return Err(std::io::Error::other(format!("{} is not ready", vm.name)));
                }
                std::thread::sleep(Duration::from_millis(50));
            }
        }
        std::thread::sleep(Duration::from_secs(3));
        Ok(())
    }
}

/// Returns a second number of loopback addresses that is free.
fn free_net() -> std::io::Result<u8> {
    let first = std::process::id() as u8;
    for i in 0..=255u8 {
        let net = first.wrapping_add(i) % 200 + 20;
        let free = |zone, host, port| {
            TcpListener::bind((Ipv4Addr::new(127, net, zone, host), port)).is_ok()
        };
        if free(201, 7, FRONT + 8)
            && free(1, 10, FRONT)
            && free(1, 10, 9_464)
            && free(1, 100, FRONT + 9)
        {
            return Ok(net);
        }
    }
    Err(std::io::Error::other("no free addresses"))
}

fn settings_of(
    name: &str,
    ip: Ipv4Addr,
    zone: &str,
    zones: &[&str],
    seeds: &[String],
    store: SocketAddr,
) -> String {
    let all = zones.iter().map(|z| format!("zones.{z}=viti-levu\n"));
    let all: String = all.collect();
    format!(
        "node-name={name}\nrole=entry\nmachine-class=front\nserves=front,control\nip={ip}\nzone={zone}\n\
         region=viti-levu\n{all}listen.front={ip}:{FRONT}\nlisten.readiness-address={ip}:{ready}\n\
         listen.control={ip}:{control}\nport-range={range},{last}\nseeds={seeds}\nbootstrap=true\n\
         in-fault-budget=false\nlimits.cpu-share=0.25\nlimits.cores=1\nlimits.memory-mb={MEMORY_MB}\n\
         limits.max-fds=4100\nlimits.link-mbps=1000.0\nlimits.disk-mb=0\ndiscovery=platform\nentry=vip\n\
         heartbeat-ms=1500\ncontracts=base,drain,config,cost,recover,sched,platform,advice,upkeep,sharing\n\
         fault-tolerance.machines=1\nfault-tolerance.zones=1\nfault-tolerance.regions=0\n\
         bounds.contact-ms=3000\nbounds.ack-ms=4000\nbounds.drain-ms=2000\nbounds.grace-s=6\n\
         bounds.config-apply-ms=2000\nbounds.max-hold-ms=1000\nbounds.stop-timeout-ms=50\n\
         bounds.cancel_ms=3000\nbounds.visible_ms=3000\nbounds.lease-ms=3000\nbounds.retransmit-ms=1300\n\
         control-mode=request\nplatform.address={store}\nplatform.form=log\nplatform.writes-per-s=600\n\
         platform.reads-per-s=2000\nplatform.parts=12\nplatform.keep_s=300\nplatform.min-ttl-ms=1000\n",
        ready = FRONT + 6,
        control = FRONT + 5,
        range = FRONT + 10,
        last = FRONT + 17,
        seeds = seeds.join(","),
    )
}

/// Writes a configuration with one queue.
pub fn configuration(version: u64) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-quotes\",\"host\":\"{HOST}\",\
         \"path-prefix\":\"{PREFIX}\",\"kind\":\"unsafe\",\"timeout-ms\":30000,\"target-latency-ms\":60,\
         \"priority\":1,\"service\":\"quote-engine\",\"max-attempts\":4,\"slack-factor\":1.6}}],\
         \"services\":[{{\"name\":\"quote-engine\",\"enforces-capacity\":false}}],\
         \"limits\":{{\"max-header-bytes\":16384,\"max-body-bytes\":262144,\"header-timeout-ms\":3000,\
         \"idle-timeout-ms\":15000}}}}"
    )
}
