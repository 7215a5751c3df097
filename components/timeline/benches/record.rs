//! Measures the cost of recording one event with 1, 2 and 4 threads.

use std::hint::black_box;
use std::sync::Barrier;
use std::thread;
use std::time::{Duration, Instant};

use criterion::Criterion;
use kernel::{Incarnation, JobKey, MinionId, SystemClock, TaskId};
use rand::SeedableRng;
use rand_xoshiro::Xoshiro256PlusPlus;
use timeline::{EventKind, Note, Recorder};

fn recorder(capacity: usize) -> Recorder {
    let incarnation = Incarnation::draw(&mut Xoshiro256PlusPlus::seed_from_u64(7));
    let process = "suva-a/vm-1".parse().unwrap();
    Recorder::new(process, incarnation, SystemClock::new(), capacity)
}

fn run(recorder: &Recorder, threads: usize, iterations: u64) -> Duration {
    let barrier = Barrier::new(threads);
    let work = || {
        let job: JobKey = "yard-4711-quote-00000042".parse().unwrap();
        let task: TaskId = "roof-check".parse().unwrap();
        let minion: MinionId = "suva-a/minion-17".parse().unwrap();
        barrier.wait();
        let start = Instant::now();
        for _ in 0..iterations {
            let note = Note::new(EventKind::TaskSent).job(&job).task(&task);
            recorder.record(black_box(note.minion(&minion)));
        }
        start.elapsed()
    };
    thread::scope(|scope| {
        let handles: Vec<_> = (0..threads).map(|_| scope.spawn(work)).collect();
        handles
            .into_iter()
            .map(|h| h.join().unwrap())
            .max()
            .unwrap()
    })
}

fn record(c: &mut Criterion) {
    let mut group = c.benchmark_group("record");
    for threads in [1, 2, 4] {
        for (name, capacity) in [("on", 16_384), ("off", 0)] {
            let recorder = recorder(capacity);
            group.bench_function(format!("{name}/{threads} threads"), |b| {
                b.iter_custom(|iterations| run(&recorder, threads, iterations));
            });
        }
    }
    group.finish();
}

fn main() {
    let mut c = Criterion::default().configure_from_args();
    record(&mut c);
    c.final_summary();
}
