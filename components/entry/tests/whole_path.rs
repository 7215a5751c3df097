//! Jobs submitted over HTTP run at minions and return complete answers.

mod common;

use common::Fleet;
use hyper::Method;

#[tokio::test(flavor = "multi_thread")]
async fn bare_key() {
    let fleet = Fleet::start(1, 1).await;
    let (status, body) = fleet.submit(0, "job-1", &[10, 20, 5]).await;
    assert_eq!(status, 200, "{body}");
    assert_eq!(body["outcome"], "complete");
    let answers = body["answers"].as_array().unwrap();
    let ids: Vec<_> = answers.iter().map(|a| a["id"].as_str().unwrap()).collect();
    assert_eq!(ids, ["0", "1", "2"]);
    assert!(answers.iter().all(|a| a["answer"]["job"] == "job-1"));
    assert_eq!(fleet.ledger.count(), 3);
}

#[tokio::test(flavor = "multi_thread")]
async fn with_ticket() {
    let fleet = Fleet::start(1, 1).await;
    let ticket = fleet.ticket(0).await;
    let (status, body) = fleet.submit(0, &ticket, &[10]).await;
    assert_eq!(status, 200, "{body}");
    let (again, same) = fleet.submit(0, &ticket, &[10]).await;
    assert_eq!((again, same), (200, body));
    assert_eq!(fleet.ledger.count(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn more_tasks_than_slots() {
    let fleet = Fleet::start(1, 1).await;
    let (status, body) = fleet.submit(0, "job-1", &[20; 40]).await;
    assert_eq!(status, 200, "{body}");
    assert_eq!(fleet.ledger.count(), 40);
    assert_eq!(fleet.ledger.double_starts(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn several_vms() {
    let fleet = Fleet::start(3, 2).await;
    let ticket = fleet.ticket(0).await;
    for key in ["job-1", &ticket] {
        let one = fleet.submit(0, key, &[200, 100]);
        let two = fleet.submit(1, key, &[200, 100]);
        let three = fleet.submit(2, key, &[200, 100]);
        let (one, two, three) = tokio::join!(one, two, three);
        assert_eq!(one.0, 200, "{one:?}");
        assert_eq!(one, two);
        assert_eq!(one, three);
        assert_eq!(fleet.submit(1, key, &[200, 100]).await, one);
    }
    assert_eq!(fleet.ledger.count(), 4);
    assert_eq!(fleet.ledger.double_starts(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn cancel_running() {
    let fleet = Fleet::start(2, 1).await;
    let ticket = fleet.ticket(0).await;
    let job = fleet.submit(0, &ticket, &[5000, 5000]);
    let cancel = async {
        fleet.until(0, |s| s["counts"]["tasks.sent"] == 2).await;
        fleet.job_request(1, Method::DELETE, &ticket).await
    };
    let (job, cancel) = tokio::join!(job, cancel);
    assert_eq!(job.0, 409, "{job:?}");
    assert_eq!(job.1["ran"], "maybe");
    assert_eq!(cancel.1, job.1);
    fleet.until(0, |s| s["services"][0]["held"] == 0).await;
    fleet.until(0, |s| s["counts"]["waste.cancel"] == 2).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn failed_task() {
    let fleet = Fleet::start(1, 1).await;
    let body = r#"{"team":"t1","service":"quote","deadline_ms":5000,"tasks":[
        {"id":"good","payload":{"run_ms":4000}},
        {"id":"bad","payload":{"run_ms":10,"fails":true}}]}"#;
    let (status, body) = fleet.post(0, "job-1", body).await;
    assert_eq!(status, 502);
    assert_eq!(body["reason"], "task_failed");
    assert_eq!(body["task"], "bad");
    assert_eq!(body["ran"], "maybe");
}
