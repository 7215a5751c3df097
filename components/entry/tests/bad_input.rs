//! Malformed requests are refused with a reply that names the invalid field, and
//! running jobs are not affected.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use common::{Fleet, TIMEOUT, job};
use entry::Config;
use http_body_util::Full;
use hyper::Request;
use kernel::Millis;
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// The timeouts of a request's headers and body in these tests.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(300);

fn short_timeouts(mut cfg: Config) -> Config {
    cfg.jobs.body_wait = Millis(REQUEST_TIMEOUT.as_millis() as u64);
    cfg.server.header_wait = REQUEST_TIMEOUT;
    cfg
}

/// Returns a valid request body.
fn valid_body() -> Value {
    json!({
        "team": "t1",
        "service": "quote",
        "deadline_ms": 1000,
        "tasks": [{"id": "0", "payload": {}}],
    })
}

/// Returns a valid request body with one field changed.
fn with_field(field: &str, value: Value) -> String {
    let mut body = valid_body();
    body[field] = value;
    body.to_string()
}

fn tasks(count: usize) -> Value {
    (0..count).map(|i| json!({"id": i.to_string()})).collect()
}

/// Asserts that a request body is refused because of a field.
async fn assert_refused(fleet: &Fleet, body: &str, field: &str) {
    let (status, answer) = fleet.post(0, "bad-1", body).await;
    assert_eq!(status, 400, "{answer}");
    assert_eq!(answer["reason"], "bad_request", "{answer}");
    assert_eq!(answer["ran"], "no", "{answer}");
    assert_eq!(answer["field"], field, "{answer}");
}

/// Sends raw bytes and returns the answer, once the VM has closed the connection.
async fn send_raw(addr: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(addr).await.unwrap();
    stream.write_all(bytes).await.unwrap();
    let mut answer = Vec::new();
    let read = timeout(TIMEOUT, stream.read_to_end(&mut answer)).await;
    let _ = read.expect("the VM did not close the connection in time");
    String::from_utf8_lossy(&answer).into_owned()
}

/// Sends a request's head, then one byte at a time until the VM closes the
/// connection.
async fn send_slowly(addr: SocketAddr, head: &str) {
    let mut stream = TcpStream::connect(addr).await.unwrap();
    stream.write_all(head.as_bytes()).await.unwrap();
    let (mut read, mut write) = stream.into_split();
    let writer = tokio::spawn(async move {
        while write.write_all(b" ").await.is_ok() {
            tokio::time::sleep(REQUEST_TIMEOUT / 10).await;
        }
    });
    let mut answer = Vec::new();
    let closed = timeout(TIMEOUT, read.read_to_end(&mut answer)).await;
    let _ = closed.expect("the VM did not close the connection in time");
    writer.abort();
}

#[tokio::test(flavor = "multi_thread")]
async fn invalid_fields() {
    let fleet = Fleet::start(1, 1).await;
    assert_refused(&fleet, "", "body").await;
    assert_refused(&fleet, "{", "body").await;
    assert_refused(&fleet, "[]", "body").await;
    assert_refused(&fleet, &(valid_body().to_string() + "x"), "body").await;
    assert_refused(&fleet, &with_field("team", json!(7)), "team").await;
    assert_refused(&fleet, &with_field("team", json!("")), "team").await;
    assert_refused(&fleet, &with_field("service", json!([])), "service").await;
    assert_refused(
        &fleet,
        &with_field("idempotent", json!("yes")),
        "idempotent",
    )
    .await;
    assert_refused(
        &fleet,
        &with_field("deadline_ms", json!("soon")),
        "deadline_ms",
    )
    .await;
    assert_refused(&fleet, &with_field("deadline_ms", json!(-1)), "deadline_ms").await;
    assert_refused(&fleet, &with_field("deadline_ms", json!(0)), "deadline_ms").await;
    assert_refused(
        &fleet,
        &with_field("deadline_ms", json!(60_001)),
        "deadline_ms",
    )
    .await;
    assert_refused(&fleet, &with_field("bogus", json!(1)), "bogus").await;
    assert_refused(&fleet, &with_field("tasks", json!({})), "tasks").await;
    assert_refused(&fleet, &with_field("tasks", tasks(0)), "tasks").await;
    assert_refused(&fleet, &with_field("tasks", tasks(141)), "tasks").await;
    let duplicate = json!([{"id": "a"}, {"id": "b"}, {"id": "a"}]);
    assert_refused(&fleet, &with_field("tasks", duplicate), "tasks").await;
    let wrong = json!([{"id": "a"}, {"id": 2}]);
    assert_refused(&fleet, &with_field("tasks", wrong), "tasks[1].id").await;
    let extra = json!([{"id": "a", "size": 2}]);
    assert_refused(&fleet, &with_field("tasks", extra), "tasks[0].size").await;
    for field in ["team", "service", "deadline_ms", "tasks"] {
        let mut body = valid_body();
        body.as_object_mut().unwrap().remove(field);
        assert_refused(&fleet, &body.to_string(), field).await;
    }
    let missing = json!([{"id": "a"}, {"payload": 1}]);
    assert_refused(&fleet, &with_field("tasks", missing), "tasks[1].id").await;
    assert_eq!(fleet.ledger.count(), 0);
    assert_eq!(fleet.status(0).await["counts"]["requests.refused"], 24);
}

#[tokio::test(flavor = "multi_thread")]
async fn invalid_keys() {
    let fleet = Fleet::start(1, 1).await;
    let long = "k".repeat(4096);
    let keys: [&[&[u8]]; 6] = [
        &[],
        &[b"one", b"two"],
        &[long.as_bytes()],
        &[b"\xff\xfe"],
        &[b""],
        &[b"t1.not-a-ticket"],
    ];
    for headers in keys {
        let mut req = Request::post("/v1/jobs").header("host", "vm");
        for key in headers {
            req = req.header(entry::KEY_HEADER, *key);
        }
        let body = Full::new(Bytes::from(valid_body().to_string()));
        let reply = fleet.send(0, req.body(body).unwrap()).await.unwrap();
        let (status, answer) = common::read(reply);
        assert_eq!(status, 400, "{answer}");
        assert_eq!(answer["field"], "Idempotency-Key", "{answer}");
    }
    assert_eq!(fleet.ledger.count(), 0);
    assert_eq!(fleet.status(0).await["counts"]["requests.refused"], 6);
}

#[tokio::test(flavor = "multi_thread")]
async fn unknown_service() {
    let fleet = Fleet::start(1, 1).await;
    let (status, answer) = fleet
        .post(0, "job-1", &with_field("service", json!("none")))
        .await;
    assert_eq!(status, 422, "{answer}");
    assert_eq!(answer["ran"], "no", "{answer}");
    assert_eq!(answer["reason"], "unknown_service", "{answer}");
}

#[tokio::test(flavor = "multi_thread")]
async fn long_body() {
    let fleet = Fleet::start(1, 1).await;
    let body = "x".repeat(10 << 20);
    let (status, answer) = fleet.post(0, "job-1", &body).await;
    assert_eq!(status, 413, "{answer}");
    assert_eq!(answer["field"], "body", "{answer}");
}

#[tokio::test(flavor = "multi_thread")]
async fn huge_headers() {
    let fleet = Fleet::start(1, 1).await;
    let head = format!("GET /live HTTP/1.1\r\nx: {}\r\n\r\n", "y".repeat(64 << 10));
    let answer = send_raw(fleet.vms[0].callers(), head.as_bytes()).await;
    assert!(
        answer.is_empty() || answer.starts_with("HTTP/1.1 431"),
        "{answer}"
    );
    assert_eq!(fleet.status(0).await["ready"], true);
}

#[tokio::test(flavor = "multi_thread")]
async fn slow_caller() {
    let fleet = Fleet::start_with(1, 1, short_timeouts).await;
    let addr = fleet.vms[0].callers();
    let running = fleet.submit(0, "job-1", &[1500]);
    let head = "POST /v1/jobs HTTP/1.1\r\nhost: vm\r\n";
    let body = format!("{head}idempotency-key: slow\r\ncontent-length: 100000\r\n\r\n");
    let slow = async {
        tokio::join!(send_slowly(addr, head), send_slowly(addr, &body));
        assert_eq!(fleet.status(0).await["running"], 1);
    };
    let (running, ()) = tokio::join!(running, slow);
    assert_eq!(running.0, 200, "{running:?}");
    assert_eq!(fleet.starts_of("slow"), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn half_sent() {
    let fleet = Fleet::start_with(1, 1, short_timeouts).await;
    let body = job(&[10], 1000);
    let head = format!(
        "POST /v1/jobs HTTP/1.1\r\nhost: vm\r\nidempotency-key: half\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    for half in [&head[..20], &head, &format!("{head}{}", &body[..20])] {
        let mut stream = TcpStream::connect(fleet.vms[0].callers()).await.unwrap();
        stream.write_all(half.as_bytes()).await.unwrap();
    }
    let reply = send_raw(
        fleet.vms[0].callers(),
        format!("{head}{}", &body[..20]).as_bytes(),
    )
    .await;
    assert!(reply.starts_with("HTTP/1.1 408"), "{reply}");
    // The VM may be closing the client's idle connection, whose time is up.
    fleet.client.close_idle(fleet.vms[0].callers());
    assert_eq!(fleet.submit(0, "job-1", &[10]).await.0, 200);
    assert_eq!(fleet.starts_of("half"), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn peer_message() {
    let fleet = Fleet::start(2, 1).await;
    let running = fleet.submit(0, "job-1", &[300]);
    let messages = async {
        for (body, status) in [
            (&b""[..], 400),
            (b"\x00", 400),
            (b"\x00\x01garbage", 400),
            (b"\x00\x07\xc0", 426),
        ] {
            for path in [
                "pass", "await", "find", "cancel", "claimed", "beat", "handover",
            ] {
                let req = Request::post(format!("/peer/v1/{path}"))
                    .header("host", "vm")
                    .body(Full::new(Bytes::copy_from_slice(body)))
                    .unwrap();
                let peers = fleet.vms[0].peers();
                let reply = fleet.client.call(peers, req, TIMEOUT).await.unwrap();
                assert_eq!(reply.status, status, "{path}");
            }
        }
    };
    let (running, ()) = tokio::join!(running, messages);
    assert_eq!(running.0, 200, "{running:?}");
    let counts = fleet.status(0).await["counts"].clone();
    assert_eq!(counts["waste.broken"], 21);
    assert_eq!(counts["waste.version"], 7);
}
