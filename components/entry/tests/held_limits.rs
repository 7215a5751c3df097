//! Quotas, a service's slots and the order of jobs, over several VMs.

mod common;

use std::time::Duration;

use common::{Fleet, WAIT, job};
use futures::future::join_all;
use hyper::Method;
use kernel::Offset;
use serde_json::Value;
use sheet::{Base, Sheet};

/// Writes a sheet with the service's slots in the domain and, if any, the
/// team's quota over all domains.
fn sheet(slots: u32, quota: Option<u32>) -> Sheet {
    let quota = quota.map_or(String::new(), |n| format!("team,t1,*,{n}\n"));
    Sheet::parse(&format!(
        "what,name,where,amount\nservice,quote,a,{slots}\n{quota}"
    ))
    .unwrap()
}

/// Waits until the VMs' parts of the team's quota add up to it.
async fn quota_in_force(fleet: &Fleet, quota: u64) {
    let wait = tokio::time::timeout(WAIT, async {
        loop {
            let mut sum = 0;
            for n in 0..fleet.vms.len() {
                let status = fleet.status(n).await;
                sum += status["teams"][0]["limit"].as_u64().unwrap_or(1000);
            }
            if sum == quota {
                return;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    });
    wait.await.expect("the quota is in force");
}

/// Watches the minions until the work is done, and returns the most tasks that
/// ran at once, with what the work gives.
async fn most_running<T>(fleet: &Fleet, work: impl Future<Output = T>) -> (u32, T) {
    let mut work = std::pin::pin!(work);
    let mut most = 0;
    loop {
        most = most.max(fleet.minions.iter().map(|m| m.running()).sum());
        let pause = tokio::time::sleep(Duration::from_millis(1));
        tokio::select! {
            done = &mut work => return (most, done),
            () = pause => {}
        }
    }
}

/// Submits a job of so many tasks to each VM.
async fn one_each(fleet: &Fleet, name: &str, tasks: usize) -> Vec<(u16, Value)> {
    let keys: Vec<_> = (0..fleet.vms.len())
        .map(|n| format!("{name}-{n}"))
        .collect();
    let tasks = vec![30; tasks];
    let body = job(&tasks, 15_000);
    join_all(
        keys.iter()
            .enumerate()
            .map(|(n, key)| fleet.post(n, key, &body)),
    )
    .await
}

/// Waits until no slot is held anywhere, and none was given back twice.
async fn all_free(fleet: &Fleet) {
    for n in 0..fleet.vms.len() {
        fleet
            .until(n, |s| {
                let services = s["services"].as_array().unwrap();
                let idle = |s: &Value| s["held"] == 0 && s["waiting"] == 0;
                let teams = s["teams"].as_array().unwrap();
                let given = teams.iter().all(|t| t["held"] == 0);
                s["broken_slots"] == 0 && given && services.iter().all(idle)
            })
            .await;
    }
    let idle = async {
        while fleet.minions.iter().any(|m| m.running() > 0) {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    let idle = tokio::time::timeout(WAIT, idle).await;
    idle.expect("the minions are idle");
    assert_eq!(fleet.ledger.double_starts(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn team_quota() {
    let fleet = Fleet::start(3, 3).await;
    fleet
        .publish(&sheet(24, Some(6)), Base::At(Offset(0)))
        .await;
    quota_in_force(&fleet, 6).await;
    let (most, told) = most_running(&fleet, one_each(&fleet, "job", 20)).await;
    assert!(told.iter().all(|t| t.0 == 200), "{told:?}");
    assert!(most <= 6, "{most} ran at once");
    assert_eq!(fleet.ledger.count(), 60);
    all_free(&fleet).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn idle_parts() {
    let fleet = Fleet::start(3, 3).await;
    fleet
        .publish(&sheet(24, Some(6)), Base::At(Offset(0)))
        .await;
    quota_in_force(&fleet, 6).await;
    // All work comes to one VM, which borrows what the others don't use.
    let job = job(&[30; 130], 15_000);
    let (most, told) = most_running(&fleet, fleet.post(0, "job", &job)).await;
    assert_eq!(told.0, 200, "{told:?}");
    assert_eq!(most, 6);
    all_free(&fleet).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn service_slots() {
    let fleet = Fleet::start(3, 3).await;
    fleet.publish(&sheet(5, None), Base::At(Offset(0))).await;
    for n in 0..3 {
        fleet.until(n, |s| s["sheet"] == 1).await;
    }
    // What started before the sheet was in force has ended.
    let settled = one_each(&fleet, "settle", 20).await;
    assert!(settled.iter().all(|t| t.0 == 200), "{settled:?}");
    let (most, told) = most_running(&fleet, one_each(&fleet, "job", 20)).await;
    assert!(told.iter().all(|t| t.0 == 200), "{told:?}");
    assert!(most <= 5, "{most} ran at once");
    all_free(&fleet).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn raised_quota() {
    let fleet = Fleet::start(3, 3).await;
    fleet
        .publish(&sheet(24, Some(3)), Base::At(Offset(0)))
        .await;
    quota_in_force(&fleet, 3).await;
    let (few, told) = most_running(&fleet, one_each(&fleet, "one", 10)).await;
    assert!(told.iter().all(|t| t.0 == 200), "{told:?}");
    assert!(few <= 3, "{few} ran at once");
    fleet
        .publish(&sheet(24, Some(12)), Base::At(Offset(1)))
        .await;
    quota_in_force(&fleet, 12).await;
    let (more, told) = most_running(&fleet, one_each(&fleet, "two", 20)).await;
    assert!(told.iter().all(|t| t.0 == 200), "{told:?}");
    assert!((4..=12).contains(&more), "{more} ran at once");
    all_free(&fleet).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn small_jobs() {
    let fleet = Fleet::start(1, 1).await;
    let large = job(&[20; 140], 15_000);
    let keys = ["large-1", "large-2", "large-3"];
    let larges = join_all(keys.iter().map(|key| fleet.post(0, key, &large)));
    let small = async {
        fleet
            .until(0, |s| s["services"][0]["waiting"].as_u64() > Some(140))
            .await;
        let body = job(&[20; 2], 15_000);
        let told = fleet.post(0, "small", &body).await;
        (told, fleet.ledger.count())
    };
    let (larges, (small, started)) = tokio::join!(larges, small);
    assert_eq!(small.0, 200, "{small:?}");
    assert!(larges.iter().all(|t| t.0 == 200), "{larges:?}");
    assert!(started < 3 * 140, "{started} tasks went before it");
    all_free(&fleet).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn half_cancelled() {
    let fleet = Fleet::start(3, 2).await;
    let keys: Vec<String> = (0..48).map(|n| format!("job-{n}")).collect();
    let body = job(&[300; 4], 15_000);
    let jobs = keys
        .iter()
        .enumerate()
        .map(|(n, key)| fleet.post(n % 3, key, &body));
    let cancels = async {
        fleet
            .until(0, |s| s["counts"]["tasks.sent"].as_u64() >= Some(4))
            .await;
        let half = keys.iter().enumerate().step_by(2);
        join_all(half.map(|(n, key)| fleet.on_job(n % 3, Method::DELETE, key))).await
    };
    let (told, cancelled) = tokio::join!(join_all(jobs), cancels);
    assert_eq!(cancelled.len(), 24);
    assert!(
        told.iter().skip(1).step_by(2).all(|t| t.0 == 200),
        "{told:?}"
    );
    all_free(&fleet).await;
    let mut cuts = 0;
    for n in 0..3 {
        let status = fleet.status(n).await;
        cuts += status["counts"]["waste.cancel"].as_u64().unwrap();
    }
    assert!(cuts <= fleet.ledger.count());
    assert_eq!(fleet.post(0, "after", &body).await.0, 200);
}
