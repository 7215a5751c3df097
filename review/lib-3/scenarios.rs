//! The scenarios. Each returns what broke its rule.

use std::time::Duration;

use crate::Record;
use crate::clients::{id, submit, submit_and_lose};
use crate::fleet::Fleet;
use crate::minions::Run;

type Broken = Result<Vec<String>, String>;

/// Plays a scenario.
pub fn play(name: &str, trouble: bool, record: &Record) -> Broken {
    match name {
        "silent" => silent(trouble, record),
        "queued" => queued(trouble, record),
        _ => Err(format!("no scenario {name:?}")),
    }
}

fn sleep(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

/// Returns the phases of a job of one step.
fn one_step(count: u32, cpu: u32, estimate: u32) -> String {
    format!("{{\"count\":{count},\"cpu\":{cpu},\"mem-mb\":64,\"estimated-ms\":{estimate}}}")
}

/// Ten clients submit a job each. The connections of three of them go silent; these
/// clients notice it by a keep-alive of their own and send the job again after the time of
/// the pages, to a VM of another zone. The VM at the silent connection learns nothing.
fn silent(trouble: bool, record: &Record) -> Broken {
    const SILENT_AFTER_MS: u64 = 900;
    const RETRANSMIT_MS: u64 = 1_300;
    const DEADLINE_MS: u64 = 12_000;
    const SPEC: &str = "work=3000 cpu=14000";
    let fleet =
        Fleet::start(&["suva-a", "nadi-b"], 2, 12, 32_000, record).map_err(|e| e.to_string())?;
    let mut clients = Vec::new();
    for n in 0..10 {
        let (job, steps) = (id(30 + n), one_step(1, 14_000, 3_000));
        let (first, second) = (fleet.vms[n as usize % 2].front(), fleet.vms[2].front());
        let record = record.clone();
        clients.push(std::thread::spawn(move || {
            if n % 4 != 0 {
                submit(first, &job, SPEC, &steps, DEADLINE_MS, &record);
                return;
            }
            let kept = submit_and_lose(
                first,
                &job,
                SPEC,
                &steps,
                DEADLINE_MS,
                SILENT_AFTER_MS,
                trouble,
                &record,
            );
            sleep(RETRANSMIT_MS);
            submit(second, &job, SPEC, &steps, DEADLINE_MS, &record);
            drop(kept);
        }));
        sleep(100);
    }
    for client in clients {
        let _ = client.join();
    }
    Ok(at_once(&fleet))
}

/// All minions are busy, and a job waits for room. Its client's connection goes silent; the
/// client sends the job again, to another VM of the same zone, while it still waits.
fn queued(trouble: bool, record: &Record) -> Broken {
    const SILENT_AFTER_MS: u64 = 400;
    const RETRANSMIT_MS: u64 = 1_300;
    const DEADLINE_MS: u64 = 20_000;
    const MINIONS: u8 = 8;
    let fleet = Fleet::start(&["suva-a"], 2, MINIONS, 32_000, record).map_err(|e| e.to_string())?;
    let (first, second) = (fleet.vms[0].front(), fleet.vms[1].front());
    let mut clients = Vec::new();
    for n in 0..u64::from(MINIONS) {
        // Beside such a task a minion has no room for one of 14 cores.
        let (job, steps, record) = (id(50 + n), one_step(1, 28_000, 4_000), record.clone());
        clients.push(std::thread::spawn(move || {
            submit(
                second,
                &job,
                "work=4000 cpu=28000",
                &steps,
                DEADLINE_MS,
                &record,
            );
        }));
    }
    sleep(500);
    let (job, steps) = (id(80), one_step(1, 14_000, 6_000));
    let spec = "work=6000 cpu=14000";
    let kept = submit_and_lose(
        first,
        &job,
        spec,
        &steps,
        DEADLINE_MS,
        SILENT_AFTER_MS,
        trouble,
        record,
    );
    sleep(RETRANSMIT_MS);
    submit(second, &job, spec, &steps, DEADLINE_MS, record);
    drop(kept);
    for client in clients {
        let _ = client.join();
    }
    Ok(at_once(&fleet))
}

/// Returns the runs of one task that were executing at the same time for over 10 ms.
fn at_once(fleet: &Fleet) -> Vec<String> {
    let runs = fleet.runs.lock().unwrap();
    let mut broken = Vec::new();
    let end = |r: &Run| r.ended.map_or(u64::MAX, |(at, _)| at);
    for (i, a) in runs.iter().enumerate() {
        for b in runs[i + 1..].iter().filter(|b| b.task == a.task) {
            let both = end(a).min(end(b)).saturating_sub(a.began.max(b.began));
            if both > 10 {
                broken.push(format!(
                    "TWICE: {} ran as run {} on {} and as run {} on {} at once for {both} ms",
                    a.task, a.number, a.minion, b.number, b.minion
                ));
            }
        }
    }
    broken
}
