//! The scenarios. Each returns what broke its rule.

use std::time::Duration;

use crate::Record;
use crate::clients::{cancel, id, submit, submit_and_lose};
use crate::fleet::Fleet;
use crate::minions::Run;

type Broken = Result<Vec<String>, String>;

/// Plays a scenario.
pub fn play(name: &str, trouble: bool, record: &Record) -> Broken {
    match name {
        "cancel" => cancelled(trouble, record),
        "blamed" => blamed(trouble, record),
        "silent" => silent(trouble, record),
        _ => Err(format!("no scenario {name:?}")),
    }
}

fn sleep(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

/// A client cancels a job that runs, and gets the cancellation acknowledged.
fn cancelled(trouble: bool, record: &Record) -> Broken {
    let fleet =
        Fleet::start(&["suva-a", "nadi-b"], 2, 8, 32_000, record).map_err(|e| e.to_string())?;
    let mut broken = Vec::new();
    let job = id(1);
    let step = |after: &str| {
        format!("{{\"count\":2,\"cpu\":4000,\"mem-mb\":64,\"estimated-ms\":900{after}}}")
    };
    let mut steps = vec![step("")];
    for i in 0..7 {
        steps.push(step(&format!(",\"depends-on\":[{i}]")));
    }
    let steps = steps.join(",");
    let to = fleet.vms[0].front();
    let (post, sent) = (record.clone(), job.clone());
    let poster =
        std::thread::spawn(move || submit(to, &sent, "work=900 cpu=4000", &steps, 12_000, &post));
    sleep(1_200);
    let mut acked = None;
    if trouble {
        if let Some(200..=299 | 410) = cancel(to, &job, record) {
            acked = Some(record.now());
        }
    }
    let _ = poster.join();
    if let Some(acked) = acked {
        for run in fleet
            .runs
            .lock()
            .unwrap()
            .iter()
            .filter(|r| r.began > acked + 3_000)
        {
            broken.push(format!(
                "UNASKED: {} run {} began {} ms after the cancelling was acknowledged",
                run.task,
                run.number,
                run.began - acked
            ));
        }
    }
    Ok(broken)
}

/// Steps of one step of tasks.
fn one_step(count: u32, cpu: u32, estimate: u32) -> String {
    format!("{{\"count\":{count},\"cpu\":{cpu},\"mem-mb\":64,\"estimated-ms\":{estimate}}}")
}

/// Minions are cut off one after the other, each while it runs the same sound task. They
/// run on, and none of them fails anything.
fn blamed(trouble: bool, record: &Record) -> Broken {
    const CUTS: usize = 3;
    const CUT_MS: u64 = 5_500;
    let fleet =
        Fleet::start(&["suva-a", "nadi-b"], 2, 24, 32_000, record).map_err(|e| e.to_string())?;
    let (post, job, to) = (record.clone(), id(2), fleet.vms[0].front());
    let sent = job.clone();
    let steps = one_step(2, 14_000, 1_500);
    let poster =
        std::thread::spawn(move || submit(to, &sent, "work=1500 cpu=14000", &steps, 12_000, &post));
    let mut cut: Vec<(usize, u64)> = Vec::new();
    let mut cuts = 0;
    let end = record.now() + 12_500;
    while !poster.is_finished() && record.now() < end {
        sleep(50);
        let now = record.now();
        cut.retain(|(m, since)| {
            let over = now >= since + CUT_MS;
            if over {
                fleet.minions[*m].cut(false);
            }
            !over
        });
        let runs = fleet.runs.lock().unwrap();
        let latest = runs
            .iter()
            .rev()
            .find(|r| r.task.ends_with(".0.0") && r.ended.is_none())
            .cloned();
        drop(runs);
        let Some(run) = latest.filter(|_| trouble && cuts < CUTS) else {
            continue;
        };
        let at = fleet
            .minions
            .iter()
            .position(|m| m.id == run.minion)
            .unwrap_or(0);
        if now >= run.began + 400 && cut.iter().all(|(m, _)| *m != at) {
            fleet.minions[at].cut(true);
            cut.push((at, now));
            cuts += 1;
        }
    }
    let answer = poster.join().map_err(|_| "the client failed")?;
    let runs = fleet.runs.lock().unwrap();
    let failed = runs
        .iter()
        .filter(|r| r.ended.is_some_and(|(_, how)| how == "failed"))
        .count();
    let told = answer.is_some_and(|(status, body)| status == 200 && body.contains("\"failed\""));
    match told && failed == 0 {
        true => Ok(vec![format!(
            "LOST: job {job} is shown as failed after {} runs, and no run of any task has ended failed (max-attempts 4)",
            runs.len()
        )]),
        false => Ok(Vec::new()),
    }
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
