//! Random faults on real VM processes; `pomeloctl faults` plays more.

use std::path::{Path, PathBuf};

use kernel::Millis;
use soak::{Options, Plan, Shape, Violation, play};

/// The programs of the site under test.
const PROGRAM: &str = env!("CARGO_BIN_EXE_pomelopost");

const SHAPE: Shape = Shape {
    domains: 2,
    vms: 3,
    minions: 3,
};

async fn seed(seed: u64) {
    let plan = Plan::draw(seed, SHAPE, Millis(6_000));
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("faults-{seed}"));
    // Logs of an earlier run would be added to.
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

/// A stop, a kill, a VM that stands still, a store that turns calls away.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn lost_vms() {
    seed(1).await;
}

/// A domain cut off, lossy orders, a stop, slow minions.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn cut_domain() {
    seed(8).await;
}

/// A burst, a store away and silent, a crashed minion, a VM that stands still.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn lost_store() {
    seed(12).await;
}
