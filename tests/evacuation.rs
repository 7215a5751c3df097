//! Evacuates a failure domain of real VM processes, by the operator's record in
//! the store.

use std::path::{Path, PathBuf};

use kernel::Millis;
use platform_standin::StoreMode;
use soak::{Fault, Options, Plan, Report, Shape, Step, Violation, play};

/// Program of the VMs under test.
const PROGRAM: &str = env!("CARGO_BIN_EXE_pomelopost");

const SHAPE: Shape = Shape {
    domains: 2,
    vms: 4,
    minions: 3,
};

/// Time at which each plan begins its evacuation.
const BEGIN: Millis = Millis(2_000);

/// Duration of each evacuation, in which the check has some seconds after the
/// bound of 5 s.
const SPAN: Millis = Millis(9_000);

/// Plays an evacuation of the first domain with other faults.
async fn play_with(name: &str, others: &[(u64, u64, Fault)]) -> Report {
    let step = |(at, span, fault): &(u64, u64, Fault)| Step {
        at: Millis(*at),
        span: Millis(*span),
        fault: *fault,
    };
    let mut steps: Vec<_> = others.iter().map(step).collect();
    steps.push(step(&(BEGIN.0, SPAN.0, Fault::Evacuate(0))));
    steps.sort_by_key(|s| s.at);
    let plan = Plan {
        seed: 1,
        shape: SHAPE,
        span: Millis(BEGIN.0 + SPAN.0 + 1_000),
        steps,
    };
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("evacuation-{name}"));
    // Remove the logs of an earlier run, as new lines would be appended to them.
    let _ = std::fs::remove_dir_all(&folder);
    let options = Options {
        program: PathBuf::from(PROGRAM),
        folder,
    };
    let report = play(&plan, &options).await.unwrap();
    assert_eq!(report.violations, Vec::<Violation>::new());
    assert!(report.answers["completed"] > 0, "{report}");
    report
}

/// Fails if the record in the store does not reach the owners in time, or the
/// domain does not serve again after its withdrawal.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn undisturbed() {
    play_with("undisturbed", &[]).await;
}

/// Fails if a burst of jobs, or a store that has trimmed its history, delays the
/// evacuation.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn during_burst() {
    let others = [
        (1_500, 8_000, Fault::Burst(3.0)),
        (1_900, 100, Fault::Compact),
        (2_100, 100, Fault::Compact),
    ];
    play_with("burst", &others).await;
}

/// Fails if owners that are lost right after the acknowledgement, or a store that
/// is silent then, lets tasks start in the domain once all VMs are in touch.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn lost_owner() {
    let others = [
        (2_050, 500, Fault::Kill(0)),
        (2_050, 500, Fault::Kill(2)),
        (2_100, 800, Fault::Store(None, StoreMode::Silent)),
    ];
    play_with("lost-owner", &others).await;
}

/// Fails if VMs that all start during an evacuation start tasks in the domain.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn common_start() {
    play_with("common-start", &[(2_500, 300, Fault::KillAll)]).await;
}

/// Fails if a VM that returns from a freeze ends the evacuation elsewhere.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn frozen_vm() {
    play_with("frozen", &[(1_900, 1_200, Fault::Pause(0))]).await;
}
