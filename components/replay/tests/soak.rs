//! Tests that random traces of fixed seeds violate no invariant.

use kernel::Millis;
use replay::{Trace, generate, play};

/// Duration of each trace.
const SPAN: Millis = Millis(4_000);

async fn check_seed(seed: u64) {
    let trace: Trace = generate(seed, SPAN).parse().unwrap();
    let report = play(&trace).await.unwrap();
    let violations = report.summary.violations();
    assert!(violations.is_empty(), "seed {seed}: {violations:?}");
    assert!(
        report.violations.is_empty(),
        "seed {seed}: {:?}",
        report.violations
    );
    assert!(report.summary.complete > 0, "seed {seed}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn fixed_seeds() {
    for seed in [1, 2, 3] {
        check_seed(seed).await;
    }
}
