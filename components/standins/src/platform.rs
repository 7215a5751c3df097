//! The platform: a log with offsets and retention, and a list of machines that
//! lags behind its changes.

use std::collections::VecDeque;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::str::FromStr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use compact_str::CompactString;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use kernel::{HashMap, Offset};
use logstore::{Appended, Chunk, LIST_PATH, MachineList, Record, STREAM_PATH, Stream};
use tokio::sync::watch;

use crate::listener::{Disconnect, Listener, Serve, lock};
use crate::respond::{empty, json, tagged};

/// Retention of the log's records.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Retention {
    /// Keeps this number of the newest records of each stream.
    Records(usize),
    /// Keeps records that are not older than this.
    Age(Duration),
}

/// Configuration of the platform.
#[derive(Debug, Clone)]
pub struct PlatformConfig {
    /// The duration of one synced write. Writes are executed one at a time.
    pub write: Duration,
    /// The retention of the log's records.
    pub retention: Retention,
    /// The time until a change of the list of machines is visible.
    pub lag: Duration,
    /// The maximum number of records in one answer.
    pub chunk: usize,
}

impl Default for PlatformConfig {
    fn default() -> PlatformConfig {
        PlatformConfig {
            write: Duration::from_millis(2),
            retention: Retention::Records(100_000),
            lag: Duration::from_millis(500),
            chunk: 1000,
        }
    }
}

/// Faults of the log that are in force.
#[derive(Debug, Clone, Copy, Default)]
struct Faults {
    /// Whether the log is down: half of the requests are refused, the others
    /// hang.
    down: bool,
    /// The delay before each request is handled.
    delay: Duration,
    /// Whether appends take effect but close the connection without an answer.
    loses_answers: bool,
}

/// One stream of the log.
#[derive(Debug, Default)]
struct Log {
    /// The offset of the oldest record.
    first: u64,
    /// The records with the time at which they were appended.
    records: VecDeque<(Instant, CompactString)>,
}

impl Log {
    fn end(&self) -> u64 {
        self.first + self.records.len() as u64
    }

    fn trim(&mut self, keep: usize) {
        while self.records.len() > keep {
            self.drop_oldest();
        }
    }

    fn expire(&mut self, retention: Retention) {
        match retention {
            Retention::Records(keep) => self.trim(keep),
            Retention::Age(age) => {
                let old = |r: &(Instant, _)| r.0.elapsed() > age;
                while self.records.front().is_some_and(old) {
                    self.drop_oldest();
                }
            }
        }
    }

    fn drop_oldest(&mut self) {
        self.records.pop_front();
        self.first += 1;
    }

    fn chunk(&self, from: u64, max: usize) -> Chunk {
        let skip = from.saturating_sub(self.first);
        let rows = self.records.iter().enumerate();
        let rows = rows.skip(usize::try_from(skip).unwrap_or(usize::MAX));
        let record = |(i, (_, data)): (usize, &(Instant, CompactString))| Record {
            offset: Offset(self.first + i as u64),
            data: data.clone(),
        };
        Chunk {
            first: Offset(self.first),
            end: Offset(self.end()),
            records: rows.take(max).map(record).collect(),
        }
    }
}

/// State that the platform's requests share.
struct State {
    /// Configuration of the platform.
    config: PlatformConfig,
    /// The streams.
    logs: Mutex<HashMap<Stream, Log>>,
    /// The lock that the write in progress holds.
    writer: tokio::sync::Mutex<()>,
    /// The number of appends that wait for the writer.
    queue: AtomicUsize,
    /// The number of appends, which wakes long polls when it changes.
    appended: watch::Sender<u64>,
    /// The faults that are in force.
    faults: watch::Sender<Faults>,
    /// The number of requests that arrived while the log was down.
    down_requests: AtomicU64,
    /// The lists of machines with the time at which each was set; a list without
    /// a time is visible at once.
    lists: Mutex<VecDeque<(Option<Instant>, MachineList)>>,
}

/// Maximum number of appends that wait for the writer; further ones are refused.
const MAX_QUEUE: usize = 2000;

/// Largest record in bytes.
const MAX_RECORD: usize = 1 << 20;

/// Timeout for reading a record from a request.
const RECORD_TIMEOUT: Duration = Duration::from_secs(10);

/// Longest wait of a long poll.
const MAX_POLL: Duration = Duration::from_secs(30);

/// A cloneable handle to a platform on loopback.
#[derive(Clone)]
pub struct PlatformStandin {
    /// The state that its requests share.
    state: Arc<State>,
    /// Its listener.
    listener: Arc<Listener>,
}

impl PlatformStandin {
    /// Starts a platform on a free port.
    ///
    /// # Errors
    ///
    /// Fails when no port can be bound.
    pub async fn start(config: PlatformConfig) -> io::Result<PlatformStandin> {
        let state = Arc::new(State {
            config,
            logs: Mutex::default(),
            writer: tokio::sync::Mutex::default(),
            queue: AtomicUsize::new(0),
            appended: watch::Sender::new(0),
            faults: watch::Sender::new(Faults::default()),
            down_requests: AtomicU64::new(0),
            lists: Mutex::default(),
        });
        let addr = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let listener = Listener::bind(addr, Requests(state.clone())).await?;
        Ok(PlatformStandin {
            state,
            listener: Arc::new(listener),
        })
    }

    /// Returns the address that the platform listens on.
    pub fn addr(&self) -> SocketAddr {
        self.listener.addr()
    }

    /// Sets whether the log is down. The list of machines stays available.
    pub fn down(&self, on: bool) {
        self.state.faults.send_modify(|f| f.down = on);
    }

    /// Sets the delay before each request to the log is handled.
    pub fn slow(&self, delay: Duration) {
        self.state.faults.send_modify(|f| f.delay = delay);
    }

    /// Sets whether appends take effect but get no answer.
    pub fn lose_answers(&self, on: bool) {
        self.state.faults.send_modify(|f| f.loses_answers = on);
    }

    /// Drops all but the newest `keep` records of each stream.
    pub fn trim(&self, keep: usize) {
        for log in lock(&self.state.logs).values_mut() {
            log.trim(keep);
        }
    }

    /// Changes the list of machines. Readers see the change after the lag.
    pub fn change(&self, change: impl FnOnce(&mut MachineList)) {
        let mut lists = lock(&self.state.lists);
        let mut list = lists.back().map(|l| l.1.clone()).unwrap_or_default();
        change(&mut list);
        lists.push_back((Some(Instant::now()), list));
    }

    /// Replaces the list of machines without lag, for the start of a fleet.
    pub fn set(&self, list: MachineList) {
        let mut lists = lock(&self.state.lists);
        lists.clear();
        lists.push_back((None, list));
    }

    /// Returns all records that a stream still keeps.
    pub fn records(&self, stream: Stream) -> Vec<Record> {
        let mut logs = lock(&self.state.logs);
        logs.entry(stream).or_default().chunk(0, usize::MAX).records
    }
}

/// Handler of requests for the log and the list of machines.
#[derive(Clone)]
struct Requests(Arc<State>);

/// Error that ends a request early.
enum RequestError {
    /// The request is answered with this status.
    Status(StatusCode),
    /// The connection is closed without an answer.
    Disconnect,
}

impl Serve for Requests {
    async fn serve(&self, req: Request<Incoming>) -> Result<Response<Full<Bytes>>, Disconnect> {
        match self.answer(req).await {
            Ok(res) => Ok(res),
            Err(RequestError::Status(status)) => Ok(empty(status)),
            Err(RequestError::Disconnect) => Err(Disconnect),
        }
    }
}

impl Requests {
    async fn answer(&self, req: Request<Incoming>) -> Result<Response<Full<Bytes>>, RequestError> {
        let path = req.uri().path();
        if path == LIST_PATH && req.method() == Method::GET {
            return Ok(tagged(&req, &self.0.list()));
        }
        let name = path.strip_prefix(STREAM_PATH).unwrap_or_default();
        let stream = name
            .parse()
            .map_err(|_| RequestError::Status(StatusCode::NOT_FOUND))?;
        match *req.method() {
            Method::GET => {
                let query = req.uri().query().unwrap_or_default();
                let chunk = self.0.read(stream, query).await?;
                Ok(json(StatusCode::OK, &chunk))
            }
            Method::POST => self.append(stream, req.into_body()).await,
            _ => Err(RequestError::Status(StatusCode::METHOD_NOT_ALLOWED)),
        }
    }

    async fn append(
        &self,
        stream: Stream,
        body: Incoming,
    ) -> Result<Response<Full<Bytes>>, RequestError> {
        let body = wire::read_body(body, MAX_RECORD, RECORD_TIMEOUT).await;
        let text = body.ok().and_then(|b| CompactString::from_utf8(b).ok());
        let text = text.ok_or(RequestError::Status(StatusCode::BAD_REQUEST))?;
        let state = self.0.clone();
        // An append completes even if its client disconnects.
        let write = tokio::spawn(async move { state.append(stream, text).await });
        let offset = write.await.map_err(|_| RequestError::Disconnect)??;
        Ok(json(StatusCode::OK, &Appended { offset }))
    }
}

impl State {
    /// Applies the faults that are in force: delays the request, and fails it if
    /// the log is down.
    async fn apply_faults(&self) -> Result<(), RequestError> {
        let faults = *self.faults.borrow();
        tokio::time::sleep(faults.delay).await;
        if !self.faults.borrow().down {
            return Ok(());
        }
        if self.down_requests.fetch_add(1, Ordering::SeqCst) % 2 == 1 {
            let mut change = self.faults.subscribe();
            let _ = change.wait_for(|f| !f.down).await;
        }
        Err(RequestError::Status(StatusCode::SERVICE_UNAVAILABLE))
    }

    async fn append(&self, stream: Stream, text: CompactString) -> Result<Offset, RequestError> {
        self.apply_faults().await?;
        if self.queue.fetch_add(1, Ordering::SeqCst) >= MAX_QUEUE {
            self.queue.fetch_sub(1, Ordering::SeqCst);
            return Err(RequestError::Status(StatusCode::SERVICE_UNAVAILABLE));
        }
        let guard = self.writer.lock().await;
        self.queue.fetch_sub(1, Ordering::SeqCst);
        tokio::time::sleep(self.config.write).await;
        let offset = self.push(stream, text);
        drop(guard);
        match self.faults.borrow().loses_answers {
            true => Err(RequestError::Disconnect),
            false => Ok(offset),
        }
    }

    fn push(&self, stream: Stream, text: CompactString) -> Offset {
        let mut logs = lock(&self.logs);
        let log = logs.entry(stream).or_default();
        let offset = Offset(log.end());
        log.records.push_back((Instant::now(), text));
        log.expire(self.config.retention);
        self.appended.send_modify(|n| *n += 1);
        offset
    }

    async fn read(&self, stream: Stream, query: &str) -> Result<Chunk, RequestError> {
        let bad = RequestError::Status(StatusCode::BAD_REQUEST);
        let Some((from, wait)) = parse_range(query) else {
            return Err(bad);
        };
        let until = tokio::time::Instant::now() + wait.min(MAX_POLL);
        let mut change = self.appended.subscribe();
        self.apply_faults().await?;
        loop {
            let chunk = self.chunk(stream, from);
            let timed_out = tokio::time::Instant::now() >= until;
            if timed_out || !chunk.records.is_empty() {
                let down = self.faults.borrow().down;
                return if down {
                    self.apply_faults().await.map(|()| chunk)
                } else {
                    Ok(chunk)
                };
            }
            let _ = tokio::time::timeout_at(until, change.changed()).await;
        }
    }

    fn chunk(&self, stream: Stream, from: u64) -> Chunk {
        let mut logs = lock(&self.logs);
        let log = logs.entry(stream).or_default();
        log.expire(self.config.retention);
        log.chunk(from, self.config.chunk)
    }

    /// Returns the newest list that is visible after the lag.
    fn list(&self) -> MachineList {
        let mut lists = lock(&self.lists);
        let lag = self.config.lag;
        let visible = |l: &(Option<Instant>, _)| l.0.is_none_or(|t| t.elapsed() >= lag);
        while lists.get(1).is_some_and(visible) {
            lists.pop_front();
        }
        let newest = lists.front().filter(|l| visible(l));
        newest.map(|l| l.1.clone()).unwrap_or_default()
    }
}

/// Parses `from=N&wait_ms=W`, in which both parts are optional.
fn parse_range(query: &str) -> Option<(u64, Duration)> {
    let mut from = 0;
    let mut wait = 0;
    for pair in query.split('&').filter(|p| !p.is_empty()) {
        let (name, value) = pair.split_once('=')?;
        let count = u64::from_str(value).ok()?;
        match name {
            "from" => from = count,
            "wait_ms" => wait = count,
            _ => return None,
        }
    }
    Some((from, Duration::from_millis(wait)))
}
