//! Bodies that are being received share a budget. A submission that finds it spent is
//! refused as not run, with the time to come back; small ones are not concerned.

mod common;

use common::{Fleet, job};
use entry::Config;
use serde_json::{Value, json};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// Room for one body of 100 kB.
const BODY_MEMORY: usize = 100_000;

fn little_memory(mut cfg: Config) -> Config {
    cfg.jobs.body_memory = BODY_MEMORY;
    cfg
}

/// Returns a job whose payload makes its body longer than 64 KiB.
fn large_job() -> String {
    let mut body: Value = serde_json::from_str(&job(&[20], 5_000)).unwrap();
    body["tasks"][0]["payload"]["padding"] = json!("x".repeat(70_000));
    body.to_string()
}

async fn reserved(fleet: &Fleet) -> usize {
    let status = fleet.status(0).await;
    status["body_memory"].as_u64().unwrap() as usize
}

#[tokio::test(flavor = "multi_thread")]
async fn spent() {
    let fleet = Fleet::start_with(1, 1, little_memory).await;
    let mut stopped = TcpStream::connect(fleet.vms[0].callers()).await.unwrap();
    let head = "POST /v1/jobs HTTP/1.1\r\nhost: vm\r\nidempotency-key: stopped\r\n\
                content-length: 100000\r\n\r\n";
    stopped.write_all(head.as_bytes()).await.unwrap();
    stopped.write_all(&[b' '; 90_000]).await.unwrap();
    while reserved(&fleet).await < BODY_MEMORY / 2 {}
    let (status, answer) = fleet.post(0, "large", &large_job()).await;
    assert_eq!(status, 503, "{answer}");
    assert_eq!(answer["reason"], "overloaded", "{answer}");
    assert_eq!(answer["ran"], "no", "{answer}");
    assert_eq!(answer["retry_after_ms"], 1_000, "{answer}");
    assert_eq!(fleet.ledger.count(), 0);
    let (status, answer) = fleet.submit(0, "small", &[20]).await;
    assert_eq!(status, 200, "{answer}");
    drop(stopped);
    while reserved(&fleet).await > 0 {}
    let (status, answer) = fleet.post(0, "large", &large_job()).await;
    assert_eq!(status, 200, "{answer}");
    assert_eq!(reserved(&fleet).await, 0);
}
