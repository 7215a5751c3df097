//! Costs of the state that is kept for jobs: claims, tickets and answers.

use std::hint::black_box;
use std::sync::Arc;

use bytes::Bytes;
use jobs::{ClaimRecord, Claims, JobTable, KeyHash, Outcome, Owner, TableLimits, TaskAnswer};
use jobs::{WindowState, Windows};
use kernel::{JobKey, Offset, Timestamp};
use logstore::{Chunk, Record};

use crate::SlopeError;
use crate::figure::{Figure, Series};
use crate::fixtures;
use crate::usage::{memory, micros};

/// Number of keys in each append of the memory measurements.
const BATCH: usize = 100;

/// Number of tasks in each kept answer.
const TASKS: usize = 20;

/// Size of each task's answer in bytes.
const ANSWER_SIZE: usize = 100;

/// Size of the first instance, which is not measured.
const WARM_UP: usize = 4000;

/// Measures claims, tickets and kept answers.
pub(crate) fn measure() -> Result<Vec<Figure>, SlopeError> {
    let mut figures = claim_memory();
    figures.extend(answer_memory());
    figures.extend(ticket_windows());
    figures.extend(append_cost());
    Ok(figures)
}

fn owner(n: usize) -> Owner {
    Owner {
        incarnation: fixtures::incarnation(n),
        vm: fixtures::vm_id(&fixtures::domain(0), n),
    }
}

fn key(n: usize) -> JobKey {
    let text = format!("yard-{n:012}");
    text.parse().expect("generated keys are valid")
}

/// Returns the record of one append.
fn record(first: usize, keys: usize) -> String {
    let claim = ClaimRecord::Claim {
        by: owner(1),
        keys: (first..first + keys)
            .map(|n| KeyHash::of(&key(n)))
            .collect(),
    };
    serde_json::to_string(&claim).unwrap_or_default()
}

/// Measures the cost of one append on the log and on every VM that reads it.
fn append_cost() -> Vec<Figure> {
    let mut series = Series::new("keys in one append");
    for keys in [1, 10, 100, 400, 1000] {
        let data = record(0, keys);
        let chunk = Chunk {
            first: Offset(0),
            end: Offset(1),
            records: vec![Record {
                offset: Offset(0),
                data: data.as_str().into(),
            }],
        };
        let read = serde_json::to_vec(&chunk).unwrap_or_default();
        let apply = || {
            let mut claims = Claims::new(owner(0), 1 << 20);
            let _ = black_box(claims.apply(Offset(0), &data));
        };
        series.add(
            keys,
            &[
                ("claim, append", "B", data.len() as f64),
                ("claim, read by each VM", "B", read.len() as f64),
                ("claim, apply", "us", micros(50, apply)),
            ],
        );
    }
    series.finish()
}

/// Measures the memory of claimed keys.
fn claim_memory() -> Vec<Figure> {
    let mut series = Series::new("keys remembered");
    // The first instance is not measured, because it reuses freed memory.
    let mut all = vec![claims(WARM_UP)];
    for keys in [20_000, 40_000, 80_000, 160_000] {
        let (bytes, claims) = memory(|| claims(keys));
        all.push(claims);
        series.add(keys, &[("claims, memory", "B", bytes)]);
    }
    series.finish()
}

fn claims(keys: usize) -> Claims {
    let mut claims = Claims::new(owner(0), 1 << 20);
    for n in 0..keys / BATCH {
        let _ = claims.apply(Offset(n as u64), &record(n * BATCH, BATCH));
    }
    claims
}

/// Measures the memory of kept answers, next to the size that the table counts.
fn answer_memory() -> Vec<Figure> {
    let mut series = Series::new("kept jobs of 20 tasks with 100 B each");
    let mut all = vec![table(WARM_UP)];
    for jobs in [1000, 2000, 4000, 8000] {
        let (bytes, table) = memory(|| table(jobs));
        let counted = table.sizes().2 as f64;
        all.push(table);
        series.add(
            jobs,
            &[
                ("kept answers, memory", "B", bytes),
                ("kept answers, as counted", "B", counted),
            ],
        );
    }
    series.finish()
}

fn table(jobs: usize) -> JobTable<()> {
    let table = JobTable::new(TableLimits {
        kept_bytes: usize::MAX / 2,
    });
    for n in 0..jobs {
        table.enter(&key(n), || Ok::<(), ()>(()));
        table.finish(&key(n), Arc::new(outcome()), Timestamp(0));
    }
    table
}

fn outcome() -> Outcome {
    let answer = |n: usize| TaskAnswer {
        id: n.to_string().parse().expect("a number is a task's id"),
        body: Bytes::from(vec![b'x'; ANSWER_SIZE]),
    };
    Outcome::Complete((0..TASKS).map(answer).collect())
}

/// Measures a window of used tickets in memory and as a message to a successor.
fn ticket_windows() -> Vec<Figure> {
    let mut series = Series::new("tickets in the window");
    for span in [1 << 14, 1 << 16, 1 << 18, 1 << 20] {
        let windows = Windows::new(fixtures::incarnation(0), span);
        for ticket in windows.mint(span) {
            windows.take(ticket);
        }
        let states: Vec<WindowState> = windows.hand_over();
        let bits: usize = states.iter().map(|s| s.bits.len() * size_of::<u64>()).sum();
        let sent = wire::encode(&states).map_or(0, |b| b.len());
        series.add(
            span as usize,
            &[
                ("ticket window, memory", "B", bits as f64),
                ("ticket window, handed over", "B", sent as f64),
            ],
        );
    }
    series.finish()
}
