//! A task that crashes the minions that start it.

mod common;

use common::{Simulation, job};
use kernel::{Millis, MinionId, Timestamp};
use schedule::{
    CrashLog, CrashRecord, JobSpec, LossState, Outcome, ScheduleConfig, Scheduler, TaskName,
    Verdict,
};
use standins::Fate;

/// Minions that a task may crash before it is given up: the first one may have
/// other tasks, so that it proves nothing.
const MOST_CRASHES: usize = 3;

/// Returns a job whose client waits for twelve seconds.
fn patient(number: u64, tasks: u16, estimate: u64) -> JobSpec {
    JobSpec {
        objective: Millis(10_000),
        timeout: Millis(12_000),
        ..job(number, tasks, 14, estimate)
    }
}

/// Lets a task of the job crash each minion that starts it.
fn deadly(sim: &mut Simulation, spec: &JobSpec, index: u16) -> TaskName {
    let task = TaskName::new(&spec.id, 0, index);
    sim.fates.insert(task.clone(), Fate::Crashes);
    task
}

fn outcome(sim: &Simulation, spec: &JobSpec) -> Option<Outcome> {
    let ended = sim.outcomes.iter().find(|(_, id, _)| *id == spec.id);
    ended.map(|(_, _, outcome)| *outcome)
}

/// Guards against a task that takes one minion after another until its client
/// leaves, as an owner did not count runs that ended with their minion.
#[test]
fn gives_up() {
    let mut sim = Simulation::new(1, 1, &[32; 16]);
    sim.run(50);
    let spec = patient(1, 4, 200);
    let task = deadly(&mut sim, &spec, 2);
    sim.submit(0, spec.clone(), 200);
    sim.run(14_000);
    let started = sim.started_on[&task].len();
    assert!(started <= MOST_CRASHES, "started {started} times");
    assert_eq!(outcome(&sim, &spec), Some(Outcome::Failed));
    assert_eq!(sim.violations, Vec::<String>::new());
}

/// Guards against a plain count of losses, which fails sound tasks that ran beside
/// a deadly one.
#[test]
fn neighbours_live() {
    let mut sim = Simulation::new(2, 1, &[32; 16]);
    sim.run(50);
    let mut tasks = Vec::new();
    let mut sound = Vec::new();
    for number in 0..60 {
        let spec = patient(number, 2, 200);
        if number % 10 == 3 {
            tasks.push(deadly(&mut sim, &spec, 0));
        } else {
            sound.push(spec.clone());
        }
        sim.submit(0, spec, 200);
        sim.run(50);
    }
    sim.run(12_000);
    for spec in &sound {
        assert_eq!(outcome(&sim, spec), Some(Outcome::Completed), "{}", spec.id);
    }
    for task in &tasks {
        let started = sim.started_on[task].len();
        assert!(started <= 3, "{task} started {started} times");
    }
    // A task that is done did not crash the minions that it was lost with.
    let records = sim.owners[0].export(sim.time()).crashes;
    let held = records.iter().filter(|r| r.state != LossState::Cleared);
    let unjust: Vec<_> = held.filter(|r| !tasks.contains(&r.task)).collect();
    assert!(unjust.is_empty(), "{unjust:?}");
    assert_eq!(sim.violations, Vec::<String>::new());
}

/// Guards against a job whose tasks are all deadly and take a minion each at a
/// time, again and again.
#[test]
fn wide_job() {
    let mut sim = Simulation::new(3, 1, &[32; 24]);
    sim.run(50);
    let spec = patient(1, 12, 200);
    for index in 0..12 {
        deadly(&mut sim, &spec, index);
    }
    sim.submit(0, spec.clone(), 200);
    sim.run(14_000);
    assert_eq!(outcome(&sim, &spec), Some(Outcome::Failed));
    // Two tasks fit on a minion. The first start of all tasks takes at least six
    // minions, and one task proves the job's guilt.
    let started: usize = sim.started_on.values().map(Vec::len).sum();
    assert!(started <= 12 + 2, "{started} starts");
}

/// Guards against a count that begins at zero at the next owner.
#[test]
fn handed_over() {
    let mut sim = Simulation::new(4, 1, &[32; 16]);
    sim.run(50);
    let spec = patient(1, 2, 200);
    let task = deadly(&mut sim, &spec, 1);
    sim.submit(0, spec, 200);
    for _ in 0..12 {
        sim.run(1_100);
        sim.hand_over(0);
        sim.hold_all(0);
    }
    let started = sim.started_on[&task].len();
    assert!(started <= 3, "started {started} times");
}

/// Guards against blame on the tasks of a minion that was only cut off.
#[test]
fn cut_minion() {
    let mut sim = Simulation::new(5, 1, &[32; 4]);
    sim.run(50);
    let spec = patient(1, 2, 3_000);
    sim.submit(0, spec.clone(), 3_000);
    sim.run(50);
    for _ in 0..3 {
        let task = TaskName::new(&spec.id, 0, 0);
        let on = sim.started_on[&task].last().cloned().unwrap();
        sim.gone.push(on);
        sim.run(1_500);
        sim.gone.clear();
        sim.run(300);
    }
    sim.run(5_000);
    assert_eq!(outcome(&sim, &spec), Some(Outcome::Completed));
}

fn loss(task: &str, minion: u64, alone: bool, state: LossState) -> CrashRecord {
    CrashRecord {
        task: TaskName::from_minion(task),
        minion: format!("m-{minion}").parse::<MinionId>().unwrap(),
        born: 7,
        alone,
        state,
    }
}

const TASK: &str = "00000000000000ab.0.0.1";

#[test]
fn verdicts() {
    let now = Timestamp(1_000_000);
    let later = Timestamp(9_000_000);
    let (suspected, confirmed) = (LossState::Suspected, LossState::Confirmed);
    let verdict = |losses: &[(bool, LossState)], at| {
        let mut log = CrashLog::default();
        for (i, (alone, state)) in losses.iter().enumerate() {
            assert!(log.add(loss(TASK, i as u64, *alone, *state), now));
        }
        log.verdict(&TaskName::from_minion(TASK), at)
    };
    assert_eq!(verdict(&[], now), Verdict::Clear);
    assert_eq!(verdict(&[(true, LossState::Cleared)], now), Verdict::Clear);
    assert_eq!(verdict(&[(true, confirmed)], now), Verdict::Suspect);
    assert_eq!(verdict(&[(false, confirmed); 2], now), Verdict::Isolated);
    let alone = [(true, confirmed), (true, suspected)];
    let proved_by = Timestamp(5_500_000);
    assert_eq!(verdict(&alone, now), Verdict::OnHold(proved_by));
    assert_eq!(verdict(&alone, later), Verdict::Isolated);
    assert_eq!(verdict(&[(true, confirmed); 2], now), Verdict::Poison);
    assert_eq!(verdict(&[(false, suspected); 3], now), Verdict::Poison);
}

#[test]
fn merged_records() {
    let now = Timestamp(1);
    let mut log = CrashLog::default();
    assert!(log.add(loss(TASK, 1, false, LossState::Confirmed), now));
    // Older news of the same loss change nothing, a later state does.
    assert!(!log.add(loss(TASK, 1, false, LossState::Suspected), now));
    assert!(log.add(loss(TASK, 1, false, LossState::Cleared), now));
    assert!(!log.add(loss(TASK, 1, false, LossState::Confirmed), now));
    assert_eq!(log.records().count(), 1);
    // Names that can't be those of a job's task are not kept.
    assert!(!log.add(loss("x", 1, false, LossState::Confirmed), now));
    let long = format!("{TASK}{}", "0".repeat(100));
    assert!(!log.add(loss(&long, 1, false, LossState::Confirmed), now));
    log.expire(Timestamp(100_000_000));
    assert!(log.is_empty());
}

/// Guards against a job that is said to have failed after one crash under it: the
/// first start had come to a minion that another task had just crashed
/// (`pomeloctl faults --seed 8121 --span 14s`).
#[test]
fn crashed_by_another() {
    let now = Timestamp(1_000_000);
    let mut log = CrashLog::default();
    log.add(loss(TASK, 1, false, LossState::Confirmed), now);
    log.add(loss(TASK, 2, true, LossState::Suspected), now);
    let task = TaskName::from_minion(TASK);
    assert_eq!(log.verdict(&task, now), Verdict::Isolated);
    log.add(loss(TASK, 2, true, LossState::Confirmed), now);
    assert_eq!(log.verdict(&task, now), Verdict::Isolated);
}

/// Guards against a hold that begins again when a loss is confirmed, and against a
/// job that waits until its deadline although it can't end in time.
#[test]
fn hopeless_job() {
    let mut sim = Simulation::new(6, 1, &[32; 16]);
    sim.run(50);
    let spec = JobSpec {
        timeout: Millis(4_000),
        ..patient(1, 1, 200)
    };
    let task = deadly(&mut sim, &spec, 0);
    sim.submit(0, spec.clone(), 200);
    sim.run(3_000);
    assert_eq!(sim.started_on[&task].len(), 2);
    assert_eq!(outcome(&sim, &spec), Some(Outcome::Expired));
}

/// Guards against starts of a task that another owner has given up.
#[test]
fn learned_verdict() {
    let mut owner = Scheduler::new(ScheduleConfig::default());
    let now = Timestamp(1_000_000);
    let spec = job(0xab, 2, 14, 60);
    assert!(!owner.is_poison(&spec.id, now));
    for minion in 0..2 {
        owner.learn_crash(loss(TASK, minion, true, LossState::Confirmed), now);
    }
    assert!(owner.is_poison(&spec.id, now));
}
