//! Minions that take orders by request, with leases, fencing tokens and lists of ends.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::Record;
use crate::http::{Answer, Request, serve};
use crate::json::{self, Value};

/// Longest lease that a minion grants (`bounds.max-hold-ms`).
const MAX_HOLD_MS: u64 = 1_000;

/// Time that a stop takes; the pages allow 50 ms (`bounds.stop-timeout-ms`).
const STOP_MS: u64 = 20;

/// A run that a minion has begun.
#[derive(Debug, Clone)]
pub struct Run {
    pub task: String,
    pub number: u64,
    pub minion: String,
    /// Times in milliseconds of the record.
    pub began: u64,
    pub ended: Option<(u64, &'static str)>,
}

/// All runs on all minions, in the order in which they began.
pub type Runs = Arc<Mutex<Vec<Run>>>;

struct Active {
    at: usize,
    cpu: u64,
    done_at: u64,
    stop_at: Option<u64>,
}

#[derive(Default)]
struct State {
    fence: u64,
    lease: u64,
    running: BTreeMap<(String, u64), Active>,
    last: BTreeMap<String, u64>,
    ends: Vec<(u64, String, u64, &'static str)>,
    count: u64,
}

/// A minion.
pub struct Minion {
    pub id: String,
    pub addr: SocketAddr,
    pub zone: String,
    pub service: String,
    pub cpu: u64,
    born: u64,
    start: Instant,
    state: Mutex<State>,
    changed: Condvar,
    runs: Runs,
    record: Record,
}

impl Minion {
    /// Starts a minion.
    pub fn start(
        id: &str,
        addr: SocketAddr,
        zone: &str,
        service: &str,
        cpu: u64,
        runs: &Runs,
        record: &Record,
    ) -> std::io::Result<Arc<Minion>> {
        let born = SystemTime::now().duration_since(UNIX_EPOCH);
        let minion = Arc::new(Minion {
            id: id.to_owned(),
            addr,
            zone: zone.to_owned(),
            service: service.to_owned(),
            cpu,
            born: born.map_or(1, |d| d.as_millis() as u64),
            start: Instant::now(),
            state: Mutex::default(),
            changed: Condvar::new(),
            runs: runs.clone(),
            record: record.clone(),
        });
        let served = minion.clone();
        let listener = TcpListener::bind(addr)?;
        serve(listener, Arc::new(move |req| served.answer(req)));
        let ticked = minion.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(4));
                ticked.advance(&mut ticked.state.lock().unwrap());
            }
        });
        Ok(minion)
    }

    /// Returns the record that the minion writes of itself.
    pub fn entry(&self, sequence: u64) -> String {
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":8,\
             \"state\":\"ready\",\"cold-remaining-ms\":0,\"capacity\":{{\"cpu\":{},\"mem-mb\":128000}},\
             \"labels\":[\"kind-a\",\"r1-1\"],\"born\":{},\"sequence\":{sequence}}}",
            self.service, self.addr, self.zone, self.cpu, self.born
        )
    }

    fn clock(&self) -> u64 {
        self.start.elapsed().as_millis() as u64 + 1
    }

    fn advance(&self, state: &mut State) {
        let now = self.clock();
        let lapsed = now > state.lease;
        let mut over = Vec::new();
        for (key, run) in &state.running {
            let how = if now >= run.done_at {
                "done"
            } else if run.stop_at.is_some_and(|at| now >= at) {
                "stopped"
            } else if lapsed {
                "lapsed"
            } else {
                continue;
            };
            over.push((key.clone(), run.at, how));
        }
        for ((task, number), at, how) in over {
            state.running.remove(&(task.clone(), number));
            state.count += 1;
            let last = state.last.entry(task.clone()).or_default();
            *last = (*last).max(number);
            state.ends.push((state.count, task.clone(), number, how));
            self.runs.lock().unwrap()[at].ended = Some((self.record.now(), how));
            self.record.line(&format!(
                "minion {}: {task} run {number} ended {how}",
                self.id
            ));
            self.changed.notify_all();
        }
    }

    fn answer(&self, req: Request) -> Answer {
        if req
            .header("x-expect-instance")
            .is_some_and(|id| id != self.id)
        {
            return Some((421, Vec::new()));
        }
        let body = std::str::from_utf8(&req.body).ok().and_then(json::parse);
        match (req.path.as_str(), body) {
            ("/api/run-start", Some(order)) => self.begin(&order),
            ("/api/run-stop", Some(order)) => self.stop(&order),
            ("/api/hold", Some(order)) => self.hold(&order),
            _ => Some((400, Vec::new())),
        }
    }

    fn reply(&self, status: u16, rest: &str) -> Answer {
        Some((
            status,
            format!("{{\"clock-ms\":{}{rest}}}", self.clock()).into_bytes(),
        ))
    }

    fn fenced(&self, state: &mut State, order: &Value) -> bool {
        let fence = order.number("fencing-token").unwrap_or(0);
        if fence < state.fence {
            return true;
        }
        state.fence = fence;
        false
    }

    fn renew(&self, state: &mut State, until: u64) {
        state.lease = state.lease.max(until.min(self.clock() + MAX_HOLD_MS));
    }

    fn begin(&self, order: &Value) -> Answer {
        let task = order.text("task")?.to_owned();
        let number = order.number("run")?;
        let deadline = order.number("deadline-ms").unwrap_or(0);
        let spec = order.text("spec").unwrap_or_default();
        let mut state = self.state.lock().unwrap();
        self.advance(&mut state);
        if self.fenced(&mut state, order) {
            return self.reply(409, ",\"reason\":\"fence\"");
        }
        if state.running.contains_key(&(task.clone(), number)) {
            return self.reply(200, "");
        }
        if self.clock() > deadline {
            return self.reply(409, ",\"reason\":\"late\"");
        }
        self.renew(&mut state, deadline);
        if state.last.get(&task).is_some_and(|last| number <= *last) {
            return self.reply(409, ",\"reason\":\"old\"");
        }
        let (work, cpu) = work_of(spec, &task);
        let used: u64 = state.running.values().map(|r| r.cpu).sum();
        let mut runs = self.runs.lock().unwrap();
        let run = Active {
            at: runs.len(),
            cpu,
            done_at: self.clock() + work,
            stop_at: None,
        };
        runs.push(Run {
            task: task.clone(),
            number,
            minion: self.id.clone(),
            began: self.record.now(),
            ended: None,
        });
        drop(runs);
        self.record
            .line(&format!("minion {}: {task} run {number} begun", self.id));
        if used + cpu > self.cpu {
            self.record
                .line(&format!("minion {} is over its capacity", self.id));
        }
        state.running.insert((task, number), run);
        self.reply(200, "")
    }

    fn stop(&self, order: &Value) -> Answer {
        let key = (order.text("task")?.to_owned(), order.number("run")?);
        let mut state = self.state.lock().unwrap();
        if self.fenced(&mut state, order) {
            return self.reply(409, ",\"reason\":\"fence\"");
        }
        let at = self.clock() + STOP_MS;
        if let Some(run) = state.running.get_mut(&key) {
            run.stop_at.get_or_insert(at);
        }
        let last = state.last.entry(key.0).or_default();
        *last = (*last).max(key.1);
        self.reply(200, "")
    }

    fn hold(&self, order: &Value) -> Answer {
        let wait = Duration::from_millis(order.number("wait-ms").unwrap_or(0).min(2_000));
        let until = Instant::now() + wait;
        let mut state = self.state.lock().unwrap();
        self.advance(&mut state);
        if self.fenced(&mut state, order) {
            return self.reply(409, ",\"reason\":\"fence\"");
        }
        if let Some(deadline) = order.number("deadline-ms") {
            self.renew(&mut state, deadline);
        }
        let seen = order.number("last-seen").unwrap_or(0);
        state.ends.retain(|e| e.0 > seen);
        loop {
            let left = until.saturating_duration_since(Instant::now());
            if !state.ends.is_empty() || left.is_zero() {
                break;
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
        let running = state
            .running
            .keys()
            .map(|(t, n)| format!("[\"{t}\",{n},\"\",100,0]"));
        let running: Vec<_> = running.collect();
        let ends = state.ends.iter().take(500);
        let ends = ends.map(|(i, t, n, how)| format!("[{i},\"{t}\",{n},\"{how}\",\"\"]"));
        let ends: Vec<_> = ends.collect();
        let lists = format!(
            ",\"born\":{},\"running\":[{}],\"finished-runs\":[{}]",
            self.born,
            running.join(","),
            ends.join(",")
        );
        self.reply(200, &lists)
    }
}

/// Returns the work of a task in milliseconds and its share of the processor, from a
/// payload `work=MS,MS,.. cpu=N` with the work of each step.
fn work_of(spec: &str, task: &str) -> (u64, u64) {
    let step: usize = task
        .split('.')
        .nth(2)
        .and_then(|s| s.parse().ok())
        .unwrap_or(0);
    let (mut work, mut cpu) = (100, 1_000);
    for part in spec.split(' ') {
        if let Some(list) = part.strip_prefix("work=") {
            let each: Vec<u64> = list.split(',').filter_map(|w| w.parse().ok()).collect();
            work = each.get(step).or(each.last()).copied().unwrap_or(100);
        } else if let Some(n) = part.strip_prefix("cpu=") {
            cpu = n.parse().unwrap_or(1_000);
        }
    }
    (work, cpu)
}
