//! Measures what heartbeats cost one VM at several fleet sizes.
//!
//! Run: `cargo run --release -p membership --example cost`

#[path = "../tests/common/mod.rs"]
mod common;

use std::time::{Duration, Instant};

use common::{Fleet, TICK};
use kernel::Millis;
use membership::Target;

/// What HTTP adds to a request and its answer together, in bytes: request
/// line, status line and the headers that hyper writes.
const HTTP_BYTES: usize = 250;

/// What the load evidence of a VM takes, in bytes, for 20 minions.
const NOTE_BYTES: usize = 200;

/// How long each fleet is watched.
const WATCHED: Millis = Millis(60_000);

const NAMES: [&str; 5] = ["suva-a", "nadi-b", "lautoka-c", "kumamoto-d", "kagoshima-e"];

/// What one VM did.
#[derive(Default)]
struct Cost {
    beats: usize,
    bytes: usize,
    spent: Duration,
}

fn main() {
    println!("domains VMs/domain beats/s bytes/beat B/s(in+out) us/beat core%");
    for (domains, per_domain) in [(1, 2), (3, 2), (3, 4), (5, 4), (5, 8), (5, 16)] {
        let mut fleet = Fleet::settled(&NAMES[..domains], per_domain);
        let cost = watch(&mut fleet);
        let seconds = WATCHED.0 as f64 / 1000.0;
        let rate = cost.beats as f64 / seconds;
        let each = cost.bytes as f64 / cost.beats as f64;
        let micros = cost.spent.as_secs_f64() * 1e6 / cost.beats as f64;
        let bytes = rate * each;
        let core = cost.spent.as_secs_f64() / seconds * 100.0;
        println!(
            "{domains:7} {per_domain:10} {rate:7.1} {each:10.0} {bytes:12.0} {micros:7.1} {core:5.2}"
        );
    }
}

/// Counts both the heartbeats that the first VM sends and those that it
/// answers, with request and answer; the time is its own share only.
fn watch(fleet: &mut Fleet) -> Cost {
    let mut cost = Cost::default();
    for _ in 0..WATCHED.0 / TICK.0 {
        fleet.now = fleet.now.after(TICK);
        for from in 0..fleet.nodes.len() {
            let began = Instant::now();
            let targets = fleet.nodes[from].state.tick(fleet.now);
            if from == 0 {
                std::hint::black_box(fleet.view(0));
                cost.spent += began.elapsed();
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

    let began = Instant::now();
    let beat = fleet.nodes[from].state.beat(now, target, ());
    let sent = rmp_serde::to_vec(&beat).expect("bytes");
    let asked = began.elapsed();

    let began = Instant::now();
    let there = &mut fleet.nodes[to].state;
    let heard: membership::Beat<()> = rmp_serde::from_slice(&sent).expect("a heartbeat");
    there.on_beat(now, &heard);
    let answer = there.reply(now, &heard.from, ());
    let back = rmp_serde::to_vec(&answer).expect("bytes");
    let answered = began.elapsed();

    let began = Instant::now();
    let heard: membership::Beat<()> = rmp_serde::from_slice(&back).expect("an answer");
    fleet.nodes[from].state.on_reply(now, target, &heard);
    let taken = began.elapsed();

    if from != 0 && to != 0 {
        return;
    }
    cost.beats += 1;
    cost.bytes += sent.len() + back.len() + HTTP_BYTES + 2 * note.len();
    cost.spent += if from == 0 { asked + taken } else { answered };
}
