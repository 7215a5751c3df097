//! A minion with a fixed number of slots, whose tasks sleep for their run time.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use compact_str::CompactString;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::{HeaderMap, Method, Request, Response, StatusCode};
use kernel::{Cores, Domain, MinionId, Service, Slots};
use logstore::{MinionRow, Presence};
use serde::{Deserialize, Serialize};
use wire::{
    INCARNATION_HEADER, JOB_HEADER, SERVICE_HEADER, STARTED_HEADER, TASK_HEADER, TASK_PATH,
};

use crate::ledger::{Ledger, Start};
use crate::listener::{Disconnect, Listener, Serve};
use crate::respond::{empty, json};

/// Configuration of a minion.
#[derive(Debug, Clone)]
pub struct MinionConfig {
    /// The id of the minion.
    pub id: MinionId,
    /// Its failure domain.
    pub domain: Domain,
    /// The services that it offers.
    pub services: Vec<Service>,
    /// The number of tasks that it runs at once.
    pub slots: Slots,
    /// The cores of its worker.
    pub cores: Cores,
}

/// The payload of a task.
#[derive(Debug, Deserialize)]
struct Payload {
    /// The run time in milliseconds.
    #[serde(default)]
    run_ms: u64,
    /// Whether the task fails at its end.
    #[serde(default)]
    fails: bool,
}

/// The answer to a task. It names the task, so that a mixed-up answer is
/// detected.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskReply {
    /// The job's key.
    pub job: CompactString,
    /// The task's id within its job.
    pub task: CompactString,
    /// The minion that ran it.
    pub minion: MinionId,
}

/// Largest payload in bytes.
const MAX_PAYLOAD: usize = 16 << 20;

/// Timeout for reading a payload.
const PAYLOAD_TIMEOUT: Duration = Duration::from_secs(10);

/// State that the minion's requests share.
struct State {
    /// The configuration of the minion.
    config: MinionConfig,
    /// The ledger that records starts.
    ledger: Ledger,
    /// The number of running tasks.
    running: AtomicU32,
    /// Whether every task fails immediately.
    failing: AtomicBool,
    /// Whether the minion is leaving.
    leaving: AtomicBool,
    /// The factor on run times, as the bits of an `f64`.
    factor: AtomicU64,
}

/// A cloneable handle to a minion on loopback.
#[derive(Clone)]
pub struct MinionStandin {
    /// The state that its requests share.
    state: Arc<State>,
    /// Its listener.
    listener: Arc<Listener>,
}

impl MinionStandin {
    /// Starts a minion on a free port.
    ///
    /// # Errors
    ///
    /// Fails when no port can be bound.
    pub async fn start(config: MinionConfig, ledger: Ledger) -> io::Result<MinionStandin> {
        let state = Arc::new(State {
            config,
            ledger,
            running: AtomicU32::new(0),
            failing: AtomicBool::new(false),
            leaving: AtomicBool::new(false),
            factor: AtomicU64::new(1f64.to_bits()),
        });
        let addr = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let listener = Listener::bind(addr, Tasks(state.clone())).await?;
        Ok(MinionStandin {
            state,
            listener: Arc::new(listener),
        })
    }

    /// Returns the address that takes tasks.
    pub fn addr(&self) -> SocketAddr {
        self.listener.addr()
    }

    /// Returns the minion's row in the platform's list of machines.
    pub fn row(&self) -> MinionRow {
        let config = &self.state.config;
        let presence = match self.state.leaving.load(Ordering::SeqCst) {
            true => Presence::Leaving,
            false => Presence::Live,
        };
        MinionRow {
            id: config.id.clone(),
            domain: config.domain.clone(),
            addr: self.addr(),
            presence,
            services: config.services.clone(),
            slots: config.slots,
            cores: config.cores,
        }
    }

    /// Returns the number of running tasks.
    pub fn running(&self) -> u32 {
        self.state.running.load(Ordering::SeqCst)
    }

    /// Closes the listener and breaks all connections, which ends their tasks.
    pub fn kill(&self) {
        self.listener.kill();
    }

    /// Listens again after [`MinionStandin::kill`].
    ///
    /// # Errors
    ///
    /// Fails when another process has taken the port meanwhile.
    pub async fn restart(&self) -> io::Result<()> {
        self.listener.restart(Tasks(self.state.clone())).await
    }

    /// Sets whether every task fails immediately.
    pub fn fail_all(&self, on: bool) {
        self.state.failing.store(on, Ordering::SeqCst);
    }

    /// Sets the factor on the run times of tasks that start from now on.
    pub fn slow(&self, factor: f64) {
        self.state.factor.store(factor.to_bits(), Ordering::SeqCst);
    }

    /// Stops all traffic on the connections that are open now, without closing
    /// them.
    pub fn silence(&self) {
        self.listener.silence();
    }

    /// Marks the minion as leaving. The caller has to update its row in the
    /// platform's list of machines.
    pub fn leave(&self) {
        self.state.leaving.store(true, Ordering::SeqCst);
        self.state.ledger.leave(self.state.config.id.clone());
    }
}

/// A slot in use, which is freed on drop.
struct Slot<'a> {
    /// The minion's number of running tasks.
    running: &'a AtomicU32,
}

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        self.running.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Handler of task requests.
#[derive(Clone)]
struct Tasks(Arc<State>);

impl Serve for Tasks {
    async fn serve(&self, req: Request<Incoming>) -> Result<Response<Full<Bytes>>, Disconnect> {
        self.0.ledger.count_message();
        let res = self.0.answer(req).await;
        self.0.ledger.count_message();
        Ok(res)
    }
}

impl State {
    async fn answer(&self, req: Request<Incoming>) -> Response<Full<Bytes>> {
        if req.method() != Method::POST || req.uri().path() != TASK_PATH {
            return empty(StatusCode::NOT_FOUND);
        }
        let (head, body) = req.into_parts();
        let Ok(body) = wire::read_body(body, MAX_PAYLOAD, PAYLOAD_TIMEOUT).await else {
            return empty(StatusCode::BAD_REQUEST);
        };
        let offered = self.offers(header(&head.headers, SERVICE_HEADER));
        match self.take_slot() {
            Some(slot) if offered => self.run(&head.headers, &body, slot).await,
            _ => not_started(),
        }
    }

    fn offers(&self, service: &str) -> bool {
        let services = &self.config.services;
        services.iter().any(|s| s.as_str() == service)
    }

    fn take_slot(&self) -> Option<Slot<'_>> {
        let max = self.config.slots.0;
        let increment = |n| (n < max).then_some(n + 1);
        self.running
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, increment)
            .ok()?;
        Some(Slot {
            running: &self.running,
        })
    }

    /// Runs a task. Dropping the future cancels it and frees its slot.
    async fn run(&self, headers: &HeaderMap, body: &[u8], slot: Slot<'_>) -> Response<Full<Bytes>> {
        let reply = TaskReply {
            job: header(headers, JOB_HEADER).into(),
            task: header(headers, TASK_HEADER).into(),
            minion: self.config.id.clone(),
        };
        self.ledger.start(Start {
            job: reply.job.clone(),
            task: reply.task.clone(),
            minion: reply.minion.clone(),
            incarnation: header(headers, INCARNATION_HEADER).into(),
            at: Instant::now(),
        });
        if self.failing.load(Ordering::SeqCst) {
            return empty(StatusCode::INTERNAL_SERVER_ERROR);
        }
        let Ok(payload) = serde_json::from_slice::<Payload>(body) else {
            return empty(StatusCode::BAD_REQUEST);
        };
        let factor = f64::from_bits(self.factor.load(Ordering::SeqCst));
        let micros = payload.run_ms as f64 * 1000.0 * factor;
        tokio::time::sleep(Duration::from_micros(micros as u64)).await;
        drop(slot);
        match payload.fails {
            true => empty(StatusCode::INTERNAL_SERVER_ERROR),
            false => json(StatusCode::OK, &reply),
        }
    }
}

fn header<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    let value = headers.get(name).and_then(|v| v.to_str().ok());
    value.unwrap_or_default()
}

/// Returns the response that the task was not started.
fn not_started() -> Response<Full<Bytes>> {
    let mut res = empty(StatusCode::SERVICE_UNAVAILABLE);
    let no = HeaderValue::from_static("no");
    res.headers_mut().insert(STARTED_HEADER, no);
    res
}
