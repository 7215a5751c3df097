//! Plays a few seeds of random faults on real VM processes; `pomeloctl faults`
//! plays any number of them.

use std::path::{Path, PathBuf};

use kernel::Millis;
use soak::{Options, Plan, Shape, Violation, play};

/// Program of the VMs under test.
const PROGRAM: &str = env!("CARGO_BIN_EXE_pomelopost");

const SHAPE: Shape = Shape {
    domains: 2,
    vms: 3,
    minions: 3,
};

async fn play_seed(seed: u64) {
    let plan = Plan::draw(seed, SHAPE, Millis(6_000));
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("faults-{seed}"));
    // Remove the logs of an earlier run, as new lines would be appended to
    // them.
    let _ = std::fs::remove_dir_all(&folder);
    let options = Options {
        program: PathBuf::from(PROGRAM),
        folder,
    };
    let report = play(&plan, &options).await.unwrap();
    assert_eq!(
        report.violations,
        Vec::<Violation>::new(),
        "{:#?}",
        plan.steps
    );
    assert!(report.answers["completed"] > 0, "{report}");
}

/// Plays a planned stop, a killed VM, a paused VM, a store that rejects calls
/// and an evacuated domain.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn lost_vms() {
    play_seed(1).await;
}

/// Plays an isolated failure domain, lossy orders, a planned stop, slow minions
/// and evacuated domains.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn isolated_domain() {
    play_seed(8).await;
}

/// Plays a burst of jobs, a store that is unavailable and then silent, a
/// crashed minion and a paused VM.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unavailable_store() {
    play_seed(12).await;
}
