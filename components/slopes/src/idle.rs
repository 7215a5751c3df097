//! Costs of real VMs without jobs, which come from heartbeats, reads of the
//! platform's list and reads of the log, and the delay of a change of the sheet.

use std::thread::sleep;
use std::time::{Duration, Instant};

use kernel::Offset;
use sheet::{Base, Body};

use crate::SlopeError;
use crate::figure::{Figure, Series};
use crate::fixtures;
use crate::sheets::change;
use crate::testbed::{Plan, Testbed, VM_THREADS};
use crate::usage::{cpu, resident};

/// Time that a fleet runs before it is measured.
const SETTLE: Duration = Duration::from_secs(3);

/// Time over which a fleet is measured.
const MEASURE_TIME: Duration = Duration::from_secs(6);

/// Number of changes of the sheet that are timed.
const CHANGES: usize = 5;

/// Timeout for a change to be in force on all VMs.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(5);

/// Number of failure domains.
const DOMAINS: usize = 5;

/// Number of minions at the design size, as given in the users' letter 1.
const MINIONS: usize = 830;

/// Number of teams at the design size, as given in the users' letter 1.
const TEAMS: usize = 310;

/// Measures idle VMs against the numbers of VMs, minions and teams.
pub(crate) fn measure() -> Result<Vec<Figure>, SlopeError> {
    let mut figures = memory()?;
    let mut series = Series::new("VMs in 5 domains, 830 minions, 310 teams, no jobs");
    for vms in [2, 5, 10, 15] {
        measure_fleet(&mut series, vms, vms, MINIONS, TEAMS)?;
    }
    figures.extend(series.finish());
    let mut series = Series::new("minions, 5 VMs, 310 teams, no jobs");
    for minions in [50, 200, 400, 830] {
        measure_fleet(&mut series, minions, 5, minions, TEAMS)?;
    }
    figures.extend(series.finish());
    let mut series = Series::new("teams, 5 VMs, 830 minions, no jobs");
    for teams in [20, 100, 200, 310] {
        measure_fleet(&mut series, teams, 5, MINIONS, teams)?;
    }
    figures.extend(series.finish());
    Ok(figures)
}

/// Measures memory against the number of VMs, each with its own platform. All VMs
/// run until the end, so that none reuses memory that another one has freed. This
/// must run before the other measurements for the same reason.
fn memory() -> Result<Vec<Figure>, SlopeError> {
    let mut series = Series::new("VMs with a platform stand-in each, 830 minions, 310 teams");
    let mut testbeds = Vec::new();
    let before = resident();
    for vms in 1..=8 {
        testbeds.push(Testbed::start(&plan(1, MINIONS, TEAMS))?);
        sleep(Duration::from_secs(1));
        series.add(vms, &[("idle VMs, memory", "B", resident() - before)]);
    }
    Ok(series.finish())
}

fn plan(vms: usize, minions: usize, teams: usize) -> Plan {
    Plan {
        vms,
        domains: DOMAINS,
        minions: fixtures::minion_rows(minions, DOMAINS),
        teams,
        events: 1 << 14,
    }
}

fn measure_fleet(
    series: &mut Series,
    size: usize,
    vms: usize,
    minions: usize,
    teams: usize,
) -> Result<(), SlopeError> {
    let testbed = Testbed::start(&plan(vms, minions, teams))?;
    sleep(SETTLE);
    let (platform, others) = testbed.traffic.read();
    let used = cpu(VM_THREADS);
    let began = Instant::now();
    sleep(MEASURE_TIME);
    let span = began.elapsed().as_secs_f64();
    let (platform, others) = {
        let now = testbed.traffic.read();
        (now.0 - platform, now.1 - others)
    };
    let used = cpu(VM_THREADS) - used;
    let count = vms as f64;
    let delay = testbed
        .caller_runtime
        .block_on(change_delay(&testbed, teams))?;
    series.add(
        size,
        &[
            // Doubled, as the VM at the other end of a connection has the same bytes.
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

/// Returns the median time in milliseconds until a change is in force on all VMs.
async fn change_delay(testbed: &Testbed, teams: usize) -> Result<f64, SlopeError> {
    let mut delays = Vec::new();
    let mut base = Offset(0);
    for n in 1..=CHANGES {
        let old = fixtures::sheet(teams, DOMAINS, n - 1);
        let new = fixtures::sheet(teams, DOMAINS, n);
        let record = change(Base::At(base), Body::encode(Some(&old), &new), n);
        let began = Instant::now();
        base = testbed.publish(record).await?;
        while !in_force(testbed, base).await {
            if began.elapsed() > CHANGE_TIMEOUT {
                return Err(SlopeError::Sheet);
            }
        }
        delays.push(began.elapsed().as_secs_f64() * 1000.0);
    }
    delays.sort_by(f64::total_cmp);
    Ok(delays[CHANGES / 2])
}

async fn in_force(testbed: &Testbed, offset: Offset) -> bool {
    for vm in &testbed.vms {
        let Some(page) = testbed.get(vm.callers(), "/v1/status").await else {
            return false;
        };
        let status: serde_json::Value = serde_json::from_slice(&page).unwrap_or_default();
        if status["sheet"].as_u64() != Some(offset.0) {
            return false;
        }
    }
    true
}
