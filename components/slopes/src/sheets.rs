//! Costs of the sheet and its changes.

use std::hint::black_box;

use kernel::{Millis, Offset};
use sheet::{Base, Body, Change, ChangeId, Sheet, SheetLog, SheetRecord};

use crate::SlopeError;
use crate::figure::{Figure, Series};
use crate::fixtures;
use crate::usage::{memory, micros};

/// Number of failure domains.
const DOMAINS: usize = 5;

/// Number of sheet logs over which the memory of one is averaged.
const COPIES: usize = 20;

/// Measures the sheet and its changes against the number of rows.
pub(crate) fn measure() -> Result<Vec<Figure>, SlopeError> {
    let mut series = Series::new("rows of the sheet, 3 changed");
    for teams in [100, 310, 800, 1900] {
        let rows = fixtures::SERVICES * DOMAINS + teams;
        let old = fixtures::sheet(teams, DOMAINS, 0);
        let new = fixtures::sheet(teams, DOMAINS, 1);
        let full = change(Base::Empty, Body::encode(None, &old), 0);
        let delta = change(Base::At(Offset(0)), Body::encode(Some(&old), &new), 1);
        let new_log = || {
            let mut log = SheetLog::new();
            log.apply(Offset(0), &full);
            log
        };
        let (bytes, logs) = memory(|| (0..COPIES).map(|_| new_log()).collect::<Vec<_>>());
        let apply = || {
            let mut log = new_log();
            black_box(log.apply(Offset(1), &delta));
        };
        let whole = micros(20, || drop(black_box(new_log())));
        let snapshot = logs[0].snapshot();
        let pulled = wire::encode(&snapshot).map_or(0, |b| b.len());
        series.add(
            rows,
            &[
                ("sheet, whole", "B", full.len() as f64),
                ("sheet, one change", "B", delta.len() as f64),
                ("sheet, pulled from a peer", "B", pulled as f64),
                ("sheet, memory", "B", bytes / COPIES as f64),
                ("sheet, apply whole", "us", whole),
                (
                    "sheet, apply one change",
                    "us",
                    (micros(20, apply) - whole).max(0.0),
                ),
            ],
        );
    }
    Ok(series.finish())
}

/// Returns the text of the record of a change.
pub(crate) fn change(base: Base, body: Body, n: usize) -> String {
    let record = SheetRecord::Change(Change {
        id: ChangeId::draw(&mut fixtures::rng(n)),
        by: "planner-1".parse().expect("the operator's name is valid"),
        base,
        at: Millis(1_790_000_000_000),
        body,
    });
    record.to_json().unwrap_or_default()
}

/// Returns the text of the record with which a site's sheet begins.
pub(crate) fn first_change(sheet: &Sheet) -> String {
    change(Base::Empty, Body::encode(None, sheet), 0)
}
