//! Measures the latency that a VM adds to calling a minion directly, and the
//! number of tasks per second that one VM runs on two threads. Compare only
//! figures of the same run with each other (docs/BENCH.md).
//!
//! `cargo bench --bench path`

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use entry::{Config, KEY_HEADER, Vm};
use hdrhistogram::Histogram;
use http_body_util::Full;
use hyper::Request;
use kernel::{Cores, Domain, Millis, Service, Slots};
use limits::LimitsConfig;
use logstore::{HttpPlatform, Platform, Presence, Stream, VmRow};
use rand::SeedableRng;
use rand_xoshiro::Xoshiro256PlusPlus;
use routing::RoutingConfig;
use sheet::{Base, Body, Change, ChangeId, Sheet, SheetRecord};
use standins::{Ledger, MinionConfig, MinionStandin, PlatformConfig, PlatformStandin};
use tokio::runtime::{Builder, Runtime};
use wire::{Client, PoolLimits, Reply, TcpConnect};

/// Number of sequential calls per kind of call.
const CALLS: usize = 3000;

/// Duration of each throughput measurement.
const MEASURE_SPAN: Duration = Duration::from_secs(5);

/// Number of tasks per job in the throughput measurement.
const JOB_TASKS: usize = 20;

/// Run time of each task in the throughput measurement.
const TASK_RUN: Millis = Millis(20);

/// Timeout for every answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);

/// VM under test, with stand-ins for the platform and minions.
struct Testbed {
    /// Runtime of the stand-ins and the callers.
    standin_runtime: Runtime,
    /// Runtime of the VM.
    vm_runtime: Runtime,
    /// VM under test.
    vm: Vm,
    /// Stand-in for the platform, which runs until the testbed is dropped.
    _platform: PlatformStandin,
    /// Stand-ins for minions.
    minions: Vec<MinionStandin>,
    /// HTTP client for the VM and the minions.
    client: Client<TcpConnect>,
}

fn runtime(threads: usize, name: &str) -> Runtime {
    let mut builder = Builder::new_multi_thread();
    builder
        .worker_threads(threads)
        .thread_name(name)
        .enable_all();
    builder.build().expect("a runtime starts")
}

fn domain() -> Domain {
    "a".parse().expect("a domain's name")
}

fn service() -> Service {
    "quote".parse().expect("a service's name")
}

impl Testbed {
    fn start(minions: usize, threads: usize) -> Testbed {
        let standin_runtime = runtime(4, "outside");
        let vm_runtime = runtime(threads, "vm");
        let platform = standin_runtime
            .block_on(PlatformStandin::start(PlatformConfig::default()))
            .expect("the platform starts");
        let ledger = Ledger::default();
        let start = |n| {
            let config = MinionConfig {
                id: format!("a/m-{n}").parse().expect("a minion's name"),
                domain: domain(),
                services: vec![service()],
                slots: Slots(8),
                cores: Cores(30),
            };
            let minion = standin_runtime.block_on(MinionStandin::start(config, ledger.clone()));
            minion.expect("a minion starts")
        };
        let minions: Vec<_> = (0..minions).map(start).collect();
        let id = "a/vm-0".parse().expect("a VM's name");
        let cfg = Config::new(id, domain(), platform.addr());
        let vm = vm_runtime
            .block_on(Vm::start(
                cfg,
                RoutingConfig::default(),
                LimitsConfig::default(),
                TcpConnect,
            ))
            .expect("the VM starts");
        let row = VmRow {
            id: vm.id().clone(),
            domain: domain(),
            callers: vm.callers(),
            peers: vm.peers(),
            presence: Presence::Live,
        };
        platform.change(|list| {
            list.vms.push(row);
            list.minions.extend(minions.iter().map(MinionStandin::row));
        });
        let client = Client::new(TcpConnect, PoolLimits::default());
        let addr = platform.addr();
        let bed = Testbed {
            standin_runtime,
            vm_runtime,
            vm,
            _platform: platform,
            minions,
            client,
        };
        bed.standin_runtime.block_on(bed.publish_sheet(addr));
        bed.standin_runtime.block_on(bed.wait_ready());
        bed
    }

    async fn publish_sheet(&self, platform: SocketAddr) {
        let record = SheetRecord::Change(Change {
            id: ChangeId::draw(&mut Xoshiro256PlusPlus::seed_from_u64(1)),
            by: "bench".parse().expect("an operator's name"),
            base: Base::Empty,
            at: Millis(0),
            body: Body::encode(None, &Sheet::unlimited()),
        });
        let text = record.to_json().expect("a record has a form");
        let platform = HttpPlatform::new(self.client.clone(), platform, Millis(2000));
        let appended = platform.append(Stream::Sheet, Bytes::from(text)).await;
        appended.expect("the log takes the sheet");
    }

    async fn wait_ready(&self) {
        while self.submit("", "ready", &body(1, Millis(0))).await != 200 {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// Submits a job and returns the status of the answer, or 0 without an
    /// answer.
    async fn submit(&self, prefix: &str, key: &str, body: &Bytes) -> u16 {
        let req = Request::post("/v1/jobs")
            .header("host", "vm")
            .header(KEY_HEADER, format!("{prefix}{key}"))
            .body(Full::new(body.clone()))
            .expect("a request");
        let reply = self
            .client
            .call(self.vm.callers(), req, ANSWER_TIMEOUT)
            .await;
        reply.map_or(0, |r| r.status.as_u16())
    }

    async fn fetch_tickets(&self) -> Vec<String> {
        let req = Request::post("/v1/tickets?count=1000")
            .header("host", "vm")
            .body(Full::default())
            .expect("a request");
        let reply = self
            .client
            .call(self.vm.callers(), req, ANSWER_TIMEOUT)
            .await;
        let body: serde_json::Value = reply
            .ok()
            .and_then(|r| serde_json::from_slice(&r.body).ok())
            .unwrap_or_default();
        let list = body["tickets"].as_array().cloned().unwrap_or_default();
        list.iter()
            .filter_map(|t| t.as_str().map(str::to_owned))
            .collect()
    }

    /// Calls a minion directly, as a VM would.
    async fn call_minion(&self, n: usize) -> Option<Reply> {
        let req = Request::post(wire::TASK_PATH)
            .header("host", "minion")
            .header(wire::JOB_HEADER, format!("direct-{n}"))
            .header(wire::TASK_HEADER, "0")
            .header(wire::SERVICE_HEADER, "quote")
            .header(wire::INCARNATION_HEADER, "0")
            .body(Full::from(r#"{"run_ms":0}"#))
            .expect("a request");
        let minion = self.minions[n % self.minions.len()].addr();
        self.client.call(minion, req, ANSWER_TIMEOUT).await.ok()
    }
}

fn body(tasks: usize, run: Millis) -> Bytes {
    let task = |i| format!(r#"{{"id":"{i}","payload":{{"run_ms":{}}}}}"#, run.0);
    let tasks: Vec<_> = (0..tasks).map(task).collect();
    let text = format!(
        r#"{{"team":"t1","service":"quote","deadline_ms":10000,"tasks":[{}]}}"#,
        tasks.join(",")
    );
    Bytes::from(text)
}

async fn measure<T>(times: &mut Histogram<u64>, call: impl Future<Output = T>) -> T {
    let start = Instant::now();
    let result = call.await;
    times.saturating_record(start.elapsed().as_micros() as u64);
    result
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 60_000_000, 3).expect("bounds of a histogram")
}

/// Measures calls to minions directly, through the VM with tickets and through
/// the VM with bare keys. The three alternate, so that all meet the same
/// machine load.
async fn latency(bed: &Testbed) {
    let body = body(1, Millis(0));
    let (mut direct, mut ticket, mut bare) = (histogram(), histogram(), histogram());
    let mut tickets = Vec::new();
    for n in 0..CALLS {
        if tickets.is_empty() {
            tickets = bed.fetch_tickets().await;
        }
        measure(&mut direct, bed.call_minion(n)).await;
        let key = tickets.pop().unwrap_or_default();
        let status = measure(&mut ticket, bed.submit("", &key, &body)).await;
        assert_eq!(status, 200, "a job with a ticket failed");
        // A claim waits for a synced write to the log, so only every tenth call
        // uses one.
        if n % 10 == 0 {
            let status = measure(&mut bare, bed.submit("bare-", &n.to_string(), &body)).await;
            assert_eq!(status, 200, "a job with a bare key failed");
        }
    }
    for (name, times) in [
        ("direct", &direct),
        ("ticket", &ticket),
        ("bare key", &bare),
    ] {
        let (p50, p99) = (times.value_at_quantile(0.5), times.value_at_quantile(0.99));
        let base50 = direct.value_at_quantile(0.5);
        let base99 = direct.value_at_quantile(0.99);
        println!(
            "latency {name:9} p50 {p50:6} us p99 {p99:6} us | added p50 {:6} us, p99 {:6} us",
            p50.saturating_sub(base50),
            p99.saturating_sub(base99),
        );
    }
}

/// Keeps `jobs` jobs in flight and counts the tasks that complete.
async fn throughput(bed: Arc<Testbed>, jobs: usize) {
    let done = Arc::new(AtomicU64::new(0));
    let refused = Arc::new(AtomicU64::new(0));
    let end = Instant::now() + MEASURE_SPAN;
    let callers: Vec<_> = (0..jobs)
        .map(|_| {
            let (bed, done, refused) = (bed.clone(), done.clone(), refused.clone());
            tokio::spawn(async move {
                let body = body(JOB_TASKS, TASK_RUN);
                let mut tickets = Vec::new();
                while Instant::now() < end {
                    if tickets.is_empty() {
                        tickets = bed.fetch_tickets().await;
                    }
                    let key = tickets.pop().unwrap_or_default();
                    match bed.submit("", &key, &body).await {
                        200 => done.fetch_add(JOB_TASKS as u64, Ordering::Relaxed),
                        _ => refused.fetch_add(1, Ordering::Relaxed),
                    };
                }
            })
        })
        .collect();
    let before = cpu_seconds();
    let start = Instant::now();
    for caller in callers {
        let _ = caller.await;
    }
    let elapsed = start.elapsed().as_secs_f64();
    let used = cpu_seconds() - before;
    println!(
        "throughput {jobs:4} jobs in flight: {:8.0} tasks/s, {} jobs refused, {:.2} cores of VM threads",
        done.load(Ordering::Relaxed) as f64 / elapsed,
        refused.load(Ordering::Relaxed),
        used / elapsed,
    );
}

/// Returns the processor time in seconds that the threads of the VM have used.
fn cpu_seconds() -> f64 {
    /// Clock ticks per second in /proc on Linux.
    const TICKS_PER_SECOND: f64 = 100.0;
    let Ok(tasks) = std::fs::read_dir("/proc/self/task") else {
        return 0.0;
    };
    let ticks = |text: String| -> Option<f64> {
        let (name, rest) = text.split_once(')')?;
        if !name.ends_with("(vm") {
            return Some(0.0);
        }
        let fields: Vec<&str> = rest.split_whitespace().collect();
        Some(fields.get(11)?.parse::<f64>().ok()? + fields.get(12)?.parse::<f64>().ok()?)
    };
    let stats = tasks.flatten().filter_map(|t| {
        let text = std::fs::read_to_string(t.path().join("stat")).ok()?;
        ticks(text)
    });
    stats.sum::<f64>() / TICKS_PER_SECOND
}

fn main() {
    let bed = Testbed::start(4, 2);
    bed.standin_runtime.block_on(latency(&bed));
    bed.vm_runtime.shutdown_background();
    let bed = Arc::new(Testbed::start(60, 2));
    for jobs in [5, 10, 20, 40] {
        bed.standin_runtime.block_on(throughput(bed.clone(), jobs));
    }
    println!("vm {} ends", bed.vm.id());
}
