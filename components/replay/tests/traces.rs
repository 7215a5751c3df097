//! Every trace in the repository keeps the promise that it is for.

use std::fs;
use std::path::Path;

use replay::{Trace, play};

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn all_traces() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../traces");
    let mut paths: Vec<_> = fs::read_dir(folder)
        .unwrap()
        .map(|entry| entry.unwrap().path())
        .collect();
    paths.sort();
    assert!(paths.len() >= 8);
    let mut failed = Vec::new();
    for path in paths {
        let name = path.file_stem().unwrap().to_string_lossy().into_owned();
        let trace: Trace = fs::read_to_string(&path).unwrap().parse().unwrap();
        let report = play(&trace).await.unwrap();
        println!("{name}: {}", report.summary);
        report
            .misses
            .iter()
            .for_each(|miss| println!("{name}: {miss}"));
        if !report.summary.good() {
            failed.push(name);
        }
    }
    assert!(failed.is_empty(), "{failed:?}");
}
