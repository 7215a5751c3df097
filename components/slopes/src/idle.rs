//! What real VMs cost without any job: heartbeats, the platform's list, and
//! the reading of the log; and how long a change of the sheet takes.

use std::thread::sleep;
use std::time::{Duration, Instant};

use kernel::Offset;
use sheet::{Base, Body};

use crate::SlopeError;
use crate::bed::{Bed, Plan, THREADS};
use crate::figure::{Figure, Series};
use crate::named;
use crate::sheets::change;
use crate::usage::{cpu, resident};

/// How long a fleet runs before it is watched.
const SETTLE: Duration = Duration::from_secs(3);

/// How long a fleet is watched.
const WATCHED: Duration = Duration::from_secs(6);

/// Changes of the sheet that are timed.
const CHANGES: usize = 5;

/// The longest wait for a change to be in force.
const CHANGE_WAIT: Duration = Duration::from_secs(5);

/// The failure domains.
const DOMAINS: usize = 5;

/// The minions and teams of letter 1.
const MINIONS: usize = 830;
const TEAMS: usize = 310;

/// Measures idle VMs against VMs, minions and teams.
pub(crate) fn measure() -> Result<Vec<Figure>, SlopeError> {
    let mut figures = memory()?;
    let mut series = Series::new("VMs in 5 domains, 830 minions, 310 teams, no jobs");
    for vms in [2, 5, 10, 15] {
        run(&mut series, vms, vms, MINIONS, TEAMS)?;
    }
    figures.extend(series.finish());
    let mut series = Series::new("minions, 5 VMs, 310 teams, no jobs");
    for minions in [50, 200, 400, 830] {
        run(&mut series, minions, 5, minions, TEAMS)?;
    }
    figures.extend(series.finish());
    let mut series = Series::new("teams, 5 VMs, 830 minions, no jobs");
    for teams in [20, 100, 200, 310] {
        run(&mut series, teams, 5, MINIONS, teams)?;
    }
    figures.extend(series.finish());
    Ok(figures)
}

/// Memory against VMs, each with a platform of its own. All stay until the
/// end, so that none fills memory which another has freed. It comes first.
fn memory() -> Result<Vec<Figure>, SlopeError> {
    let mut series = Series::new("VMs with a platform stand-in each, 830 minions, 310 teams");
    let mut beds = Vec::new();
    let before = resident();
    for vms in 1..=8 {
        beds.push(Bed::start(&plan(1, MINIONS, TEAMS))?);
        sleep(Duration::from_secs(1));
        series.add(vms, &[("idle VMs, memory", "B", resident() - before)]);
    }
    Ok(series.finish())
}

fn plan(vms: usize, minions: usize, teams: usize) -> Plan {
    Plan {
        vms,
        domains: DOMAINS,
        minions: named::minion_rows(minions, DOMAINS),
        teams,
        events: 1 << 14,
    }
}

fn run(
    series: &mut Series,
    size: usize,
    vms: usize,
    minions: usize,
    teams: usize,
) -> Result<(), SlopeError> {
    let bed = Bed::start(&plan(vms, minions, teams))?;
    sleep(SETTLE);
    let (platform, others) = bed.traffic.read();
    let used = cpu(THREADS);
    let began = Instant::now();
    sleep(WATCHED);
    let span = began.elapsed().as_secs_f64();
    let (platform, others) = {
        let now = bed.traffic.read();
        (now.0 - platform, now.1 - others)
    };
    let used = cpu(THREADS) - used;
    let count = vms as f64;
    let delay = bed.outside.block_on(spread(&bed, teams))?;
    series.add(
        size,
        &[
            // The VM at the other end sees the same bytes.
            ("idle VM, peers", "B/s", 2.0 * others / span / count),
            ("idle VM, platform", "B/s", platform / span / count),
            (
                "idle VM, processor",
                "% of a core",
                used / span / count * 100.0,
            ),
            ("change in force on all VMs, median of 5", "ms", delay),
        ],
    );
    Ok(())
}

/// Returns the milliseconds until a change is in force on all VMs.
async fn spread(bed: &Bed, teams: usize) -> Result<f64, SlopeError> {
    let mut delays = Vec::new();
    let mut base = Offset(0);
    for n in 1..=CHANGES {
        let old = named::sheet(teams, DOMAINS, n - 1);
        let new = named::sheet(teams, DOMAINS, n);
        let record = change(Base::At(base), Body::encode(Some(&old), &new), n);
        let began = Instant::now();
        base = bed.publish(record).await?;
        while !in_force(bed, base).await {
            if began.elapsed() > CHANGE_WAIT {
                return Err(SlopeError::Sheet);
            }
        }
        delays.push(began.elapsed().as_secs_f64() * 1000.0);
    }
    delays.sort_by(f64::total_cmp);
    Ok(delays[CHANGES / 2])
}

async fn in_force(bed: &Bed, offset: Offset) -> bool {
    for vm in &bed.vms {
        let Some(page) = bed.get(vm.callers(), "/v1/status").await else {
            return false;
        };
        let status: serde_json::Value = serde_json::from_slice(&page).unwrap_or_default();
        if status["sheet"].as_u64() != Some(offset.0) {
            return false;
        }
    }
    true
}
