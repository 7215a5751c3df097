//! What is kept of jobs: claims, tickets and answers.

use std::hint::black_box;
use std::sync::Arc;

use bytes::Bytes;
use jobs::{ClaimRecord, Claims, JobTable, KeyHash, Outcome, Owner, TableLimits, TaskAnswer};
use jobs::{WindowState, Windows};
use kernel::{JobKey, Offset, Timestamp};
use logstore::{Chunk, Record};

use crate::SlopeError;
use crate::figure::{Figure, Series};
use crate::named;
use crate::usage::{memory, micros};

/// The keys in one append of the memory measurements.
const BATCH: usize = 100;

/// The tasks of each kept answer.
const TASKS: usize = 20;

/// The bytes that each task answers.
const ANSWER: usize = 100;

/// The size of what is made first and not measured.
const FIRST: usize = 4000;

/// Measures claims, tickets and kept answers.
pub(crate) fn measure() -> Result<Vec<Figure>, SlopeError> {
    let mut figures = held();
    figures.extend(kept());
    figures.extend(tickets());
    figures.extend(written());
    Ok(figures)
}

fn owner(n: usize) -> Owner {
    Owner {
        incarnation: named::incarnation(n),
        vm: named::vm_id(&named::domain(0), n),
    }
}

fn key(n: usize) -> JobKey {
    let text = format!("yard-{n:012}");
    text.parse().expect("made-up keys have the form of keys")
}

/// Returns one append's record.
fn record(first: usize, keys: usize) -> String {
    let claim = ClaimRecord::Claim {
        by: owner(1),
        keys: (first..first + keys)
            .map(|n| KeyHash::of(&key(n)))
            .collect(),
    };
    serde_json::to_string(&claim).unwrap_or_default()
}

/// What one append costs on the log and with every VM that reads it.
fn written() -> Vec<Figure> {
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

/// What claimed keys keep in memory.
fn held() -> Vec<Figure> {
    let mut series = Series::new("keys remembered");
    // The first is left out: it fills memory that was freed before.
    let mut all = vec![claims(FIRST)];
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

/// What kept answers take, and what the table takes them for.
fn kept() -> Vec<Figure> {
    let mut series = Series::new("kept jobs of 20 tasks with 100 B each");
    let mut all = vec![table(FIRST)];
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
        body: Bytes::from(vec![b'x'; ANSWER]),
    };
    Outcome::Complete((0..TASKS).map(answer).collect())
}

/// What a window of used tickets is as a message to a successor.
fn tickets() -> Vec<Figure> {
    let mut series = Series::new("tickets in the window");
    for span in [1 << 14, 1 << 16, 1 << 18, 1 << 20] {
        let windows = Windows::new(named::incarnation(0), span);
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
