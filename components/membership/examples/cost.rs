//! Measures the cost of heartbeats for one VM at several fleet sizes.
//!
//! Run: `cargo run --release -p membership --example cost`

#[path = "../tests/common/mod.rs"]
mod common;

use std::time::{Duration, Instant};

use common::{Fleet, TICK};
use kernel::Millis;
use membership::Target;

/// HTTP overhead of a request and its answer together, in bytes: request line,
/// status line and the headers that hyper writes.
const HTTP_BYTES: usize = 250;

/// Size of a VM's load report for 20 minions, in bytes.
const NOTE_BYTES: usize = 200;

/// Simulated time for which each fleet is measured.
const MEASURED_TIME: Millis = Millis(60_000);

const NAMES: [&str; 5] = ["suva-a", "nadi-b", "lautoka-c", "kumamoto-d", "kagoshima-e"];

/// Heartbeats of one VM, and what they cost.
#[derive(Default)]
struct Cost {
    heartbeats: usize,
    bytes: usize,
    cpu_time: Duration,
}

fn main() {
    println!("domains VMs/domain beats/s bytes/beat B/s(in+out) us/beat core%");
    for (domains, per_domain) in [(1, 2), (3, 2), (3, 4), (5, 4), (5, 8), (5, 16)] {
        let mut fleet = Fleet::converged(&NAMES[..domains], per_domain);
        let cost = measure(&mut fleet);
        let seconds = MEASURED_TIME.0 as f64 / 1000.0;
        let rate = cost.heartbeats as f64 / seconds;
        let each = cost.bytes as f64 / cost.heartbeats as f64;
        let micros = cost.cpu_time.as_secs_f64() * 1e6 / cost.heartbeats as f64;
        let bytes = rate * each;
        let core = cost.cpu_time.as_secs_f64() / seconds * 100.0;
        println!(
            "{domains:7} {per_domain:10} {rate:7.1} {each:10.0} {bytes:12.0} {micros:7.1} {core:5.2}"
        );
    }
}

/// Counts the heartbeats that the first VM sends and those that it answers, each
/// with its answer. The time is that spent by the first VM only.
fn measure(fleet: &mut Fleet) -> Cost {
    let mut cost = Cost::default();
    for _ in 0..MEASURED_TIME.0 / TICK.0 {
        fleet.now = fleet.now.after(TICK);
        for from in 0..fleet.nodes.len() {
            let start = Instant::now();
            let targets = fleet.nodes[from].state.tick(fleet.now);
            if from == 0 {
                std::hint::black_box(fleet.view(0));
                cost.cpu_time += start.elapsed();
            }
            for target in &targets {
                exchange(fleet, from, target, &mut cost);
            }
        }
    }
    cost
}

fn exchange(fleet: &mut Fleet, from: usize, target: &Target, cost: &mut Cost) {
    let now = fleet.now;
    let to = fleet.nodes.iter().position(|n| n.vm.peers == target.addr);
    let Some(to) = to else { return };
    let note = [0u8; NOTE_BYTES];

    let start = Instant::now();
    let heartbeat = fleet.nodes[from].state.heartbeat(now, target, ());
    let sent = rmp_serde::to_vec(&heartbeat).expect("bytes");
    let send_time = start.elapsed();

    let start = Instant::now();
    let receiver = &mut fleet.nodes[to].state;
    let received: membership::Heartbeat<()> =
        rmp_serde::from_slice(&sent).expect("heartbeat decodes");
    receiver.on_heartbeat(now, &received);
    let answer = receiver.reply(now, &received.from, ());
    let answer_bytes = rmp_serde::to_vec(&answer).expect("bytes");
    let answer_time = start.elapsed();

    let start = Instant::now();
    let received: membership::Heartbeat<()> =
        rmp_serde::from_slice(&answer_bytes).expect("answer decodes");
    fleet.nodes[from].state.on_reply(now, target, &received);
    let receive_time = start.elapsed();

    if from != 0 && to != 0 {
        return;
    }
    cost.heartbeats += 1;
    cost.bytes += sent.len() + answer_bytes.len() + HTTP_BYTES + 2 * note.len();
    cost.cpu_time += if from == 0 {
        send_time + receive_time
    } else {
        answer_time
    };
}
