//! The scenarios. Each returns what broke its rule.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use crate::Record;
use crate::clients::{id, submit, submit_and_lose};
use crate::fleet::{Fleet, MEMORY_MB};
use crate::minions::Run;

type Broken = Result<Vec<String>, String>;

/// Plays a scenario.
pub fn play(name: &str, trouble: bool, record: &Record) -> Broken {
    match name {
        "silent" => silent(trouble, record),
        "queued" => queued(trouble, record),
        "phases" => phases(trouble, record),
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

/// Many clients submit jobs of many phases at once, in bodies of legal size. As the
/// platform does, the stand-in kills a process that exceeds its memory and starts it again.
fn phases(trouble: bool, record: &Record) -> Broken {
    const CLIENTS: u64 = 600;
    const PHASES: usize = 1_900;
    const RETRANSMIT_MS: u64 = 1_300;
    const DEADLINE_MS: u64 = 12_000;
    const CROWD_MS: u64 = 60_000;
    /// Number of ends of processes, and of VMs with as many, that the rule allows.
    const ENDS: u32 = 3;
    const VMS: usize = 2;
    const CHECK_MS: u64 = 20;
    /// Time after which a process that was killed is started again.
    const RESTART_MS: u64 = 500;
    let mut fleet =
        Fleet::start(&["suva-a", "nadi-b"], 1, 16, 32_000, record).map_err(|e| e.to_string())?;
    let fronts: Vec<_> = fleet.vms.iter().map(|vm| vm.front()).collect();
    let mut steps = one_step(1, 500, 900);
    if trouble {
        for _ in 1..PHASES {
            steps.push_str(",{\"count\":1,\"depends-on\":[0]}");
        }
    }
    record.line(&format!(
        "a crowd of {CLIENTS} clients, phases of {} bytes",
        steps.len()
    ));
    let over = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for n in 0..CLIENTS {
        let (steps, fronts, over, record) =
            (steps.clone(), fronts.clone(), over.clone(), record.clone());
        clients.push(std::thread::spawn(move || {
            let mut at = n as usize;
            while !over.load(Ordering::Relaxed) {
                let job = id(10_000 + n);
                let answer = submit(
                    fronts[at % fronts.len()],
                    &job,
                    "work=900,5 cpu=500",
                    &steps,
                    DEADLINE_MS,
                    &record,
                );
                // Only what the pages call for is sent again.
                if answer.is_some_and(|(status, _)| !matches!(status, 502 | 504)) {
                    return;
                }
                at += 1;
                sleep(RETRANSMIT_MS);
            }
        }));
    }
    let mut most = vec![0; fleet.vms.len()];
    let mut kills = vec![0; fleet.vms.len()];
    let mut down: Vec<Option<u64>> = vec![None; fleet.vms.len()];
    let end = record.now() + CROWD_MS;
    let broken = |kills: &[u32]| kills.iter().filter(|k| **k >= ENDS).count() >= VMS;
    while record.now() < end && !broken(&kills) && clients.iter().any(|c| !c.is_finished()) {
        sleep(CHECK_MS);
        for (v, vm) in fleet.vms.iter_mut().enumerate() {
            if let Some(since) = down[v] {
                if record.now() >= since + RESTART_MS {
                    vm.start().map_err(|e| e.to_string())?;
                    down[v] = None;
                }
                continue;
            }
            let memory = vm.memory();
            most[v] = memory.max(most[v]);
            if memory > MEMORY_MB << 10 {
                record.line(&format!(
                    "{}: {memory} KiB, over its memory of {MEMORY_MB} MB, killed",
                    vm.name
                ));
                vm.kill();
                kills[v] += 1;
                down[v] = Some(record.now());
            }
        }
    }
    over.store(true, Ordering::Relaxed);
    record.line(&format!(
        "most memory of each VM in KiB: {most:?}, kills: {kills:?}"
    ));
    println!("most memory of each VM in KiB: {most:?}, kills: {kills:?}");
    for client in clients {
        let _ = client.join();
    }
    match broken(&kills) {
        true => Ok(vec![format!(
            "Fault: processes exceeded their memory, by VM {kills:?} times"
        )]),
        false => Ok(Vec::new()),
    }
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
