//! A task that crashes the minions that start it, on VMs that come and go.

mod common;

use std::time::Duration;

use common::{Site, eventually, free_port, job, pair, vm};
use engine::{Engine, Outcome};
use kernel::Millis;
use schedule::JobSpec;
use standins::{Fate, Work};
use tokio::runtime::Builder;

/// Returns a job of one task that crashes the minions that start it.
fn deadly(number: u64) -> JobSpec {
    let work = Work {
        fate: Fate::Crashes,
        ..Work::new(14, Millis(60))
    };
    JobSpec {
        payload: work.to_string().into(),
        timeout: Millis(10_000),
        ..job(number, 1, 60)
    }
}

/// Passes the register to the VMs every 200 ms, as restarted minions write their
/// entries anew.
fn follow_register(site: &Site, vms: &[&Engine<Site>]) {
    let vms: Vec<_> = vms.iter().copied().cloned().collect();
    let site = site.clone();
    tokio::spawn(async move {
        loop {
            tokio::time::sleep(Duration::from_millis(200)).await;
            for vm in &vms {
                vm.register(site.infos());
            }
        }
    });
}

/// Guards against crashes that are forgotten when the client submits the job
/// again, through another VM.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn submitted_again() {
    let site = Site::new(&[32; 8]);
    let (a, b) = pair(&site).await;
    follow_register(&site, &[&a, &b]);
    let spec = deadly(1);
    assert_eq!(a.submit(spec.clone()).await, Outcome::Failed);
    let starts = site.starts_of(&spec);
    assert!(starts <= 3, "{starts} starts");
    for vm in [&a, &b] {
        assert_eq!(vm.submit(spec.clone()).await, Outcome::Failed);
    }
    assert_eq!(site.starts_of(&spec), starts);
    eventually("minions back", || a.ready() && b.ready()).await;
    assert_eq!(site.violations(), []);
}

/// Guards against crashes that are forgotten when the owner that recorded them is
/// killed.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn owner_killed() {
    let site = Site::new(&[32; 8]);
    let port = free_port();
    // The first VM has its own runtime, whose shutdown simulates a killed
    // process.
    let runtime = Builder::new_multi_thread()
        .worker_threads(1)
        .enable_all()
        .build()
        .unwrap();
    let first = site.clone();
    let a = runtime.spawn(async move { vm(1, port, &first).await });
    let a = a.await.unwrap();
    eventually("shard taken", || a.owns()).await;
    let b = vm(2, port, &site).await;
    eventually("owner known", || b.ready()).await;
    follow_register(&site, &[&b]);
    let spec = deadly(1);
    let call = {
        let (b, spec) = (b.clone(), spec.clone());
        tokio::spawn(async move { b.submit(spec).await })
    };
    eventually("started twice", || site.starts_of(&spec) == 2).await;
    drop(a);
    runtime.shutdown_background();
    eventually("shard taken over", || b.owns()).await;
    let outcome = call.await.unwrap();
    assert_eq!(outcome, Outcome::Failed);
    // The loss of the second run was not yet known when its owner was killed.
    let starts = site.starts_of(&spec);
    assert!(starts <= 4, "{starts} starts");
    assert_eq!(b.submit(spec.clone()).await, Outcome::Failed);
    assert_eq!(site.starts_of(&spec), starts);
}
