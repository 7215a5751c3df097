//! Run times in heartbeats: their bounded form, and the checks of what other VMs
//! send (docs/design/run-times.md).

use std::fmt;

use compact_str::CompactString;
use kernel::{Millis, Timestamp};
use serde::{Deserialize, Serialize};

use crate::distribution::{BUCKETS, Distribution, MAX_RATIO, MIN_RATIO, SPAN_MS};
use crate::evidence::{Evidence, MAX_PAIRS, MinionKind, Pair};

/// Largest plausible number of runs in the report of a pair: the decayed count of
/// a site that ends a hundred thousand runs a second.
const MAX_RUNS: f64 = 1e6;

/// Maximum length of a queue's name in a report, in bytes.
const MAX_QUEUE_LEN: usize = 128;

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
        if !self.kind.is_valid() {
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
