//! Several VMs together keep to quotas, to a service's slots and to the order of
//! jobs.

mod common;

use std::time::Duration;

use common::{Fleet, TIMEOUT, job};
use futures::future::join_all;
use hyper::Method;
use kernel::Offset;
use serde_json::Value;
use sheet::{Base, Sheet};

/// Returns a sheet with the service's slots in the failure domain and, if given,
/// the team's quota over all domains.
fn sheet(slots: u32, quota: Option<u32>) -> Sheet {
    let quota = quota.map_or(String::new(), |n| format!("team,t1,*,{n}\n"));
    Sheet::parse(&format!(
        "what,name,where,amount\nservice,quote,a,{slots}\n{quota}"
    ))
    .unwrap()
}

/// Waits until the VMs' shares of the team's quota add up to it.
async fn until_quota(fleet: &Fleet, quota: u64) {
    let wait = tokio::time::timeout(TIMEOUT, async {
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
    wait.await
        .expect("the quota did not come into force in time");
}

/// Runs some work, and returns the maximum number of tasks that ran at once
/// meanwhile, with the work's result.
async fn peak_running<T>(fleet: &Fleet, work: impl Future<Output = T>) -> (u32, T) {
    let mut work = std::pin::pin!(work);
    let mut peak = 0;
    loop {
        peak = peak.max(fleet.minions.iter().map(|m| m.running()).sum());
        let interval = tokio::time::sleep(Duration::from_millis(1));
        tokio::select! {
            done = &mut work => return (peak, done),
            () = interval => {}
        }
    }
}

/// Submits a job with a number of tasks to each VM.
async fn submit_each(fleet: &Fleet, name: &str, tasks: usize) -> Vec<(u16, Value)> {
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

/// Waits until no slot is held at any VM, none was released twice and no task
/// runs at the minions, and asserts that no task started twice.
async fn until_idle(fleet: &Fleet) {
    for n in 0..fleet.vms.len() {
        fleet
            .until(n, |s| {
                let services = s["services"].as_array().unwrap();
                let idle = |s: &Value| s["held"] == 0 && s["waiting"] == 0;
                let teams = s["teams"].as_array().unwrap();
                let teams_idle = teams.iter().all(|t| t["held"] == 0);
                s["broken_slots"] == 0 && teams_idle && services.iter().all(idle)
            })
            .await;
    }
    let idle = async {
        while fleet.minions.iter().any(|m| m.running() > 0) {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    let idle = tokio::time::timeout(TIMEOUT, idle).await;
    idle.expect("the minions were not idle in time");
    assert_eq!(fleet.ledger.double_starts(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn team_quota() {
    let fleet = Fleet::start(3, 3).await;
    fleet
        .publish(&sheet(24, Some(6)), Base::At(Offset(0)))
        .await;
    until_quota(&fleet, 6).await;
    let (peak, replies) = peak_running(&fleet, submit_each(&fleet, "job", 20)).await;
    assert!(replies.iter().all(|r| r.0 == 200), "{replies:?}");
    assert!(peak <= 6, "{peak} ran at once");
    assert_eq!(fleet.ledger.count(), 60);
    until_idle(&fleet).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn borrowed_shares() {
    let fleet = Fleet::start(3, 3).await;
    fleet
        .publish(&sheet(24, Some(6)), Base::At(Offset(0)))
        .await;
    until_quota(&fleet, 6).await;
    // All work goes to one VM, which borrows the shares that the others don't use.
    let job = job(&[30; 130], 15_000);
    let (peak, reply) = peak_running(&fleet, fleet.post(0, "job", &job)).await;
    assert_eq!(reply.0, 200, "{reply:?}");
    assert_eq!(peak, 6);
    until_idle(&fleet).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn service_slots() {
    let fleet = Fleet::start(3, 3).await;
    fleet.publish(&sheet(5, None), Base::At(Offset(0))).await;
    for n in 0..3 {
        fleet.until(n, |s| s["sheet"] == 1).await;
    }
    // Tasks that started before the sheet was in force have ended after this.
    let earlier = submit_each(&fleet, "settle", 20).await;
    assert!(earlier.iter().all(|r| r.0 == 200), "{earlier:?}");
    let (peak, replies) = peak_running(&fleet, submit_each(&fleet, "job", 20)).await;
    assert!(replies.iter().all(|r| r.0 == 200), "{replies:?}");
    assert!(peak <= 5, "{peak} ran at once");
    until_idle(&fleet).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn raised_quota() {
    let fleet = Fleet::start(3, 3).await;
    fleet
        .publish(&sheet(24, Some(3)), Base::At(Offset(0)))
        .await;
    until_quota(&fleet, 3).await;
    let (peak, replies) = peak_running(&fleet, submit_each(&fleet, "one", 10)).await;
    assert!(replies.iter().all(|r| r.0 == 200), "{replies:?}");
    assert!(peak <= 3, "{peak} ran at once");
    fleet
        .publish(&sheet(24, Some(12)), Base::At(Offset(1)))
        .await;
    until_quota(&fleet, 12).await;
    let (peak, replies) = peak_running(&fleet, submit_each(&fleet, "two", 20)).await;
    assert!(replies.iter().all(|r| r.0 == 200), "{replies:?}");
    assert!((4..=12).contains(&peak), "{peak} ran at once");
    until_idle(&fleet).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn small_job_first() {
    let fleet = Fleet::start(1, 1).await;
    let large = job(&[20; 140], 15_000);
    let keys = ["large-1", "large-2", "large-3"];
    let large_jobs = join_all(keys.iter().map(|key| fleet.post(0, key, &large)));
    let small = async {
        fleet
            .until(0, |s| s["services"][0]["waiting"].as_u64() > Some(140))
            .await;
        let body = job(&[20; 2], 15_000);
        let reply = fleet.post(0, "small", &body).await;
        (reply, fleet.ledger.count())
    };
    let (large_replies, (small, started)) = tokio::join!(large_jobs, small);
    assert_eq!(small.0, 200, "{small:?}");
    assert!(
        large_replies.iter().all(|r| r.0 == 200),
        "{large_replies:?}"
    );
    assert!(started < 3 * 140, "{started} tasks started before it ended");
    until_idle(&fleet).await;
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
        join_all(half.map(|(n, key)| fleet.job_request(n % 3, Method::DELETE, key))).await
    };
    let (replies, cancelled) = tokio::join!(join_all(jobs), cancels);
    assert_eq!(cancelled.len(), 24);
    assert!(
        replies.iter().skip(1).step_by(2).all(|r| r.0 == 200),
        "{replies:?}"
    );
    until_idle(&fleet).await;
    let mut closed = 0;
    for n in 0..3 {
        let status = fleet.status(n).await;
        closed += status["counts"]["waste.cancel"].as_u64().unwrap();
    }
    assert!(closed <= fleet.ledger.count());
    assert_eq!(fleet.post(0, "after", &body).await.0, 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn suspect_leases() {
    // Guards against a fleet that stays idle while tasks wait: the VM that holds
    // all leases suspects the minions, has no task left that could clear them, and
    // keeps the leases.
    let fleet = Fleet::start(2, 2).await;
    let long = job(&[10_000; 40], 20_000);
    let cancel = async {
        fleet.until_started("long", 16).await;
        fleet
            .until(1, |s| {
                let minions = s["minions"].as_array().unwrap();
                minions.iter().all(|m| m["mode"] == "suspect")
            })
            .await;
        fleet.job_request(1, Method::DELETE, "long").await
    };
    let (cancelled, _) = tokio::join!(fleet.post(1, "long", &long), cancel);
    assert_eq!(cancelled.0, 409, "{cancelled:?}");
    until_idle(&fleet).await;
    let after = fleet.post(0, "after", &job(&[50; 4], 5000)).await;
    assert_eq!(after.0, 200, "{after:?}");
    until_idle(&fleet).await;
}
