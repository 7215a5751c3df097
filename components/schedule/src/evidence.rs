//! Run times by kind of minion and queue, as distributions of actual over
//! estimated run time (docs/design/run-times.md).

use std::fmt;
use std::str::FromStr;

use compact_str::{CompactString, format_compact};
use kernel::Timestamp;
use serde::{Deserialize, Serialize};

use crate::distribution::{Distribution, Survival, prior};
use crate::resources::Resources;

/// Number of runs that the other kinds' distribution of a queue counts for,
/// shifted by the difference in speed.
const POOL_RUNS: f64 = 12.0;

/// Number of runs in the same queue that two kinds need for their speeds to be
/// compared. The tasks of a job share its estimate's error, so these are some 25
/// wide jobs; the ratio of two mean run times has a standard error of 8% then.
const COMPARED_RUNS: f64 = 200.0;

/// Ratio of mean run times from which kinds count as different.
const DIFFERENT: f64 = 1.33;

/// Ratio below which kinds that differed count as equal again, lower so that the
/// rule does not alternate.
const EQUAL: f64 = 1.2;

/// Maximum number of pairs of kind and queue that are kept.
pub(crate) const MAX_PAIRS: usize = 128;

/// Maximum length of a kind's name in bytes.
const MAX_KIND_LEN: usize = 96;

/// Reason why a text is not the name of a kind of minion.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MinionKindError;

impl fmt::Display for MinionKindError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "a kind of minion has 1 to {MAX_KIND_LEN} bytes")
    }
}

impl std::error::Error for MinionKindError {}

/// A kind of minion: the platform's label and the capacity. Minions of a kind are
/// expected to have the same speed.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct MinionKind(CompactString);

impl MinionKind {
    /// Returns the kind of a minion with this label of the platform and this size.
    pub fn of(label: &str, size: &Resources) -> MinionKind {
        // A longer label could not be sent to other VMs.
        let label: CompactString = label.chars().take(16).collect();
        MinionKind(format_compact!(
            "{label}/{}/{}/{}",
            size.cpu.0,
            size.memory.0,
            size.gpus.0
        ))
    }

    /// Returns whether the name is neither empty nor too long, as one from
    /// another VM may be.
    pub(crate) fn is_valid(&self) -> bool {
        !self.0.is_empty() && self.0.len() <= MAX_KIND_LEN
    }
}

impl fmt::Display for MinionKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for MinionKind {
    type Err = MinionKindError;

    fn from_str(s: &str) -> Result<MinionKind, MinionKindError> {
        let kind = MinionKind(s.into());
        kind.is_valid().then_some(kind).ok_or(MinionKindError)
    }
}

/// What is known of a kind of minion and a queue.
#[derive(Debug, Clone)]
pub(crate) struct Pair {
    pub kind: MinionKind,
    pub queue: CompactString,
    pub runs: Distribution,
    /// Time up to which the counts are decayed.
    pub updated: Timestamp,
}

/// The run times that an owner has observed on its minions.
#[derive(Debug, Clone, Default)]
pub(crate) struct Evidence {
    pub(crate) pairs: Vec<Pair>,
    /// Kinds of the shard's minions, sorted.
    kinds: Vec<MinionKind>,
    /// Logarithm of each kind's run times relative to the kind with the most
    /// runs; `None` if they can't be compared yet.
    speeds: Vec<Option<f64>>,
    /// Whether the kinds' speeds differ.
    uneven: bool,
}

impl Evidence {
    fn find(&self, kind: &MinionKind, queue: &CompactString) -> Option<&Pair> {
        let mut pairs = self.pairs.iter();
        pairs.find(|p| p.queue == *queue && p.kind == *kind)
    }

    /// Returns the pair of a kind and a queue, decayed until `now`. A new pair
    /// displaces the one with the fewest runs if there are too many.
    pub(crate) fn entry(
        &mut self,
        kind: &MinionKind,
        queue: &CompactString,
        now: Timestamp,
    ) -> &mut Pair {
        let found = self.pairs.iter();
        let found = found
            .enumerate()
            .find(|(_, p)| p.queue == *queue && p.kind == *kind);
        let at = match found {
            Some((at, _)) => at,
            None => {
                if self.pairs.len() >= MAX_PAIRS {
                    let fewest = self.pairs.iter().enumerate();
                    let fewest =
                        fewest.min_by(|(_, a), (_, b)| a.runs.total().total_cmp(&b.runs.total()));
                    if let Some((fewest, _)) = fewest {
                        self.pairs.swap_remove(fewest);
                    }
                }
                self.pairs.push(Pair {
                    kind: kind.clone(),
                    queue: queue.clone(),
                    runs: Distribution::default(),
                    updated: now,
                });
                self.pairs.len() - 1
            }
        };
        let pair = &mut self.pairs[at];
        pair.runs
            .decay(now.micros_since(pair.updated) as f64 / 1000.0);
        pair.updated = now;
        pair
    }

    /// Adds a run that took `ratio` times its estimate.
    pub fn add(&mut self, kind: &MinionKind, queue: &CompactString, ratio: f64, now: Timestamp) {
        self.entry(kind, queue, now).runs.add(ratio);
    }

    /// Adds the runs of another distribution of the pair.
    pub(crate) fn merge(
        &mut self,
        kind: &MinionKind,
        queue: &CompactString,
        runs: &Distribution,
        now: Timestamp,
    ) {
        self.entry(kind, queue, now).runs.merge(runs);
    }

    /// Compares the speeds of the shard's kinds of minions. Returns whether they
    /// have begun or ceased to differ.
    pub fn compare(&mut self, mut kinds: Vec<MinionKind>) -> bool {
        kinds.sort();
        kinds.dedup();
        let total = |kind: &MinionKind| {
            let pairs = self.pairs.iter().filter(|p| p.kind == *kind);
            pairs.map(|p| p.runs.total()).sum::<f64>()
        };
        let most = kinds.iter().max_by(|a, b| total(a).total_cmp(&total(b)));
        let most = most.cloned();
        let speed = |kind: &MinionKind| {
            let most = most.as_ref()?;
            if kind == most {
                return Some(0.0);
            }
            self.relative(kind, most)
        };
        let speeds: Vec<_> = kinds.iter().map(speed).collect();
        let known = || speeds.iter().flatten();
        let slowest = known().fold(0.0, |a: f64, b| a.max(*b));
        let fastest = known().fold(0.0, |a: f64, b| a.min(*b));
        let limit: f64 = if self.uneven { EQUAL } else { DIFFERENT };
        let uneven = kinds.len() > 1 && slowest - fastest >= limit.ln();
        let changed = uneven != self.uneven;
        self.kinds = kinds;
        self.speeds = speeds;
        self.uneven = uneven;
        changed
    }

    /// Returns the logarithm of the run time of one kind over that of another,
    /// compared within queues, as queues' estimates may be off by different
    /// factors.
    fn relative(&self, kind: &MinionKind, other: &MinionKind) -> Option<f64> {
        let mut weights = 0.0;
        let mut sum = 0.0;
        let mut fewest = 0.0;
        for pair in self.pairs.iter().filter(|p| p.kind == *kind) {
            let Some(reference) = self.find(other, &pair.queue) else {
                continue;
            };
            let (a, b) = (pair.runs.total(), reference.runs.total());
            let weight = a * b / (a + b).max(f64::MIN_POSITIVE);
            weights += weight;
            sum += weight * (pair.runs.mean_log() - reference.runs.mean_log());
            fewest += a.min(b);
        }
        (fewest >= COMPARED_RUNS).then(|| sum / weights)
    }

    /// Returns whether the kinds' measured speeds differ.
    pub fn is_uneven(&self) -> bool {
        self.uneven
    }

    /// Returns the kinds of the shard's minions.
    pub fn kinds(&self) -> &[MinionKind] {
        &self.kinds
    }

    /// Returns the logarithm of a kind's run times relative to the kind with the
    /// most runs, zero if unknown.
    fn speed(&self, kind: &MinionKind) -> f64 {
        let at = self.kinds.binary_search(kind).ok();
        at.and_then(|at| self.speeds[at]).unwrap_or(0.0)
    }

    /// Returns the speed of each kind between that of the slowest kind, 0, and
    /// that of the fastest, 1.
    pub fn advantages(&self) -> Vec<f64> {
        let known = || self.speeds.iter().flatten();
        let slowest = known().fold(0.0, |a: f64, b| a.max(*b));
        let fastest = known().fold(0.0, |a: f64, b| a.min(*b));
        let span = (slowest - fastest).max(f64::MIN_POSITIVE);
        let speeds = self.speeds.iter().map(|speed| speed.unwrap_or(0.0));
        speeds.map(|speed| (slowest - speed) / span).collect()
    }

    /// Returns the slowest kind's mean run time over the fastest kind's, 1.0 if
    /// they can't be compared yet.
    pub fn contrast(&self) -> f64 {
        let known = || self.speeds.iter().flatten();
        let slowest = known().fold(0.0, |a: f64, b| a.max(*b));
        let fastest = known().fold(0.0, |a: f64, b| a.min(*b));
        (slowest - fastest).exp()
    }

    /// Returns the typical (geometric mean) ratio of actual to estimated run time
    /// of a queue on a kind of minion.
    pub fn typical(&self, kind: &MinionKind, queue: &CompactString) -> f64 {
        let own = self.find(kind, queue).map(|p| p.runs).unwrap_or_default();
        let speed = self.speed(kind);
        let (mut weights, mut sum) = (own.total(), own.log_sum);
        if let Some((_, mean)) = self.pool(kind, queue) {
            weights += POOL_RUNS;
            sum += POOL_RUNS * (mean + speed);
        }
        match weights > 0.0 {
            true => (sum / weights).exp(),
            false => speed.exp(),
        }
    }

    /// Returns the number of runs of a queue on other kinds and their mean
    /// logarithm at the speed of the reference kind.
    fn pool(&self, kind: &MinionKind, queue: &CompactString) -> Option<(f64, f64)> {
        let others = self.pairs.iter();
        let others = others.filter(|p| p.queue == *queue && p.kind != *kind);
        let (mut runs, mut sum) = (0.0, 0.0);
        for pair in others {
            let total = pair.runs.total();
            runs += total;
            sum += total * (pair.runs.mean_log() - self.speed(&pair.kind));
        }
        (runs > 0.0).then(|| (runs, sum / runs))
    }

    /// Returns the distribution of a queue on a kind of minion. While the kind
    /// has few runs of the queue, those on other kinds count too, shifted by the
    /// difference in speed.
    pub fn survival(&self, kind: &MinionKind, queue: &CompactString) -> Survival {
        let own = self.find(kind, queue).map(|p| p.runs).unwrap_or_default();
        let mut table = Survival::new(&own);
        let speed = self.speed(kind);
        let others = self.pairs.iter();
        let others = others.filter(|p| p.queue == *queue && p.kind != *kind);
        let others: Vec<_> = others
            .map(|p| (Survival::new(&p.runs), self.speed(&p.kind)))
            .collect();
        let runs: f64 = others.iter().map(|(table, _)| table.runs).sum();
        table.blend(POOL_RUNS, |log| {
            if runs <= 0.0 {
                return prior(log, speed);
            }
            let shifted = |(table, other): &(Survival, f64)| {
                table.runs * table.beyond(log - speed + other) / runs
            };
            others.iter().map(shifted).sum()
        });
        table
    }
}
