//! Run times by kind of minion and queue, as distributions of actual over
//! estimated run time (docs/design/run-times.md).

use std::fmt;
use std::str::FromStr;

use compact_str::{CompactString, format_compact};
use kernel::{Millis, Timestamp};
use serde::{Deserialize, Serialize};

use crate::minion::MinionInfo;

/// Number of buckets of a distribution.
pub(crate) const BUCKETS: usize = 16;

/// Lower edge of the second bucket; smaller ratios are in the first one.
const FIRST_EDGE: f64 = 0.2;

/// Width of a bucket, as the natural logarithm of the ratio of its edges (1.35).
/// The buckets reach up to 13, above the ratio of stragglers on slow minions.
const WIDTH: f64 = 0.3;

/// Time constant of the decay of counts in milliseconds, some ten times the run
/// time of long tasks.
const SPAN_MS: f64 = 10_000.0;

/// Number of runs at which a distribution stops decaying, so that the speed of a
/// kind that gets no work is not forgotten.
const LASTING_RUNS: f64 = 100.0;

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

/// Limits of a run's actual over estimated run time; beyond them the estimate is
/// wrong rather than the minion slow.
const MIN_RATIO: f64 = 0.05;
const MAX_RATIO: f64 = 50.0;

/// Largest plausible number of runs in the report of a pair: the decayed count of
/// a site that ends a hundred thousand runs a second.
const MAX_RUNS: f64 = 1e6;

/// Maximum length of a queue's name in a report, in bytes.
const MAX_QUEUE_LEN: usize = 128;

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
    /// Returns the kind of a minion.
    pub fn of(info: &MinionInfo) -> MinionKind {
        let size = &info.capacity;
        // A longer label could not be sent to other VMs.
        let label: CompactString = info.kind.chars().take(16).collect();
        MinionKind(format_compact!(
            "{label}/{}/{}/{}",
            size.cpu.0,
            size.memory.0,
            size.gpus.0
        ))
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
        match s.is_empty() || s.len() > MAX_KIND_LEN {
            true => Err(MinionKindError),
            false => Ok(MinionKind(s.into())),
        }
    }
}

/// Distribution of actual over estimated run time: decayed counts of runs in
/// logarithmic buckets.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub(crate) struct Distribution {
    counts: [f64; BUCKETS],
    /// Sum of the logarithms of the ratios, for the mean.
    log_sum: f64,
}

impl Distribution {
    /// Returns the decayed number of runs.
    pub fn total(&self) -> f64 {
        self.counts.iter().sum()
    }

    /// Returns the mean logarithm of the ratio. It is less affected by
    /// stragglers than the mean ratio.
    pub fn mean_log(&self) -> f64 {
        self.log_sum / self.total().max(f64::MIN_POSITIVE)
    }

    /// Adds a run that took `ratio` times its estimate.
    pub fn add(&mut self, ratio: f64) {
        let log = ratio.clamp(MIN_RATIO, MAX_RATIO).ln();
        self.counts[bucket(log)] += 1.0;
        self.log_sum += log;
    }

    fn scale(&mut self, factor: f64) {
        for count in &mut self.counts {
            *count *= factor;
        }
        self.log_sum *= factor;
    }

    fn merge(&mut self, other: &Distribution) {
        for (count, added) in self.counts.iter_mut().zip(other.counts) {
            *count += added;
        }
        self.log_sum += other.log_sum;
    }

    /// Decays the counts by the time since the last decay.
    fn decay(&mut self, millis: f64) {
        let total = self.total();
        if total > LASTING_RUNS {
            self.scale((-millis / SPAN_MS).exp().max(LASTING_RUNS / total));
        }
    }
}

/// Returns the index of the bucket of a ratio's logarithm.
fn bucket(log: f64) -> usize {
    let position = (log - FIRST_EDGE.ln()) / WIDTH + 1.0;
    position.clamp(0.0, (BUCKETS - 1) as f64) as usize
}

/// Probability that a run takes longer than a multiple of its estimate, as a
/// table for fast look-up.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Survival {
    /// Number of runs from which the table was made.
    runs: f64,
    /// Probability that the ratio is above the lower edge of each bucket.
    above: [f64; BUCKETS],
}

impl Survival {
    fn new(distribution: &Distribution) -> Survival {
        let runs = distribution.total();
        let mut above = [0.0; BUCKETS];
        let mut sum = 0.0;
        for (above, count) in above.iter_mut().zip(distribution.counts).rev() {
            sum += count;
            *above = sum / runs.max(f64::MIN_POSITIVE);
        }
        Survival { runs, above }
    }

    /// Returns the probability that the logarithm of the ratio is above `log`,
    /// interpolated within buckets.
    pub fn beyond(&self, log: f64) -> f64 {
        let position = (log - FIRST_EDGE.ln()) / WIDTH + 1.0;
        if position <= 0.0 {
            return 1.0;
        }
        let at = position as usize;
        if at >= BUCKETS {
            return 0.0;
        }
        let next = self.above.get(at + 1).copied().unwrap_or(0.0);
        self.above[at] + (next - self.above[at]) * position.fract()
    }

    /// Averages with another table shifted by `shift`, which counts for `weight`
    /// runs.
    fn blend(&mut self, weight: f64, beyond: impl Fn(f64) -> f64) {
        let share = weight / (self.runs + weight);
        for (index, above) in self.above.iter_mut().enumerate() {
            let edge = FIRST_EDGE.ln() + (index as f64 - 1.0) * WIDTH;
            *above += share * (beyond(edge) - *above);
        }
    }
}

/// Returns a wide distribution around the ratio e^`speed`, for a queue of which
/// no run is known: a quarter of the runs takes over 1.3 times as long.
fn prior(log: f64, speed: f64) -> f64 {
    1.0 / (1.0 + (4.0 * (log - speed)).exp())
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

/// Maximum number of pairs of kind and queue in a heartbeat.
pub const REPORTED_PAIRS: usize = 8;

/// Age from which evidence of other owners is dropped: minions may have become
/// faster or slower since then.
pub const MAX_AGE: Millis = Millis(30_000);

/// Reason why a report is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EvidenceError {
    /// The report has more pairs than its sender may report.
    Pairs(usize),
    /// A distribution has another number of buckets.
    Buckets(usize),
    /// A distribution has no runs, or its number of runs is not plausible.
    Runs,
    /// The mean lies outside the buckets that have runs.
    Mean,
    /// The name of a kind or queue is empty or too long.
    Name,
}

impl fmt::Display for EvidenceError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            EvidenceError::Pairs(count) => write!(f, "{count} pairs of kind and queue"),
            EvidenceError::Buckets(count) => write!(f, "{count} buckets, expected {BUCKETS}"),
            EvidenceError::Runs => write!(f, "the number of runs is not plausible"),
            EvidenceError::Mean => write!(f, "the mean does not fit the distribution"),
            EvidenceError::Name => write!(f, "the name of a kind or queue is not valid"),
        }
    }
}

impl std::error::Error for EvidenceError {}

/// Run times of a queue on a kind of minion, as sent to other VMs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PairReport {
    /// Kind of the minions.
    pub kind: MinionKind,
    /// Queue of the jobs.
    pub queue: CompactString,
    /// Decayed number of runs.
    pub runs: f32,
    /// Mean logarithm of actual over estimated run time.
    pub mean: f32,
    /// Number of runs in each bucket, scaled so that the largest is 255.
    #[serde(with = "byte_list")]
    pub counts: Vec<u8>,
}

/// Run times that an owner has observed, as sent to other VMs.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct EvidenceReport {
    /// Pairs of kind and queue, those with the most runs first.
    pub pairs: Vec<PairReport>,
}

impl PairReport {
    fn new(pair: &Pair) -> PairReport {
        let counts = &pair.runs.counts;
        let largest = counts.iter().copied().fold(f64::MIN_POSITIVE, f64::max);
        // A bucket with any runs is not sent as empty.
        let scaled = counts
            .iter()
            .map(|count| (count / largest * 255.0).ceil() as u8);
        PairReport {
            kind: pair.kind.clone(),
            queue: pair.queue.clone(),
            runs: pair.runs.total() as f32,
            mean: pair.runs.mean_log() as f32,
            counts: scaled.collect(),
        }
    }

    /// Returns the distribution with the counts scaled back.
    fn distribution(&self) -> Result<Distribution, EvidenceError> {
        if self.kind.0.is_empty() || self.kind.0.len() > MAX_KIND_LEN {
            return Err(EvidenceError::Name);
        }
        if self.queue.len() > MAX_QUEUE_LEN {
            return Err(EvidenceError::Name);
        }
        let sent: &[u8; BUCKETS] = (&self.counts[..])
            .try_into()
            .map_err(|_| EvidenceError::Buckets(self.counts.len()))?;
        let sum: f64 = sent.iter().map(|c| f64::from(*c)).sum();
        let runs = f64::from(self.runs);
        if sum == 0.0 || !runs.is_finite() || runs <= 0.0 || runs > MAX_RUNS {
            return Err(EvidenceError::Runs);
        }
        let mean = f64::from(self.mean);
        if !mean.is_finite() || mean < MIN_RATIO.ln() - 0.01 || mean > MAX_RATIO.ln() + 0.01 {
            return Err(EvidenceError::Mean);
        }
        Ok(Distribution {
            counts: sent.map(|c| f64::from(c) * runs / sum),
            log_sum: mean * runs,
        })
    }
}

impl EvidenceReport {
    /// Returns the report with fewer runs the older it is.
    pub fn aged(&self, age: Millis) -> EvidenceReport {
        let factor = (-(age.0 as f64) / SPAN_MS).exp() as f32;
        let mut report = self.clone();
        for pair in &mut report.pairs {
            pair.runs *= factor;
        }
        report
    }

    /// Returns the sum of reports, with at most `count` pairs.
    pub fn sum(
        reports: impl Iterator<Item = EvidenceReport>,
        count: usize,
        now: Timestamp,
    ) -> EvidenceReport {
        let mut sum = Evidence::default();
        for report in reports {
            sum.add_report(&report, now);
        }
        sum.report(count, now)
    }

    /// Returns whether the figures are plausible.
    ///
    /// # Errors
    ///
    /// Fails when there are more than `pairs` pairs, or a pair is garbled.
    pub fn check(&self, pairs: usize) -> Result<(), EvidenceError> {
        if self.pairs.len() > pairs {
            return Err(EvidenceError::Pairs(self.pairs.len()));
        }
        self.pairs
            .iter()
            .try_for_each(|p| p.distribution().map(|_| ()))
    }
}

impl Evidence {
    /// Returns the `count` pairs with the most runs.
    pub fn report(&self, count: usize, now: Timestamp) -> EvidenceReport {
        let fresh = |p: &&Pair| {
            let recent = now.since(p.updated) < MAX_AGE;
            recent && p.runs.total() > 0.0 && p.queue.len() <= MAX_QUEUE_LEN
        };
        let mut pairs: Vec<_> = self.pairs.iter().filter(fresh).collect();
        pairs.sort_by(|a, b| b.runs.total().total_cmp(&a.runs.total()));
        EvidenceReport {
            pairs: pairs.into_iter().take(count).map(PairReport::new).collect(),
        }
    }

    /// Adds the runs of another owner's report. Garbled pairs are left out.
    pub fn add_report(&mut self, report: &EvidenceReport, now: Timestamp) {
        for pair in report.pairs.iter().take(MAX_PAIRS) {
            if let Ok(runs) = pair.distribution() {
                self.merge(&pair.kind, &pair.queue, &runs, now);
            }
        }
    }
}

/// Writes a list of bytes as one MessagePack binary.
mod byte_list {
    use serde::de::{Error, SeqAccess, Visitor};
    use serde::{Deserializer, Serializer};

    use super::BUCKETS;

    pub fn serialize<S: Serializer>(bytes: &[u8], to: S) -> Result<S::Ok, S::Error> {
        to.serialize_bytes(bytes)
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Vec<u8>, D::Error> {
        from.deserialize_byte_buf(Bytes)
    }

    struct Bytes;

    impl<'de> Visitor<'de> for Bytes {
        type Value = Vec<u8>;

        fn expecting(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
            write!(f, "at most {BUCKETS} bytes")
        }

        fn visit_bytes<E: Error>(self, bytes: &[u8]) -> Result<Vec<u8>, E> {
            match bytes.len() <= BUCKETS {
                true => Ok(bytes.to_vec()),
                false => Err(E::invalid_length(bytes.len(), &self)),
            }
        }

        fn visit_seq<A: SeqAccess<'de>>(self, mut items: A) -> Result<Vec<u8>, A::Error> {
            let mut bytes = Vec::new();
            while let Some(byte) = items.next_element()? {
                if bytes.len() >= BUCKETS {
                    return Err(A::Error::invalid_length(bytes.len() + 1, &self));
                }
                bytes.push(byte);
            }
            Ok(bytes)
        }
    }
}
