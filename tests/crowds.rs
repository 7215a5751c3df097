//! Crowds of clients that send legal bodies, in part or whole, and stay connected.
//! Whatever they do, the VM's process lives, keeps to the memory and the descriptors of
//! its settings, and answers an ordinary caller (docs/design/client-memory.md).

mod crowd;

use std::net::SocketAddr;
use std::time::Duration;

use crowd::{Crowd, LEGAL_BODY, Scenario, Script, TIMEOUT};
use kernel::{MilliCores, Millis};
use platform_standin::{Answer, Caller};
use soak::lasting_queue;
use standins::Work;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Size of a crowd whose bodies are [`LEGAL_BODY`] long.
const CROWD: usize = 600;

/// Size of a crowd of connections, more than the VM's descriptors allow.
const CONNECTIONS: usize = 1_300;

/// Port of the metrics, as in deploy/system.toml.
const METRICS_PORT: u16 = 9_464;

/// Number of bytes that a client withholds at the end of its body.
const WITHHELD: usize = 16;

/// Returns the head of a submission whose body is announced by this header.
fn head(number: u64, body: &str) -> Vec<u8> {
    let queue = lasting_queue().unwrap();
    format!(
        "POST {}{number:016x} HTTP/1.1\r\nHost: {}\r\nContent-Type: application/json\r\n\
         X-Request-Deadline: 20000\r\n{body}\r\n\r\n",
        queue.prefix(),
        queue.host(),
    )
    .into_bytes()
}

fn sized_head(number: u64) -> Vec<u8> {
    head(number, &format!("Content-Length: {LEGAL_BODY}"))
}

fn chunked_head(number: u64) -> Vec<u8> {
    head(number, "Transfer-Encoding: chunked")
}

/// Returns a job of the greatest legal size. A crowd of them runs at once.
fn large_job(span_ms: u64) -> Vec<u8> {
    let work = Work {
        cpu: MilliCores(50),
        ..Work::new(1, Millis(span_ms))
    };
    let start = format!(
        "{{\"spec\":\"{work}\",\"preemptible\":true,\
         \"phases\":[{{\"count\":1,\"cpu\":50,\"mem-mb\":64,\"estimated-ms\":{span_ms}}}],\
         \"padding\":\""
    );
    let padding = LEGAL_BODY - start.len() - 2;
    format!("{start}{}\"}}", "x".repeat(padding)).into_bytes()
}

async fn assert_withstands(name: &str, count: usize, script: Script) {
    let mut scenario = Scenario::start(name).await;
    let _crowd = Crowd::send(scenario.front(), count, &script).await;
    scenario.assert_sound().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn short_of_end() {
    let body = vec![b' '; LEGAL_BODY - WITHHELD];
    assert_withstands("short_of_end", CROWD, Script::once(sized_head, vec![body])).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn in_parts() {
    let body = vec![b' '; LEGAL_BODY - WITHHELD];
    let parts = body.chunks(8 << 10).map(<[u8]>::to_vec).collect();
    let script = Script {
        pause: Duration::from_millis(50),
        ..Script::once(sized_head, parts)
    };
    assert_withstands("in_parts", CROWD, script).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn one_chunk() {
    let size = LEGAL_BODY - WITHHELD;
    let mut chunk = format!("{LEGAL_BODY:x}\r\n").into_bytes();
    chunk.resize(chunk.len() + size, b' ');
    assert_withstands("one_chunk", CROWD, Script::once(chunked_head, vec![chunk])).await;
}

/// A chunk must not cost much more than its bytes.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn tiny_chunks() {
    let chunk = format!("10\r\n{}\r\n", " ".repeat(16));
    let chunks = chunk.repeat(LEGAL_BODY / 16 - 1).into_bytes();
    assert_withstands(
        "tiny_chunks",
        CROWD,
        Script::once(chunked_head, vec![chunks]),
    )
    .await;
}

/// Jobs that run or wait must not hold their bodies.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn whole_jobs() {
    let script = Script {
        awaits_answers: true,
        ..Script::once(sized_head, vec![large_job(2_000)])
    };
    let mut scenario = Scenario::start("whole_jobs").await;
    let _crowd = Crowd::send(scenario.front(), CROWD, &script).await;
    // The stand-ins of the minions may have missed holds beside so many jobs.
    scenario.await_service().await;
    scenario.assert_sound().await;
}

/// Returns a request with a job of many tasks, which is decoded to far more than its bytes.
/// No minion has room for them at once.
fn wide_job(number: u64) -> Vec<u8> {
    let work = Work::new(4, Millis(1_000));
    let body = format!(
        "{{\"spec\":\"{work}\",\"preemptible\":true,\
         \"phases\":[{{\"count\":2000,\"cpu\":4000,\"mem-mb\":64,\"estimated-ms\":1}}]}}"
    );
    let mut request = head(number, &format!("Content-Length: {}", body.len()));
    request.extend_from_slice(body.as_bytes());
    request
}

/// Jobs that wait are bounded by admission, whatever they are decoded to.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn wide_jobs() {
    let mut scenario = Scenario::start("wide_jobs").await;
    let crowd = Crowd::send(scenario.front(), CROWD, &Script::once(wide_job, vec![])).await;
    // The jobs are cancelled and leave the minions to others.
    drop(crowd);
    scenario.await_service().await;
    scenario.assert_sound().await;
}

/// Clients that are closed send again at once.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn sent_again() {
    let body = vec![b' '; LEGAL_BODY - WITHHELD];
    let script = Script {
        rounds: 3,
        ..Script::once(sized_head, vec![body])
    };
    assert_withstands("sent_again", CROWD, script).await;
}

/// A client may say that it waits for as long as it likes.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn endless_deadlines() {
    let mut scenario = Scenario::start("endless_deadlines").await;
    let deadlines = [1 << 40, u64::MAX / 1_000, u64::MAX / 2, u64::MAX];
    for (number, deadline) in (2..).zip(deadlines) {
        let body = large_job(30);
        let queue = lasting_queue().unwrap();
        let head = format!(
            "POST {}{number:016x} HTTP/1.1\r\nHost: {}\r\nContent-Length: {}\r\n\
             X-Request-Deadline: {deadline}\r\n\r\n",
            queue.prefix(),
            queue.host(),
            body.len()
        );
        let mut stream = TcpStream::connect(scenario.front()).await.unwrap();
        stream.write_all(head.as_bytes()).await.unwrap();
        stream.write_all(&body).await.unwrap();
        let mut answer = vec![0; 12];
        stream.read_exact(&mut answer).await.unwrap();
        let answer = String::from_utf8_lossy(&answer);
        assert_eq!(answer, "HTTP/1.1 200", "deadline of {deadline} ms");
    }
    scenario.assert_sound().await;
}

/// A client inside the limits is served in calm, however it sends its body.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn calm_large_body() {
    let mut scenario = Scenario::start("calm_large_body").await;
    for (number, pause) in [(2, 0), (3, 20)] {
        let mut stream = TcpStream::connect(scenario.front()).await.unwrap();
        stream.write_all(&sized_head(number)).await.unwrap();
        for part in large_job(30).chunks(8 << 10) {
            stream.write_all(part).await.unwrap();
            tokio::time::sleep(Duration::from_millis(pause)).await;
        }
        let mut answer = vec![0; 12];
        stream.read_exact(&mut answer).await.unwrap();
        assert_eq!(String::from_utf8_lossy(&answer), "HTTP/1.1 200");
    }
    assert_eq!(scenario.submit(4).await, Answer::Completed);
    scenario.assert_sound().await;
}

/// Clients that ask on and on and read no answer.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn unread_answers() {
    let question = |_| b"GET /none/1 HTTP/1.1\r\nHost: a\r\n\r\n".repeat(2_000);
    let more = vec![question(0); 16];
    let script = Script {
        reads: false,
        ..Script::once(question, more)
    };
    assert_withstands("unread_answers", 150, script).await;
}

/// The pages for balancers and operators are no way around the limits.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn pages() {
    let mut scenario = Scenario::start("pages").await;
    let metrics = SocketAddr::from((scenario.front().ip(), METRICS_PORT));
    let question = |_| b"GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n".repeat(500);
    let more = vec![question(0); 4];
    let unread = Script {
        reads: false,
        ..Script::once(question, more)
    };
    let body = vec![b' '; LEGAL_BODY - WITHHELD];
    let short = Script::once(sized_head, vec![body]);
    let mut crowds = Vec::new();
    for page in [metrics, scenario.site.vms[0].ready] {
        crowds.push(Crowd::send(page, 100, &unread).await);
        crowds.push(Crowd::send(page, 100, &short).await);
    }
    let balancer = Caller::default();
    let ready = balancer.ready(scenario.site.vms[0].ready, TIMEOUT).await;
    assert!(ready, "the balancer's probe fails");
    scenario.assert_sound().await;
}

/// Returns no bytes of a request.
fn silence(_: u64) -> Vec<u8> {
    Vec::new()
}

fn unfinished_head(number: u64) -> Vec<u8> {
    let mut head = sized_head(number);
    head.truncate(head.len() - 4);
    head
}

/// Clients that send nothing give way to others.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn silent_clients() {
    assert_withstands("silent_clients", CONNECTIONS, Script::once(silence, vec![])).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn unfinished_heads() {
    let script = Script::once(unfinished_head, vec![]);
    assert_withstands("unfinished_heads", CONNECTIONS, script).await;
}
