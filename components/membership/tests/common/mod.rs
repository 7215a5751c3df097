//! A handful of memberships that hand each other heartbeats at once.
#![allow(dead_code)]

use std::net::SocketAddr;

use kernel::{Incarnation, Millis, MinionId, Timestamp};
use membership::{Config, Generation, ListedVm, Listing, Membership, Presence, Target, View, Vm};
use rand::Rng;
use rand_xoshiro::Xoshiro256PlusPlus;
use rand_xoshiro::rand_core::SeedableRng;
use std::sync::Arc;

pub type Dice = Xoshiro256PlusPlus;

/// The time between two ticks.
pub const TICK: Millis = Millis(100);

pub fn dice(seed: u64) -> Dice {
    Dice::seed_from_u64(seed)
}

pub fn addr(n: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (n / 250) as u8, (n % 250) as u8 + 1], 7000))
}

pub fn vm(domain: &str, n: usize, life: u64) -> Vm {
    Vm {
        id: format!("{domain}/vm-{n}").parse().unwrap(),
        incarnation: Incarnation::draw(&mut dice(1_000_000 * life + n as u64)),
        generation: Generation(life),
        domain: domain.parse().unwrap(),
        callers: addr(n),
        peers: addr(n),
    }
}

pub fn minion(domain: &str, n: usize) -> MinionId {
    format!("{domain}/m-{n}").parse().unwrap()
}

pub fn listed(vm: &Vm) -> ListedVm {
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
        vms: vms.iter().map(listed).collect(),
        leaving: Vec::new(),
    }
}

/// One VM of the fleet.
pub struct Node {
    pub vm: Vm,
    pub state: Membership<Dice>,
    /// Dead or paused: it neither ticks nor answers.
    pub down: bool,
    /// Only nodes of the same side reach each other.
    pub side: u8,
}

/// The fleet.
pub struct Fleet {
    pub now: Timestamp,
    pub nodes: Vec<Node>,
    /// Heartbeats sent so far.
    pub sent: usize,
    /// How many of a hundred heartbeats, or else their answers, are lost.
    pub loss: u32,
    /// Randomness for losses.
    pub rng: Dice,
}

impl Fleet {
    pub fn new(domains: &[&str], per_domain: usize) -> Fleet {
        let mut fleet = Fleet {
            now: Timestamp(0),
            nodes: Vec::new(),
            sent: 0,
            loss: 0,
            rng: dice(5),
        };
        for domain in domains {
            for _ in 0..per_domain {
                let n = fleet.nodes.len();
                fleet.start(vm(domain, n, 1));
            }
        }
        fleet
    }

    /// A fleet in which all know all.
    pub fn settled(domains: &[&str], per_domain: usize) -> Fleet {
        let mut fleet = Fleet::new(domains, per_domain);
        fleet.list_all();
        fleet.run(Millis(20_000));
        fleet
    }

    pub fn start(&mut self, vm: Vm) -> usize {
        let rng = dice(self.nodes.len() as u64 + 77);
        let state = Membership::new(self.now, vm.clone(), Config::default(), rng);
        self.nodes.push(Node {
            vm,
            state,
            down: false,
            side: 0,
        });
        self.nodes.len() - 1
    }

    pub fn vms(&self) -> Vec<Vm> {
        self.nodes
            .iter()
            .filter(|n| !n.down)
            .map(|n| n.vm.clone())
            .collect()
    }

    pub fn list_all(&mut self) {
        let list = listing(&self.vms());
        for node in self.nodes.iter_mut().filter(|n| !n.down) {
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
            if self.nodes[from].down {
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
        let side = self.nodes[from].side;
        let reached = |n: &Node| !n.down && n.side == side && n.vm.peers == target.addr;
        let Some(to) = self.nodes.iter().position(reached) else {
            self.nodes[from].state.on_failure(now, target);
            return;
        };
        if self.rng.random_range(0..100) < self.loss {
            self.nodes[from].state.on_failure(now, target);
            return;
        }
        let beat = self.nodes[from].state.beat(now, target, ());
        let there = &mut self.nodes[to].state;
        there.on_beat(now, &beat);
        let answer = there.reply(now, &beat.from, ());
        if self.rng.random_range(0..100) < self.loss {
            self.nodes[from].state.on_failure(now, target);
            return;
        }
        self.nodes[from].state.on_reply(now, target, &answer);
    }

    pub fn view(&mut self, at: usize) -> Arc<View> {
        let now = self.now;
        self.nodes[at].state.view(now)
    }

    /// The live VMs' views.
    pub fn views(&mut self) -> Vec<Arc<View>> {
        let up: Vec<usize> = (0..self.nodes.len())
            .filter(|i| !self.nodes[*i].down)
            .collect();
        up.into_iter().map(|i| self.view(i)).collect()
    }
}
