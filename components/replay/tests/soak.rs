//! Random traces of fixed seeds keep every invariant.

use kernel::Millis;
use replay::{Trace, generate, play};

/// The length of each trace.
const SPAN: Millis = Millis(4_000);

async fn holds(seed: u64) {
    let trace: Trace = generate(seed, SPAN).parse().unwrap();
    let report = play(&trace).await.unwrap();
    let broken = report.summary.broken();
    assert!(broken.is_empty(), "seed {seed}: {broken:?}");
    assert!(report.faults.is_empty(), "seed {seed}: {:?}", report.faults);
    assert!(report.summary.complete > 0, "seed {seed}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn fixed_seeds() {
    for seed in [1, 2, 3] {
        holds(seed).await;
    }
}
