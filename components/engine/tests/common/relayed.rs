//! A network between VMs whose calls and heartbeats can be held up or lost.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use engine::EngineConfig;
use kernel::HashMap;
use standins::{DatagramRelay, Endpoint, Hops, Net, Relay};

use super::{config, free_port};

/// Delay in each direction between a VM and the relay of another one.
const HOP: Duration = Duration::from_millis(2);

/// Relays in front of VMs, which the VMs take for each other's addresses.
pub struct Relays {
    net: Net,
    port: u16,
    _calls: Vec<Relay>,
    _heartbeats: Vec<DatagramRelay>,
}

/// Returns the address at which a VM listens behind its relay.
fn own_ip(number: u8) -> Ipv4Addr {
    Ipv4Addr::new(127, 0, 0, number)
}

fn relay_ip(number: u8) -> Ipv4Addr {
    Ipv4Addr::new(127, 0, 1, number)
}

fn endpoint(number: u8) -> Endpoint {
    let domain = "relayed".parse().unwrap();
    Endpoint::inside(&domain, &format!("vm-{number}"))
}

impl Relays {
    /// Opens the relays of the VMs with these numbers.
    pub async fn open(numbers: &[u8]) -> Relays {
        let net = Net::new(Hops {
            domains: HOP,
            client: HOP,
        });
        let port = free_port();
        let mut calls = Vec::new();
        let mut heartbeats = Vec::new();
        for number in numbers {
            let own = SocketAddr::from((own_ip(*number), port));
            let relay = SocketAddr::from((relay_ip(*number), port));
            net.register(own, endpoint(*number));
            net.register(relay, endpoint(*number));
            let senders = numbers.iter();
            let senders = senders.map(|n| (IpAddr::from(own_ip(*n)), net.at(endpoint(*n))));
            let senders: HashMap<_, _> = senders.collect();
            calls.push(Relay::start(relay, own, net.clone()).await.unwrap());
            let relayed = DatagramRelay::start(relay, own, senders).await;
            heartbeats.push(relayed.unwrap());
        }
        Relays {
            net,
            port,
            _calls: calls,
            _heartbeats: heartbeats,
        }
    }

    /// Returns the configuration of a VM behind its relay.
    pub fn config(&self, number: u8) -> EngineConfig {
        EngineConfig {
            peer_addr: SocketAddr::from((relay_ip(number), self.port)),
            seeds: vec![relay_ip(1), relay_ip(2)],
            ..config(number, self.port)
        }
    }

    /// Cuts a VM off from the others: calls are held, heartbeats are lost.
    pub fn cut(&self, number: u8) {
        self.net.pause(&endpoint(number).process);
    }

    /// Ends [`Relays::cut`]. The calls arrive.
    pub fn heal(&self, number: u8) {
        self.net.resume(&endpoint(number).process);
    }

    /// Makes the connections that are open to a VM go silent. New ones work.
    pub fn silence(&self, number: u8) {
        self.net
            .silence(SocketAddr::from((own_ip(number), self.port)));
    }
}
