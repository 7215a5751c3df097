//! Runs a plan on a site of real processes.

use std::collections::BTreeMap;
use std::fmt;
use std::fs;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use kernel::Millis;
use platform_standin::Answer;
use tokio::sync::watch;

use crate::check::{DRAIN, Violation, check, check_evacuations};
use crate::error::SoakError;
use crate::load::Load;
use crate::plan::{Fault, Plan};
use crate::records::{JobRecords, Record};
use crate::site::{Site, lasting_queue};

/// Interval at which processes and faults are checked.
const TICK: Duration = Duration::from_millis(20);

/// Time between two register records of a minion (`heartbeat-ms`).
const HEARTBEAT: Duration = Duration::from_millis(1_500);

/// Timeout for all VMs to serve, at the start and at the end. It is generous
/// because the machine may be under other load, and no guarantee bounds it.
const SERVE_TIMEOUT: Duration = Duration::from_secs(40);

/// Time without other faults before a planned stop or an announced departure,
/// after which its guarantee holds (`contact-ms`).
const FAULT_FREE: Millis = Millis(3_000);

/// Time that a planned stop and the restart may take together.
const STOP_SPAN: Millis = Millis(7_000);

/// Time that a VM's process takes to start and to find the others after a fault
/// has ended. It is generous because the machine may be under other load.
const RETURN_SPAN: Millis = Millis(2_000);

/// Options of a run.
#[derive(Debug, Clone)]
pub struct Options {
    /// The program that VMs run.
    pub program: PathBuf,
    /// The folder for settings and logs.
    pub folder: PathBuf,
}

/// Result of a run.
#[derive(Debug, Clone, Default)]
pub struct Report {
    /// The violations.
    pub violations: Vec<Violation>,
    /// The number of jobs by their last answer.
    pub answers: BTreeMap<&'static str, usize>,
    /// The number of tasks that minions started.
    pub starts: usize,
    /// The number of faults by kind.
    pub faults: BTreeMap<&'static str, usize>,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} starts", self.starts)?;
        for (answer, count) in &self.answers {
            write!(f, ", {count} {answer}")?;
        }
        write!(f, "; {} broken", self.violations.len())
    }
}

/// Returns the name of an answer, for counts.
fn answer_name(answer: Option<Answer>) -> &'static str {
    match answer {
        None => "given up",
        Some(Answer::Completed) => "completed",
        Some(Answer::Failed) => "failed",
        Some(Answer::Refused(_)) => "refused",
        Some(Answer::NoQueue) => "no queue",
        Some(Answer::Unusable(_)) => "unusable",
        Some(Answer::Unknown(_)) => "unknown",
        Some(Answer::Broken) => "broken",
        Some(Answer::TimedOut) => "timed out",
        Some(Answer::Unreached) => "unreached",
    }
}

/// Runs a plan and checks what callers and minions recorded.
///
/// # Errors
///
/// Fails when the site can't be set up.
pub async fn play(plan: &Plan, options: &Options) -> Result<Report, SoakError> {
    let folder = &options.folder;
    fs::create_dir_all(folder).map_err(|e| SoakError::File(folder.clone(), e))?;
    let mut site = Site::start(plan.shape, &options.program, folder).await?;
    let jobs = JobRecords::default();
    let fronts = site.vms.iter().map(|vm| vm.front).collect();
    let load = Load::new(site.fleet.clone(), jobs.clone(), fronts, lasting_queue()?);
    let mut run = Run {
        load: load.clone(),
        last_heartbeat: Instant::now(),
        probes: 0,
    };
    let not_serving = run.wait_serving(&mut site).await?;
    if !not_serving.is_empty() {
        return Err(SoakError::NotServing(not_serving.len()));
    }
    let (end, ended) = watch::channel(false);
    let calls = tokio::spawn(load.run(plan.seed, ended));
    let begin = site.fleet.now();
    run.inject(&mut site, plan).await?;
    end.send_replace(true);
    let mut violations = Vec::new();
    if let Err(e) = calls.await
        && let Ok(panic) = e.try_into_panic()
    {
        std::panic::resume_unwind(panic);
    }
    let not_serving = run.wait_serving(&mut site).await?;
    violations.extend(not_serving.into_iter().map(Violation::NotRecovered));
    let records = jobs.records();
    violations.extend(check(&records, &site.fleet, &site.versions));
    violations.extend(site.ended.iter().copied().map(Violation::Ended));
    violations.extend(late_starts(&site, plan));
    violations.extend(cut_offs(&records, plan, begin));
    let disturbed = disturbed_times(plan, begin);
    violations.extend(check_evacuations(
        &site.fleet.infos(),
        &site.fleet.starts(),
        &site.evacuations,
        &disturbed,
    ));
    site.kill_all().await;
    Ok(report(violations, &records, &site, plan))
}

fn report(violations: Vec<Violation>, records: &[Record], site: &Site, plan: &Plan) -> Report {
    let mut report = Report {
        violations,
        starts: site.fleet.starts().len(),
        ..Report::default()
    };
    for record in records {
        if let Some(last) = record.attempts.last() {
            *report.answers.entry(answer_name(last.answer)).or_default() += 1;
        }
    }
    for step in &plan.steps {
        *report.faults.entry(step.fault.kind()).or_default() += 1;
    }
    report
}

/// State of a run in progress.
struct Run {
    load: std::sync::Arc<Load>,
    last_heartbeat: Instant,
    probes: u64,
}

impl Run {
    /// Supervises the processes and publishes the minions' records.
    async fn supervise(&mut self, site: &mut Site) -> Result<(), SoakError> {
        site.supervise().await?;
        if self.last_heartbeat.elapsed() >= HEARTBEAT {
            self.last_heartbeat = Instant::now();
            site.heartbeat();
        }
        for vm in 0..site.vms.len() {
            self.load.set_incarnation(vm, site.incarnation(vm));
        }
        self.load.set_version(site.version());
        Ok(())
    }

    /// Begins and ends the plan's faults, each at its time.
    async fn inject(&mut self, site: &mut Site, plan: &Plan) -> Result<(), SoakError> {
        let start = Instant::now();
        let mut active: Vec<(Millis, Fault)> = Vec::new();
        let mut next = 0;
        loop {
            let now = Millis(start.elapsed().as_millis() as u64);
            let (ended, rest) = active.into_iter().partition(|(until, _)| *until <= now);
            active = rest;
            let ended: Vec<(Millis, Fault)> = ended;
            for (_, fault) in ended {
                site.end(fault).await?;
            }
            while let Some(step) = plan.steps.get(next)
                && step.at <= now
            {
                site.begin(step.fault, step.span, next).await?;
                active.push((Millis(now.0 + step.span.0), step.fault));
                next += 1;
            }
            let bursts = active.iter().filter_map(|(_, t)| match t {
                Fault::Burst(factor) => Some(*factor),
                _ => None,
            });
            self.load.set_factor(bursts.fold(1.0, f64::max));
            let poison = active.iter().filter_map(|(_, t)| match t {
                Fault::Poison(share) => Some(*share),
                _ => None,
            });
            self.load.set_poison(poison.fold(0.0, f64::max));
            self.supervise(site).await?;
            if now >= plan.span && active.is_empty() {
                return Ok(());
            }
            tokio::time::sleep(TICK).await;
        }
    }

    /// Waits until every VM is ready and completes a job in the lasting queue and
    /// one in the newest version's queue. Returns the VMs that don't in time.
    async fn wait_serving(&mut self, site: &mut Site) -> Result<Vec<usize>, SoakError> {
        let until = Instant::now() + SERVE_TIMEOUT;
        let mut waiting: Vec<usize> = (0..site.vms.len()).collect();
        while !waiting.is_empty() && Instant::now() < until {
            self.supervise(site).await?;
            let mut not_serving = Vec::new();
            for vm in waiting {
                if !self.serves(site, vm).await {
                    not_serving.push(vm);
                }
            }
            waiting = not_serving;
            tokio::time::sleep(TICK).await;
        }
        Ok(waiting)
    }

    async fn serves(&mut self, site: &Site, vm: usize) -> bool {
        self.probes += 2;
        let version = site.version();
        self.load.ready(site.vms[vm].ready).await
            && self.load.probe(vm, self.probes, None).await
            && self.load.probe(vm, self.probes + 1, Some(version)).await
    }
}

/// Finds starts on minions that had announced that they leave, while no other
/// fault was in force.
fn late_starts(site: &Site, plan: &Plan) -> Vec<Violation> {
    let mut violations = Vec::new();
    let starts = site.fleet.starts();
    for (index, minion, at) in &site.drained {
        let step = &plan.steps[*index];
        if !plan.is_only_fault(*index, FAULT_FREE, step.span) {
            continue;
        }
        let window = at + DRAIN.0..at + step.span.0;
        let late = starts
            .iter()
            .filter(|s| s.minion == *minion && window.contains(&s.at));
        violations.extend(late.map(|s| Violation::LateStart(minion.clone(), s.task.clone())));
    }
    violations
}

/// Returns the times on the minions' clock in which a VM was disturbed: from the
/// beginning of each fault that disturbs VMs until they are back. The load began
/// at `begin`.
fn disturbed_times(plan: &Plan, begin: u64) -> Vec<(u64, u64)> {
    let steps = plan.steps.iter().filter(|s| s.fault.disturbs_vms());
    steps
        .map(|step| {
            let from = begin + step.at.0;
            let span = match step.fault {
                // The process ends within this time and is restarted then.
                Fault::Stop(_) => step.span.max(STOP_SPAN),
                _ => step.span,
            };
            (from, from + span.0 + RETURN_SPAN.0)
        })
        .collect()
}

/// Finds connections that ended without an answer around a planned stop, while
/// no other fault was in force.
fn cut_offs(records: &[Record], plan: &Plan, begin: u64) -> Vec<Violation> {
    let mut violations = Vec::new();
    for (index, step) in plan.steps.iter().enumerate() {
        let Fault::Stop(vm) = step.fault else {
            continue;
        };
        if !plan.is_only_fault(index, FAULT_FREE, STOP_SPAN) {
            continue;
        }
        let from = begin + step.at.0;
        let window = from..from + STOP_SPAN.0;
        for record in records {
            let cut = record.attempts.iter().any(|a| {
                a.vm == vm && a.answer == Some(Answer::Broken) && window.contains(&a.ended)
            });
            if cut {
                violations.push(Violation::CutOff(record.job.id.clone(), vm));
            }
        }
    }
    violations
}
