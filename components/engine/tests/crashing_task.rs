//! A task that crashes the minions that start it, on VMs that come and go.

mod common;

use std::time::Duration;

use common::{Site, eventually, job, pair};
use engine::{Engine, Outcome};
use kernel::Millis;
use schedule::JobSpec;
use standins::{Fate, Work};

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
    let vms: Vec<_> = vms.iter().map(|vm| Engine::clone(vm)).collect();
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
