//! A simulated fleet whose VMs exchange heartbeats without delay.
#![allow(dead_code)]

use std::net::SocketAddr;

use kernel::{Incarnation, Millis, MinionId, Timestamp};
use membership::{Config, Generation, ListedVm, Listing, Membership, Presence, Target, View, Vm};
use rand::Rng;
use rand_xoshiro::Xoshiro256PlusPlus;
use rand_xoshiro::rand_core::SeedableRng;
use std::sync::Arc;

pub type TestRng = Xoshiro256PlusPlus;

/// Time between two ticks.
pub const TICK: Millis = Millis(100);

pub fn test_rng(seed: u64) -> TestRng {
    TestRng::seed_from_u64(seed)
}

pub fn addr(n: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (n / 250) as u8, (n % 250) as u8 + 1], 7000))
}

pub fn vm(domain: &str, n: usize, generation: u64) -> Vm {
    Vm {
        id: format!("{domain}/vm-{n}").parse().unwrap(),
        incarnation: Incarnation::draw(&mut test_rng(1_000_000 * generation + n as u64)),
        generation: Generation(generation),
        domain: domain.parse().unwrap(),
        callers: addr(n),
        peers: addr(n),
    }
}

pub fn minion(domain: &str, n: usize) -> MinionId {
    format!("{domain}/m-{n}").parse().unwrap()
}

pub fn listed_vm(vm: &Vm) -> ListedVm {
    ListedVm {
        id: vm.id.clone(),
        domain: vm.domain.clone(),
        callers: vm.callers,
        peers: vm.peers,
        presence: Presence::Live,
    }
}

pub fn listing(vms: &[Vm]) -> Listing {
    Listing {
        vms: vms.iter().map(listed_vm).collect(),
        leaving: Vec::new(),
    }
}

/// A VM of the fleet.
pub struct Node {
    pub vm: Vm,
    pub state: Membership<TestRng>,
    /// Whether the VM is dead or paused: it neither ticks nor answers.
    pub is_down: bool,
    /// Network partition of the VM. Only nodes of the same partition reach each
    /// other.
    pub partition: u8,
}

/// A simulated fleet of VMs.
pub struct Fleet {
    pub now: Timestamp,
    pub nodes: Vec<Node>,
    /// Number of heartbeats sent so far.
    pub sent: usize,
    /// Percentage of heartbeats that are lost, and of answers to the others.
    pub loss_percent: u32,
    /// Random number generator for message loss.
    pub rng: TestRng,
}

impl Fleet {
    pub fn new(domains: &[&str], per_domain: usize) -> Fleet {
        let mut fleet = Fleet {
            now: Timestamp(0),
            nodes: Vec::new(),
            sent: 0,
            loss_percent: 0,
            rng: test_rng(5),
        };
        for domain in domains {
            for _ in 0..per_domain {
                let n = fleet.nodes.len();
                fleet.start(vm(domain, n, 1));
            }
        }
        fleet
    }

    /// Creates a fleet in which all VMs know each other.
    pub fn converged(domains: &[&str], per_domain: usize) -> Fleet {
        let mut fleet = Fleet::new(domains, per_domain);
        fleet.list_all();
        fleet.run(Millis(20_000));
        fleet
    }

    pub fn start(&mut self, vm: Vm) -> usize {
        let rng = test_rng(self.nodes.len() as u64 + 77);
        let state = Membership::new(self.now, vm.clone(), Config::default(), rng);
        self.nodes.push(Node {
            vm,
            state,
            is_down: false,
            partition: 0,
        });
        self.nodes.len() - 1
    }

    pub fn vms(&self) -> Vec<Vm> {
        self.nodes
            .iter()
            .filter(|n| !n.is_down)
            .map(|n| n.vm.clone())
            .collect()
    }

    pub fn list_all(&mut self) {
        let list = listing(&self.vms());
        for node in self.nodes.iter_mut().filter(|n| !n.is_down) {
            node.state.on_listing(self.now, list.clone());
        }
    }

    pub fn run(&mut self, span: Millis) {
        for _ in 0..span.0 / TICK.0 {
            self.step();
        }
    }

    pub fn step(&mut self) {
        self.now = self.now.after(TICK);
        for from in 0..self.nodes.len() {
            if self.nodes[from].is_down {
                continue;
            }
            for target in self.nodes[from].state.tick(self.now) {
                self.sent += 1;
                self.exchange(from, &target);
            }
        }
    }

    fn exchange(&mut self, from: usize, target: &Target) {
        let now = self.now;
        let partition = self.nodes[from].partition;
        let is_reachable =
            |n: &Node| !n.is_down && n.partition == partition && n.vm.peers == target.addr;
        let Some(to) = self.nodes.iter().position(is_reachable) else {
            self.nodes[from].state.on_failure(now, target);
            return;
        };
        if self.rng.random_range(0..100) < self.loss_percent {
            self.nodes[from].state.on_failure(now, target);
            return;
        }
        let heartbeat = self.nodes[from].state.heartbeat(now, target, ());
        let receiver = &mut self.nodes[to].state;
        receiver.on_heartbeat(now, &heartbeat);
        let answer = receiver.reply(now, &heartbeat.from, ());
        if self.rng.random_range(0..100) < self.loss_percent {
            self.nodes[from].state.on_failure(now, target);
            return;
        }
        self.nodes[from].state.on_reply(now, target, &answer);
    }

    pub fn view(&mut self, at: usize) -> Arc<View> {
        let now = self.now;
        self.nodes[at].state.view(now)
    }

    /// Returns the views of the VMs that are not down.
    pub fn views(&mut self) -> Vec<Arc<View>> {
        let running: Vec<usize> = (0..self.nodes.len())
            .filter(|i| !self.nodes[*i].is_down)
            .collect();
        running.into_iter().map(|i| self.view(i)).collect()
    }
}
