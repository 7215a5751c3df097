//! Runs `pomeloctl` against stand-ins for VMs that answer, lag, lose events or
//! can't be reached.

use std::net::{SocketAddr, TcpListener};
use std::process::Output;
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request, Response, StatusCode};
use kernel::{Incarnation, JobKey, ManualClock, Millis};
use rand::SeedableRng;
use rand_xoshiro::Xoshiro256PlusPlus;
use timeline::{EventKind, Filter, Note, Recorder};
use tokio::process::Command;
use wire::{Handler, RequestBody, Server, ServerLimits};

/// Stand-in for a VM, with fixed answers.
#[derive(Clone)]
struct Vm {
    /// Status as JSON.
    status: String,
    /// Metrics as text.
    metrics: String,
    /// Recorder of events for the time line.
    recorder: Arc<Recorder<ManualClock>>,
    /// Status code and body of the answer to a submission.
    answer: (StatusCode, &'static str),
}

impl Handler for Vm {
    async fn handle(&self, req: Request<RequestBody>) -> Response<Full<Bytes>> {
        let query = req.uri().query().unwrap_or_default();
        let (status, body) = match (req.method(), req.uri().path()) {
            (&Method::GET, "/metrics") => (StatusCode::OK, self.metrics.clone()),
            (&Method::GET, "/v1/status") => (StatusCode::OK, self.status.clone()),
            (&Method::GET, "/v1/timeline") => {
                let filter: Filter = query.parse().unwrap();
                let excerpt = self.recorder.read(&filter);
                (StatusCode::OK, serde_json::to_string(&excerpt).unwrap())
            }
            (&Method::POST, "/v1/tickets") => (StatusCode::OK, r#"{"tickets":["t1.x"]}"#.into()),
            (&Method::POST, "/v1/jobs") if req.headers().contains_key("idempotency-key") => {
                (self.answer.0, self.answer.1.to_owned())
            }
            _ => (StatusCode::NOT_FOUND, String::new()),
        };
        let mut res = Response::new(Full::from(body));
        *res.status_mut() = status;
        res
    }
}

fn status(vm: &str, sheet: u64, mode: &str) -> String {
    format!(
        r#"{{"vm":"{vm}","incarnation":"1","stage":"serving","ready":true,"sheet":{sheet},
        "log":"answers","running":3,"peers":[{{"vm":"a/vm-9","belief":"suspect"}}],
        "services":[{{"service":"quote","waiting":2,"held":4}}],
        "minions":[{{"id":"a/m-1","mode":"{mode}","leaving":false}}],
        "teams":[{{"team":"west","quota":8,"limit":4,"held":4}}]}}"#
    )
}

fn recorder(vm: &str, capacity: usize) -> Arc<Recorder<ManualClock>> {
    let incarnation = Incarnation::draw(&mut Xoshiro256PlusPlus::seed_from_u64(3));
    let clock = ManualClock::default();
    clock.advance(Millis(1_700_000_000_000));
    Arc::new(Recorder::new(
        vm.parse().unwrap(),
        incarnation,
        clock,
        capacity,
    ))
}

fn vm(name: &str, sheet: u64, mode: &str) -> Vm {
    Vm {
        status: status(name, sheet, mode),
        metrics: String::new(),
        recorder: recorder(name, 64),
        answer: (StatusCode::OK, r#"{"outcome":"complete","answers":[]}"#),
    }
}

async fn serve(vm: Vm) -> SocketAddr {
    let any = "127.0.0.1:0".parse().unwrap();
    let server = Server::bind(any, ServerLimits::default()).await.unwrap();
    let addr = server.addr().unwrap();
    tokio::spawn(server.serve(vm));
    addr
}

/// Returns an address at which nothing listens.
fn unused_addr() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}

async fn pomeloctl(vms: &[SocketAddr], args: &[&str]) -> Output {
    let vms: Vec<_> = vms.iter().map(SocketAddr::to_string).collect();
    Command::new(env!("CARGO_BIN_EXE_pomeloctl"))
        .args(["--vm", &vms.join(",")])
        .args(args)
        .output()
        .await
        .unwrap()
}

fn stdout(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

fn stderr(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

fn key() -> JobKey {
    "yard-17".parse().unwrap()
}

#[tokio::test]
async fn status_tables() {
    let one = serve(vm("a/vm-1", 9, "ejected")).await;
    let two = serve(vm("a/vm-2", 8, "normal")).await;
    let output = pomeloctl(&[one, two], &["status"]).await;
    assert_eq!(output.status.code(), Some(0), "{}", stderr(&output));
    let expected = "\
vm      stage     ready  sheet       log      jobs
a/vm-1  serving   yes    9           answers  3
a/vm-2  serving   yes    8 lags      answers  3
service quote: 8 slots held, 4 tasks waiting
minion a/m-1: ejected, says a/vm-1
team west: at quota, say all
peer a/vm-9: suspect, say all
";
    assert_eq!(stdout(&output), expected);
}

#[tokio::test]
async fn status_incomplete() {
    let one = serve(vm("a/vm-1", 9, "normal")).await;
    let unreachable = unused_addr();
    for args in [&["status"][..], &["status", "--json"]] {
        let output = pomeloctl(&[one, unreachable], args).await;
        assert_eq!(output.status.code(), Some(1));
        assert!(stdout(&output).contains("a/vm-1"));
        assert!(stderr(&output).contains(&format!("not reached: {unreachable}")));
    }
}

#[tokio::test]
async fn timeline_merged() {
    let (first, second) = (vm("a/vm-1", 9, "normal"), vm("b/vm-2", 9, "normal"));
    let job = |what| Note::new(what).job(&key());
    first.recorder.record(job(EventKind::JobReceived));
    second.recorder.observe(first.recorder.stamp());
    second.recorder.record(Note::new(EventKind::LogAway));
    second
        .recorder
        .record(job(EventKind::JobRefused).cause("log_away"));
    let vms = [serve(first).await, serve(second).await];
    let output = pomeloctl(&vms, &["timeline", "--job", "yard-17"]).await;
    assert_eq!(output.status.code(), Some(0), "{}", stderr(&output));
    let expected = "\
from 2023-11-14T22:13:20.000Z
   +0.000s  a/vm-1  job received, job yard-17
   +0.000s  b/vm-2  log away
   +0.000s  b/vm-2  job refused, job yard-17: log_away
";
    assert_eq!(stdout(&output), expected);
    let output = pomeloctl(&vms, &["timeline", "--json"]).await;
    assert_eq!(stdout(&output).lines().count(), 2, "{}", stdout(&output));
}

#[tokio::test]
async fn timeline_gaps() {
    let mut small = vm("a/vm-1", 9, "normal");
    small.recorder = recorder("a/vm-1", 16);
    for _ in 0..40 {
        small.recorder.record(Note::new(EventKind::LogAway));
    }
    let unreachable = unused_addr();
    let vms = [serve(small).await, unreachable];
    let output = pomeloctl(&vms, &["timeline"]).await;
    assert_eq!(output.status.code(), Some(1));
    assert_eq!(stdout(&output).lines().count(), 17);
    assert!(stderr(&output).contains("dropped: a/vm-1 up to 2023-11-14T22:13:20"));
    assert!(stderr(&output).contains(&format!("not reached: {unreachable}")));
    // No event of the last five minutes was dropped.
    let output = pomeloctl(&vms[..1], &["timeline", "--since", "5m"]).await;
    assert_eq!(output.status.code(), Some(0), "{}", stderr(&output));
}

#[tokio::test]
async fn job_submit() {
    let body = concat!(env!("CARGO_MANIFEST_DIR"), "/Cargo.toml");
    let one = serve(vm("a/vm-1", 9, "normal")).await;
    let output = pomeloctl(&[unused_addr(), one], &["job", "submit", body]).await;
    assert_eq!(output.status.code(), Some(0), "{}", stderr(&output));
    let mut failing = vm("a/vm-1", 9, "normal");
    let answer = r#"{"outcome":"failed","ran":"maybe","reason":"task_failed"}"#;
    failing.answer = (StatusCode::BAD_GATEWAY, answer);
    let two = serve(failing).await;
    let output = pomeloctl(&[two], &["job", "submit", body, "--key", "k"]).await;
    assert_eq!(output.status.code(), Some(1));
    assert_eq!(stdout(&output).trim(), answer);
}

#[tokio::test]
async fn load_report() {
    let one = serve(vm("a/vm-1", 9, "normal")).await;
    let args = [
        "load",
        "--rate",
        "200",
        "--duration",
        "500ms",
        "--keys",
        "bare",
    ];
    let output = pomeloctl(&[one], &args).await;
    // The stand-in leaves out the answers of the tasks, so every answer is
    // partial.
    assert_eq!(output.status.code(), Some(1), "{}", stderr(&output));
    let report: serde_json::Value = serde_json::from_str(stdout(&output).trim()).unwrap();
    assert_eq!(report["jobs"], report["complete"]);
    assert_eq!(report["partial"], report["jobs"]);
    assert!(report["jobs"].as_u64().unwrap() > 50);
}

#[tokio::test]
async fn unreachable_vms() {
    for args in [&["status"][..], &["timeline"], &["job", "show", "k"]] {
        let output = pomeloctl(&[unused_addr()], args).await;
        assert_eq!(output.status.code(), Some(1), "{args:?}");
    }
}

/// Returns the metrics of a VM that knows these evacuations.
fn metrics_of(offset: u64, domains: &[(&str, u8)]) -> String {
    let mut text = format!("pomelopost_shards_owned 1\npomelopost_evacuations_offset {offset}\n");
    for (name, value) in domains {
        text.push_str(&format!(
            "pomelopost_domain_evacuated{{domain=\"{name}\"}} {value}\n"
        ));
    }
    text
}

/// Fails if the operator can't see that a VM lags behind, or which domains are
/// evacuated.
#[tokio::test]
async fn evacuated_domains() {
    let serve_metrics = async |metrics: String| {
        serve(Vm {
            metrics,
            ..vm("a/vm-1", 9, "normal")
        })
        .await
    };
    let both = [("nadi-b", 1), ("suva-a", 0)];
    let one = serve_metrics(metrics_of(7, &both)).await;
    let two = serve_metrics(metrics_of(7, &both)).await;
    let output = pomeloctl(&[one, two], &["evacuations"]).await;
    assert_eq!(output.status.code(), Some(0), "{}", stderr(&output));
    let table = stdout(&output);
    assert_eq!(table.matches("nadi-b").count(), 2, "{table}");
    assert!(!table.contains("suva-a"), "{table}");
    let late = serve_metrics(metrics_of(6, &[("nadi-b", 0)])).await;
    let output = pomeloctl(&[one, late], &["evacuations"]).await;
    assert_eq!(output.status.code(), Some(1));
    let table = stdout(&output);
    assert!(table.contains("6 lags"), "{table}");
    assert!(table.contains("none"), "{table}");
    // A VM whose page has no such metrics, and one that can't be reached.
    let earlier = serve_metrics(String::new()).await;
    for addr in [earlier, unused_addr()] {
        let output = pomeloctl(&[one, addr], &["evacuations"]).await;
        assert_eq!(output.status.code(), Some(1));
        assert!(stderr(&output).contains("not reached"));
    }
}
