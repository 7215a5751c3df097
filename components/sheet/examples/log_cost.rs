//! Compares the cost of full sheets and of differences as the bodies of changes,
//! at the design size: log bytes per day and time to apply a change.
//!
//! Run: `cargo run --release -p sheet --example log_cost`

use std::fmt::Write;
use std::time::Instant;

use kernel::{Millis, Offset};
use rand::Rng;
use rand_xoshiro::Xoshiro256PlusPlus;
use rand_xoshiro::rand_core::SeedableRng;
use sheet::{Base, Body, Change, ChangeId, Sheet, SheetLog, SheetRecord};

/// Number of teams at the design size.
const TEAMS: usize = 310;
/// Number of services, each with a row in every failure domain.
const SERVICES: usize = 20;
/// Number of failure domains at the design size.
const DOMAINS: usize = 5;
/// Number of changes per day at the design size.
const CHANGES: usize = 530;
/// Number of rows that one change touches.
const ROWS_CHANGED: usize = 3;
/// Number of renewals of the sheet per day.
const RENEWALS: usize = 2;

fn sheet_csv(amounts: &[u32], team_rows: usize) -> String {
    let mut text = String::from("what,name,where,amount\n");
    let mut amounts = amounts.iter();
    let mut next = || amounts.next().copied().unwrap_or(1);
    for s in 0..SERVICES {
        for d in 0..DOMAINS {
            let _ = writeln!(text, "service,service-{s:02},domain-{d},{}", next());
        }
    }
    for t in 0..TEAMS {
        for d in 0..team_rows {
            let place = if d == 0 {
                "*".into()
            } else {
                format!("domain-{}", d - 1)
            };
            let _ = writeln!(text, "team,team-{t:03},{place},{}", next());
        }
    }
    text
}

fn main() {
    println!("team-rows sheet-rows body bytes/day bytes/change us/change(apply)");
    for team_rows in [1, 1 + DOMAINS] {
        for full in [true, false] {
            run(team_rows, full);
        }
    }
}

fn run(team_rows: usize, full: bool) {
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(1);
    let count = SERVICES * DOMAINS + TEAMS * team_rows;
    let mut amounts = vec![10; count];
    let mut sheet =
        Sheet::parse(&sheet_csv(&amounts, team_rows)).unwrap_or_else(|_| Sheet::unlimited());
    let mut log = SheetLog::new();
    let mut bytes = 0;
    let mut total_micros = 0.0;
    apply(
        &mut log,
        change(&mut rng, Base::Empty, Body::Full(sheet.cells())),
    );
    for i in 0..CHANGES {
        for _ in 0..ROWS_CHANGED {
            amounts[rng.random_range(0..count)] = rng.random_range(0..500);
        }
        let Ok(new) = Sheet::parse(&sheet_csv(&amounts, team_rows)) else {
            return;
        };
        let body = match full {
            true => Body::Full(new.cells()),
            false => Body::encode(Some(&sheet), &new),
        };
        let base = Base::At(log.version().unwrap_or(Offset(0)));
        let (size, micros) = apply(&mut log, change(&mut rng, base, body));
        bytes += size;
        total_micros += micros;
        sheet = new;
        if i % (CHANGES / RENEWALS) == CHANGES / RENEWALS - 1
            && let Some(renewal) = log.renewal(Millis(1))
        {
            bytes += apply(&mut log, SheetRecord::Renewal(renewal)).0;
        }
    }
    assert_eq!(log.held().map(|h| h.sheet.as_ref()), Some(&sheet));
    let kind = if full { "whole" } else { "delta" };
    println!(
        "{team_rows:9} {count:10} {kind} {bytes:9} {:12} {:10.0}",
        bytes / CHANGES,
        total_micros / CHANGES as f64
    );
}

fn change(rng: &mut impl Rng, base: Base, body: Body) -> SheetRecord {
    SheetRecord::Change(Change {
        id: ChangeId::draw(rng),
        by: "operator-1"
            .parse()
            .unwrap_or_else(|_| unreachable!("the name is valid")),
        base,
        at: Millis(1_790_000_000_000),
        body,
    })
}

fn apply(log: &mut SheetLog, record: SheetRecord) -> (usize, f64) {
    let text = record.to_json().unwrap_or_default();
    let begin = Instant::now();
    log.apply(log.next(), &text);
    (text.len(), begin.elapsed().as_secs_f64() * 1e6)
}
