//! Changes of the sheet.

use std::hint::black_box;

use kernel::{Millis, Offset};
use sheet::{Base, Body, Change, ChangeId, Sheet, SheetLog, SheetRecord};

use crate::SlopeError;
use crate::figure::{Figure, Series};
use crate::named;
use crate::usage::{memory, micros};

/// The failure domains.
const DOMAINS: usize = 5;

/// Logs made to measure the memory of one.
const COPIES: usize = 20;

/// Measures changes against the rows of the sheet.
pub(crate) fn measure() -> Result<Vec<Figure>, SlopeError> {
    let mut series = Series::new("rows of the sheet, 3 changed");
    for teams in [100, 310, 800, 1900] {
        let rows = named::SERVICES * DOMAINS + teams;
        let old = named::sheet(teams, DOMAINS, 0);
        let new = named::sheet(teams, DOMAINS, 1);
        let full = change(Base::Empty, Body::encode(None, &old), 0);
        let delta = change(Base::At(Offset(0)), Body::encode(Some(&old), &new), 1);
        let held = || {
            let mut log = SheetLog::new();
            log.apply(Offset(0), &full);
            log
        };
        let (bytes, logs) = memory(|| (0..COPIES).map(|_| held()).collect::<Vec<_>>());
        let apply = || {
            let mut log = held();
            black_box(log.apply(Offset(1), &delta));
        };
        let whole = micros(20, || drop(black_box(held())));
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

/// Returns a change as its record's text.
pub(crate) fn change(base: Base, body: Body, n: usize) -> String {
    let record = SheetRecord::Change(Change {
        id: ChangeId::draw(&mut named::dice(n)),
        by: "planner-1".parse().expect("a made-up operator's name"),
        base,
        at: Millis(1_790_000_000_000),
        body,
    });
    record.to_json().unwrap_or_default()
}

/// Returns the first change of a site.
pub(crate) fn first(sheet: &Sheet) -> String {
    change(Base::Empty, Body::encode(None, sheet), 0)
}
