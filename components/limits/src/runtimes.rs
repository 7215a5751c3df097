//! Run times, learned from answers.

use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use arc_swap::ArcSwap;
use kernel::{HashMap, Millis, Service, Team};

/// Buckets to a doubling of the run time.
const STEPS: f64 = 4.0;

/// The number of buckets; the last one begins above 16 minutes.
const BUCKETS: usize = 80;

/// The counts are halved when they reach this many, so that old run times
/// fade.
const HALVE: u32 = 512;

/// As many run times outweigh what callers declare.
const ENOUGH: u32 = 8;

/// The run time expected of a service of which nothing is known.
const PRIOR: Millis = Millis(300);

/// The most pairs of service and team that are told apart; further teams
/// count only for their service.
const MAX_PAIRS: usize = 4096;

/// A decayed histogram of run times with buckets 19% apart.
#[derive(Debug)]
struct Sketch {
    /// Run times counted in each bucket.
    counts: [AtomicU32; BUCKETS],
    /// All run times counted.
    total: AtomicU32,
}

impl Default for Sketch {
    fn default() -> Sketch {
        Sketch {
            counts: std::array::from_fn(|_| AtomicU32::new(0)),
            total: AtomicU32::new(0),
        }
    }
}

impl Sketch {
    /// Counts a run time.
    fn record(&self, run: Millis) {
        self.counts[bucket(run)].fetch_add(1, Ordering::Relaxed);
        let total = self.total.fetch_add(1, Ordering::Relaxed) + 1;
        if total == HALVE {
            self.decay();
        }
    }

    /// Halves all counts.
    fn decay(&self) {
        let mut total = 0;
        for count in &self.counts {
            let half = count.load(Ordering::Relaxed) / 2;
            count.store(half, Ordering::Relaxed);
            total += half;
        }
        self.total.store(total, Ordering::Relaxed);
    }

    /// Returns the run time below which the part `q` of them lies, or `None`
    /// when too few have been seen.
    fn quantile(&self, q: f64) -> Option<Millis> {
        let total = self.total.load(Ordering::Relaxed);
        if total < ENOUGH {
            return None;
        }
        let goal = (f64::from(total) * q).ceil() as u32;
        let mut seen = 0;
        for (i, count) in self.counts.iter().enumerate() {
            seen += count.load(Ordering::Relaxed);
            if seen >= goal {
                return Some(middle(i));
            }
        }
        Some(middle(BUCKETS - 1))
    }

    /// Returns the mean, or `None` when too few have been seen.
    fn mean(&self) -> Option<Millis> {
        let mut total = 0;
        let mut sum = 0;
        for (i, count) in self.counts.iter().enumerate() {
            let n = u64::from(count.load(Ordering::Relaxed));
            total += n;
            sum += n * middle(i).0;
        }
        (total >= u64::from(ENOUGH)).then(|| Millis(sum / total))
    }
}

/// Returns the bucket of a run time.
fn bucket(run: Millis) -> usize {
    let at = (run.0.max(1) as f64).log2() * STEPS;
    (at as usize).min(BUCKETS - 1)
}

/// Returns the middle of a bucket.
fn middle(bucket: usize) -> Millis {
    let ms = ((bucket as f64 + 0.5) / STEPS).exp2();
    Millis(ms.round() as u64)
}

/// The run times of one service.
#[derive(Debug, Clone, Default)]
struct Entry {
    /// Those of all teams.
    all: Arc<Sketch>,
    /// Those of single teams.
    teams: HashMap<Team, Arc<Sketch>>,
}

/// Learned run times by service and team. Reads and records take no lock,
/// except for the first record of a team.
#[derive(Debug, Default)]
pub struct RunTimes {
    /// By service.
    entries: ArcSwap<HashMap<Service, Entry>>,
    /// Held while a team is added.
    writer: Mutex<()>,
}

impl RunTimes {
    /// Starts with nothing learned.
    pub fn new() -> RunTimes {
        RunTimes::default()
    }

    /// Learns a task's run time.
    pub fn record(&self, service: &Service, team: &Team, run: Millis) {
        if !self.knows(service, team) {
            self.add(service, team);
        }
        let entries = self.entries.load();
        let Some(entry) = entries.get(service) else {
            return;
        };
        entry.all.record(run);
        if let Some(sketch) = entry.teams.get(team) {
            sketch.record(run);
        }
    }

    /// Estimates the run time below which the part `q` of the team's tasks
    /// lies: from the team's own, else from the service's, else what the
    /// caller declared, else a constant.
    pub fn quantile(
        &self,
        service: &Service,
        team: &Team,
        q: f64,
        declared: Option<Millis>,
    ) -> Millis {
        let learned = self.learned_quantile(service, team, q);
        learned.or(declared).unwrap_or(PRIOR)
    }

    /// Estimates the mean run time of all teams' tasks.
    pub fn mean(&self, service: &Service) -> Millis {
        self.learned_mean(service).unwrap_or(PRIOR)
    }

    /// Returns the mean run time of all teams' tasks once enough of them have
    /// been seen. Refusals rest on this: a service whose jobs were refused on a
    /// guess would never be learned.
    pub fn learned_mean(&self, service: &Service) -> Option<Millis> {
        self.entries.load().get(service)?.all.mean()
    }

    /// Returns the run time below which the part `q` of the team's tasks lies,
    /// or of the service's, once enough of them have been seen.
    pub fn learned_quantile(&self, service: &Service, team: &Team, q: f64) -> Option<Millis> {
        self.read(service, team, |s| s.quantile(q))
    }

    /// Reads the team's sketch, or else the service's.
    fn read(
        &self,
        service: &Service,
        team: &Team,
        read: impl Fn(&Sketch) -> Option<Millis>,
    ) -> Option<Millis> {
        let entries = self.entries.load();
        let entry = entries.get(service)?;
        let own = entry.teams.get(team).and_then(|s| read(s));
        own.or_else(|| read(&entry.all))
    }

    /// Tells whether the team has a sketch, or may have none.
    fn knows(&self, service: &Service, team: &Team) -> bool {
        let entries = self.entries.load();
        let Some(entry) = entries.get(service) else {
            return false;
        };
        entry.teams.contains_key(team) || pairs(&entries) >= MAX_PAIRS
    }

    /// Adds a team.
    fn add(&self, service: &Service, team: &Team) {
        let _writer = self.writer.lock().unwrap_or_else(PoisonError::into_inner);
        let mut entries = HashMap::clone(&self.entries.load());
        let room = pairs(&entries) < MAX_PAIRS;
        let entry = entries.entry(service.clone()).or_default();
        if room {
            entry.teams.entry(team.clone()).or_default();
        }
        self.entries.store(Arc::new(entries));
    }
}

/// Counts the pairs of service and team.
fn pairs(entries: &HashMap<Service, Entry>) -> usize {
    entries.values().map(|e| e.teams.len()).sum()
}
