//! Tests that every trace in the repository violates no invariant and meets its
//! expectations.

use std::fs;
use std::path::{Path, PathBuf};

use futures::stream::{self, StreamExt};
use replay::{Answer, Report, Trace, play};

/// Number of fleets that run at the same time.
const PARALLEL_FLEETS: usize = 3;

/// Prints the attempts of each submission without a complete answer, so that a
/// failed run in CI shows why.
fn print_incomplete(name: &str, report: &Report) {
    for sub in &report.submissions {
        let complete = matches!(sub.answer, Some((_, Answer::Complete)));
        if !complete {
            let ends: Vec<_> = sub.attempts.iter().map(|a| (&a.vm, &a.end)).collect();
            println!("{name}: {} {ends:?}", sub.job);
        }
    }
}

/// Plays a trace and returns its name if it failed.
async fn play_failed(path: PathBuf) -> Option<String> {
    let name = path.file_stem().unwrap().to_string_lossy().into_owned();
    let trace: Trace = fs::read_to_string(&path).unwrap().parse().unwrap();
    let report = play(&trace).await.unwrap();
    println!("{name}: {}", report.summary);
    for miss in &report.missed {
        println!("{name}: {miss}");
    }
    for violation in &report.violations {
        println!("{name}: {violation}");
    }
    if !report.summary.passed() {
        print_incomplete(&name, &report);
    }
    (!report.summary.passed()).then_some(name)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn all_traces() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../traces");
    let paths = fs::read_dir(folder).unwrap().map(|e| e.unwrap().path());
    let mut paths: Vec<_> = paths.filter(|p| p.is_file()).collect();
    paths.sort();
    assert!(paths.len() >= 8);
    let played = stream::iter(paths)
        .map(play_failed)
        .buffer_unordered(PARALLEL_FLEETS);
    let failed: Vec<String> = played.filter_map(|name| async { name }).collect().await;
    assert!(failed.is_empty(), "{failed:?}");
}
