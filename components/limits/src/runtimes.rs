//! Estimates of run times, learned from answers.

use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use arc_swap::ArcSwap;
use kernel::{HashMap, Millis, Service, Team};

/// Number of buckets for each doubling of the run time.
const BUCKETS_PER_DOUBLING: f64 = 4.0;

/// Number of buckets; the last one begins at 14.7 minutes.
const BUCKETS: usize = 80;

/// Number of run times in a histogram at which all counts are halved, so that
/// old run times lose weight.
const MAX_TOTAL: u32 = 512;

/// Number of run times from which the histogram is used in place of the time
/// that callers declare.
const MIN_SAMPLES: u32 = 8;

/// Run time assumed for a service without samples or declared times.
const DEFAULT_RUN: Millis = Millis(300);

/// Largest number of pairs of service and team with a histogram of their own.
/// The run times of further teams count only for the service.
const MAX_PAIRS: usize = 4096;

/// A decayed histogram of run times with buckets 19% apart.
#[derive(Debug)]
struct Histogram {
    /// The number of run times in each bucket.
    counts: [AtomicU32; BUCKETS],
    /// The number of run times in all buckets.
    total: AtomicU32,
}

impl Default for Histogram {
    fn default() -> Histogram {
        Histogram {
            counts: std::array::from_fn(|_| AtomicU32::new(0)),
            total: AtomicU32::new(0),
        }
    }
}

impl Histogram {
    /// Adds a run time.
    fn record(&self, run: Millis) {
        self.counts[bucket(run)].fetch_add(1, Ordering::Relaxed);
        let total = self.total.fetch_add(1, Ordering::Relaxed) + 1;
        if total == MAX_TOTAL {
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

    /// Returns the quantile `q` of the run times, or `None` when there are too
    /// few.
    fn quantile(&self, q: f64) -> Option<Millis> {
        let total = self.total.load(Ordering::Relaxed);
        if total < MIN_SAMPLES {
            return None;
        }
        let target = (f64::from(total) * q).ceil() as u32;
        let mut seen = 0;
        for (i, count) in self.counts.iter().enumerate() {
            seen += count.load(Ordering::Relaxed);
            if seen >= target {
                return Some(middle(i));
            }
        }
        Some(middle(BUCKETS - 1))
    }

    /// Returns the mean run time, or `None` when there are too few.
    fn mean(&self) -> Option<Millis> {
        let mut total = 0;
        let mut sum = 0;
        for (i, count) in self.counts.iter().enumerate() {
            let n = u64::from(count.load(Ordering::Relaxed));
            total += n;
            sum += n * middle(i).0;
        }
        (total >= u64::from(MIN_SAMPLES)).then(|| Millis(sum / total))
    }
}

/// Returns the bucket of a run time.
fn bucket(run: Millis) -> usize {
    let at = (run.0.max(1) as f64).log2() * BUCKETS_PER_DOUBLING;
    (at as usize).min(BUCKETS - 1)
}

/// Returns the geometric middle of a bucket.
fn middle(bucket: usize) -> Millis {
    let ms = ((bucket as f64 + 0.5) / BUCKETS_PER_DOUBLING).exp2();
    Millis(ms.round() as u64)
}

/// The histograms of one service.
#[derive(Debug, Clone, Default)]
struct ServiceRuns {
    /// The run times of all teams together.
    all: Arc<Histogram>,
    /// The run times of each team.
    teams: HashMap<Team, Arc<Histogram>>,
}

/// Learned run times by service and team. Reading and recording take no lock,
/// except for the first run time of a team.
#[derive(Debug, Default)]
pub struct RunTimes {
    /// The histograms by service.
    entries: ArcSwap<HashMap<Service, ServiceRuns>>,
    /// The lock held while a team is added.
    update_lock: Mutex<()>,
}

impl RunTimes {
    /// Creates run times without any samples.
    pub fn new() -> RunTimes {
        RunTimes::default()
    }

    /// Records the run time of a task.
    pub fn record(&self, service: &Service, team: &Team, run: Millis) {
        if !self.is_tracked(service, team) {
            self.track(service, team);
        }
        let entries = self.entries.load();
        let Some(entry) = entries.get(service) else {
            return;
        };
        entry.all.record(run);
        if let Some(histogram) = entry.teams.get(team) {
            histogram.record(run);
        }
    }

    /// Estimates the quantile `q` of the team's run times: from the team's
    /// samples, else from the service's, else the time that the caller
    /// declared, else a constant.
    pub fn quantile(
        &self,
        service: &Service,
        team: &Team,
        q: f64,
        declared: Option<Millis>,
    ) -> Millis {
        let learned = self.learned_quantile(service, team, q);
        learned.or(declared).unwrap_or(DEFAULT_RUN)
    }

    /// Estimates the mean run time of all teams' tasks.
    pub fn mean(&self, service: &Service) -> Millis {
        self.learned_mean(service).unwrap_or(DEFAULT_RUN)
    }

    /// Returns the mean run time of all teams' tasks once there are enough
    /// samples. Refusals use this mean only: a service whose jobs are refused
    /// because of a guess would never get any samples.
    pub fn learned_mean(&self, service: &Service) -> Option<Millis> {
        self.entries.load().get(service)?.all.mean()
    }

    /// Returns the quantile `q` of the team's run times, or else of the
    /// service's, once there are enough samples.
    pub fn learned_quantile(&self, service: &Service, team: &Team, q: f64) -> Option<Millis> {
        self.read(service, team, |h| h.quantile(q))
    }

    /// Reads the histogram of the team, or else that of the service.
    fn read(
        &self,
        service: &Service,
        team: &Team,
        read: impl Fn(&Histogram) -> Option<Millis>,
    ) -> Option<Millis> {
        let entries = self.entries.load();
        let entry = entries.get(service)?;
        let own = entry.teams.get(team).and_then(|h| read(h));
        own.or_else(|| read(&entry.all))
    }

    /// Returns whether the team has a histogram or can't get one, because there
    /// are too many pairs.
    fn is_tracked(&self, service: &Service, team: &Team) -> bool {
        let entries = self.entries.load();
        let Some(entry) = entries.get(service) else {
            return false;
        };
        entry.teams.contains_key(team) || pair_count(&entries) >= MAX_PAIRS
    }

    /// Adds a histogram for the team.
    fn track(&self, service: &Service, team: &Team) {
        let _guard = self
            .update_lock
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let mut entries = HashMap::clone(&self.entries.load());
        let has_space = pair_count(&entries) < MAX_PAIRS;
        let entry = entries.entry(service.clone()).or_default();
        if has_space {
            entry.teams.entry(team.clone()).or_default();
        }
        self.entries.store(Arc::new(entries));
    }
}

/// Returns the number of pairs of service and team with a histogram.
fn pair_count(entries: &HashMap<Service, ServiceRuns>) -> usize {
    entries.values().map(|e| e.teams.len()).sum()
}
