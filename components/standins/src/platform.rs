//! The platform: a log with offsets and retention, and a lagging list of
//! machines.

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

use crate::listener::{HangUp, Listener, Serve, lock};
use crate::respond::{empty, json, tagged};

/// How long records stay in the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Retention {
    /// The newest records, so many a stream.
    Records(usize),
    /// Records younger than this.
    Age(Duration),
}

/// What the platform is like.
#[derive(Debug, Clone)]
pub struct PlatformConfig {
    /// How long one synced write takes; writes go one after the other.
    pub write: Duration,
    /// How long records stay.
    pub retention: Retention,
    /// How far the list of machines lags.
    pub lag: Duration,
    /// The most records in one answer.
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

/// The log's faults of the moment.
#[derive(Debug, Clone, Copy, Default)]
struct Faults {
    /// Half of the requests are refused, the others hang.
    down: bool,
    /// How long each request waits beforehand.
    delay: Duration,
    /// Appends take effect, and the connection closes without an answer.
    loses: bool,
}

/// One stream of the log.
#[derive(Debug, Default)]
struct Log {
    /// The offset of the oldest record.
    first: u64,
    /// The records and when they were appended.
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

    fn chunk(&self, from: u64, most: usize) -> Chunk {
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
            records: rows.take(most).map(record).collect(),
        }
    }
}

/// What the platform's requests share.
struct State {
    /// What the platform is like.
    config: PlatformConfig,
    /// The streams.
    logs: Mutex<HashMap<Stream, Log>>,
    /// Held by the write in progress.
    writer: tokio::sync::Mutex<()>,
    /// How many appends wait for the writer.
    queue: AtomicUsize,
    /// Counts appends, to wake long polls.
    appended: watch::Sender<u64>,
    /// The faults of the moment.
    faults: watch::Sender<Faults>,
    /// Counts requests that came while the log was down.
    downs: AtomicU64,
    /// The lists of machines and since when each has been true; without a
    /// time, it always has been.
    lists: Mutex<VecDeque<(Option<Instant>, MachineList)>>,
}

/// The most appends that wait for the writer; later ones are refused.
const MAX_QUEUE: usize = 2000;

/// The longest record in bytes.
const MAX_RECORD: usize = 1 << 20;

/// The longest wait for a record.
const RECORD_WAIT: Duration = Duration::from_secs(10);

/// The longest long poll.
const MAX_POLL: Duration = Duration::from_secs(30);

/// A cloneable handle to a platform on loopback.
#[derive(Clone)]
pub struct PlatformStandin {
    /// What its requests share.
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
            downs: AtomicU64::new(0),
            lists: Mutex::default(),
        });
        let addr = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let listener = Listener::bind(addr, Requests(state.clone())).await?;
        Ok(PlatformStandin {
            state,
            listener: Arc::new(listener),
        })
    }

    /// Returns where it is.
    pub fn addr(&self) -> SocketAddr {
        self.listener.addr()
    }

    /// Takes the log away, or brings it back. The list of machines stays.
    pub fn down(&self, on: bool) {
        self.state.faults.send_modify(|f| f.down = on);
    }

    /// Makes each request to the log wait beforehand; zero ends that.
    pub fn slow(&self, delay: Duration) {
        self.state.faults.send_modify(|f| f.delay = delay);
    }

    /// Makes appends take effect without an answer, or ends that.
    pub fn lose_answers(&self, on: bool) {
        self.state.faults.send_modify(|f| f.loses = on);
    }

    /// Drops all but the newest `keep` records of each stream.
    pub fn trim(&self, keep: usize) {
        for log in lock(&self.state.logs).values_mut() {
            log.trim(keep);
        }
    }

    /// Changes the list of machines, which readers see after the lag.
    pub fn change(&self, change: impl FnOnce(&mut MachineList)) {
        let mut lists = lock(&self.state.lists);
        let mut list = lists.back().map(|l| l.1.clone()).unwrap_or_default();
        change(&mut list);
        lists.push_back((Some(Instant::now()), list));
    }

    /// Changes the list of machines without lag, for the start of a fleet.
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

/// Serves the log and the list.
#[derive(Clone)]
struct Requests(Arc<State>);

/// Why a request to the log is cut short.
enum Cut {
    /// It is answered with this status.
    Status(StatusCode),
    /// Its connection closes.
    HangUp,
}

impl Serve for Requests {
    async fn serve(&self, req: Request<Incoming>) -> Result<Response<Full<Bytes>>, HangUp> {
        match self.answer(req).await {
            Ok(res) => Ok(res),
            Err(Cut::Status(status)) => Ok(empty(status)),
            Err(Cut::HangUp) => Err(HangUp),
        }
    }
}

impl Requests {
    async fn answer(&self, req: Request<Incoming>) -> Result<Response<Full<Bytes>>, Cut> {
        let path = req.uri().path();
        if path == LIST_PATH && req.method() == Method::GET {
            return Ok(tagged(&req, &self.0.list()));
        }
        let name = path.strip_prefix(STREAM_PATH).unwrap_or_default();
        let stream = name
            .parse()
            .map_err(|_| Cut::Status(StatusCode::NOT_FOUND))?;
        match *req.method() {
            Method::GET => {
                let query = req.uri().query().unwrap_or_default();
                let chunk = self.0.read(stream, query).await?;
                Ok(json(StatusCode::OK, &chunk))
            }
            Method::POST => self.append(stream, req.into_body()).await,
            _ => Err(Cut::Status(StatusCode::METHOD_NOT_ALLOWED)),
        }
    }

    async fn append(&self, stream: Stream, body: Incoming) -> Result<Response<Full<Bytes>>, Cut> {
        let body = wire::read_body(body, MAX_RECORD, RECORD_WAIT).await;
        let text = body.ok().and_then(|b| CompactString::from_utf8(b).ok());
        let text = text.ok_or(Cut::Status(StatusCode::BAD_REQUEST))?;
        let state = self.0.clone();
        // A client that goes away doesn't undo its append.
        let write = tokio::spawn(async move { state.append(stream, text).await });
        let offset = write.await.map_err(|_| Cut::HangUp)??;
        Ok(json(StatusCode::OK, &Appended { offset }))
    }
}

impl State {
    /// Lets a request wait or fail as the faults of the moment want it.
    async fn suffer(&self) -> Result<(), Cut> {
        let faults = *self.faults.borrow();
        tokio::time::sleep(faults.delay).await;
        if !self.faults.borrow().down {
            return Ok(());
        }
        if self.downs.fetch_add(1, Ordering::SeqCst) % 2 == 1 {
            let mut change = self.faults.subscribe();
            let _ = change.wait_for(|f| !f.down).await;
        }
        Err(Cut::Status(StatusCode::SERVICE_UNAVAILABLE))
    }

    async fn append(&self, stream: Stream, text: CompactString) -> Result<Offset, Cut> {
        self.suffer().await?;
        if self.queue.fetch_add(1, Ordering::SeqCst) >= MAX_QUEUE {
            self.queue.fetch_sub(1, Ordering::SeqCst);
            return Err(Cut::Status(StatusCode::SERVICE_UNAVAILABLE));
        }
        let turn = self.writer.lock().await;
        self.queue.fetch_sub(1, Ordering::SeqCst);
        tokio::time::sleep(self.config.write).await;
        let offset = self.push(stream, text);
        drop(turn);
        match self.faults.borrow().loses {
            true => Err(Cut::HangUp),
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

    async fn read(&self, stream: Stream, query: &str) -> Result<Chunk, Cut> {
        let bad = Cut::Status(StatusCode::BAD_REQUEST);
        let Some((from, wait)) = range(query) else {
            return Err(bad);
        };
        let until = tokio::time::Instant::now() + wait.min(MAX_POLL);
        let mut change = self.appended.subscribe();
        self.suffer().await?;
        loop {
            let chunk = self.chunk(stream, from);
            let over = tokio::time::Instant::now() >= until;
            if over || !chunk.records.is_empty() {
                let down = self.faults.borrow().down;
                return if down {
                    self.suffer().await.map(|()| chunk)
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

    /// Returns the list as it was the lag ago.
    fn list(&self) -> MachineList {
        let mut lists = lock(&self.lists);
        let lag = self.config.lag;
        let seen = |l: &(Option<Instant>, _)| l.0.is_none_or(|t| t.elapsed() >= lag);
        while lists.get(1).is_some_and(seen) {
            lists.pop_front();
        }
        let newest = lists.front().filter(|l| seen(l));
        newest.map(|l| l.1.clone()).unwrap_or_default()
    }
}

/// Reads `from=N&wait_ms=W`, in which either may be left out.
fn range(query: &str) -> Option<(u64, Duration)> {
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
