//! A VM that takes a shard and has read the register of minions long before.

mod common;

use std::time::{Duration, Instant};

use common::relayed::Relays;
use common::{Site, eventually, job, serve};
use engine::{Engine, Outcome};
use kernel::{Offset, Sequence};
use metrics::Gauge;
use schedule::MinionInfo;

/// Time after which a copy of the register is too old to start tasks by.
const AGING: Duration = Duration::from_millis(2_100);

/// Time within which a shard must be served again after its owner was lost, on this
/// site: 450 ms until that is noticed, 700 ms for the register, and the takeover.
const SERVED_WITHIN: Duration = Duration::from_millis(1_500);

/// Time within which a VM's heartbeat has told the others how far it has read.
const HEARTBEAT: Duration = Duration::from_millis(700);

/// Three VMs behind relays; the first two are in the domain of the minions.
struct Fleet {
    relays: Relays,
    /// Number of the VM that owns the shard.
    owner: u8,
    /// The VM that takes the shard next.
    next: Engine<Site>,
    /// The VM of the other domain.
    reader: Engine<Site>,
    _owner: Engine<Site>,
}

/// Starts three VMs, and waits until one owns the shard and the registers of all are
/// old.
async fn fleet(site: &Site) -> Fleet {
    let relays = Relays::open(&[1, 2, 3]).await;
    let [mut a, mut b] = [
        serve(relays.config(1), site.clone(), site).await,
        serve(relays.config(2), site.clone(), site).await,
    ];
    let mut cfg = relays.config(3);
    cfg.domain = "nadi-b".parse().unwrap();
    let reader = serve(cfg, site.clone(), site).await;
    let known = |vm: &Engine<Site>| vm.ready() && vm.metrics().gauge(Gauge::PeersLive) == 2;
    eventually("one owner, known to all", || {
        a.owns() != b.owns() && [&a, &b, &reader].into_iter().all(known)
    })
    .await;
    // At the start both may have taken the shard, which their claims settle.
    tokio::time::sleep(AGING).await;
    assert!(a.owns() != b.owns());
    let owner = if a.owns() { 1 } else { 2 };
    if owner == 2 {
        std::mem::swap(&mut a, &mut b);
    }
    Fleet {
        relays,
        owner,
        next: b,
        reader,
        _owner: a,
    }
}

/// Submits jobs of so many tasks to the next owner, which refuses them until it holds
/// the minions, until one is completed.
async fn serve_one(next: &Engine<Site>, tasks: u16) {
    eventually("shard taken", || next.owns()).await;
    let mut number = 1;
    while next.submit(job(number, tasks, 20)).await != Outcome::Completed {
        number += 1;
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Returns the register once the first minion has begun to leave.
fn first_leaving(site: &Site) -> Vec<MinionInfo> {
    let mut infos = site.infos();
    infos[0].draining = true;
    infos[0].sequence = Sequence(infos[0].sequence.0 + 1);
    infos
}

/// Fails if the new owner starts tasks on a minion that began to leave after it had
/// read the register, as another VM knows.
#[tokio::test]
async fn leaving_minion() {
    let site = Site::new(&[32, 32]);
    let fleet = fleet(&site).await;
    fleet.reader.register(first_leaving(&site));
    fleet.reader.register_read(Offset(10));
    tokio::time::sleep(HEARTBEAT).await;
    fleet.relays.cut(fleet.owner);
    serve_one(&fleet.next, 4).await;
    assert_eq!(site.starts_on("m-00"), 0);
    assert_eq!(site.starts_on("m-01"), 4);
}

/// Fails if the new owner goes on waiting for the register while neither the store nor
/// another VM can tell it.
#[tokio::test]
async fn store_away() {
    let site = Site::new(&[32, 32]);
    let fleet = fleet(&site).await;
    fleet.relays.cut(fleet.owner);
    let cut = Instant::now();
    serve_one(&fleet.next, 2).await;
    assert!(cut.elapsed() < SERVED_WITHIN, "{:?}", cut.elapsed());
}
