//! Plays a plan on a site of real processes.

use std::collections::BTreeMap;
use std::fmt;
use std::fs;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use kernel::Millis;
use platform_standin::Answer;
use tokio::sync::watch;

use crate::book::{Book, Record};
use crate::check::{DRAIN, Fault, check};
use crate::error::SoakError;
use crate::load::Load;
use crate::plan::{Plan, Trouble};
use crate::site::{Site, lasting_queue};

/// How often processes are looked after.
const TICK: Duration = Duration::from_millis(20);

/// Time between two records of a minion (`heartbeat-ms`).
const BEAT: Duration = Duration::from_millis(1_500);

/// The longest wait for VMs to serve, at the start and at the end. No rule
/// bounds it that closely; a machine under other load may need it.
const SERVE_WAIT: Duration = Duration::from_secs(40);

/// How long nothing else may be wrong before a planned stop or an announcement
/// for its rule to hold (`contact-ms`).
const CALM: Millis = Millis(3_000);

/// How long a planned stop may take with its restart.
const STOP_SPAN: Millis = Millis(7_000);

/// What to play with.
#[derive(Debug, Clone)]
pub struct Options {
    /// The program of a VM.
    pub program: PathBuf,
    /// Where settings and logs go.
    pub folder: PathBuf,
}

/// What came of a run.
#[derive(Debug, Clone, Default)]
pub struct Report {
    /// The broken promises.
    pub faults: Vec<Fault>,
    /// Jobs by their last answer.
    pub answers: BTreeMap<&'static str, usize>,
    /// Tasks that minions started.
    pub starts: usize,
    /// Troubles by kind.
    pub troubles: BTreeMap<&'static str, usize>,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} starts", self.starts)?;
        for (answer, count) in &self.answers {
            write!(f, ", {count} {answer}")?;
        }
        write!(f, "; {} broken", self.faults.len())
    }
}

fn name(answer: Option<Answer>) -> &'static str {
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

/// Plays a plan, and checks what callers and minions saw.
///
/// # Errors
///
/// Fails when the site can't be set up.
pub async fn play(plan: &Plan, options: &Options) -> Result<Report, SoakError> {
    let folder = &options.folder;
    fs::create_dir_all(folder).map_err(|e| SoakError::File(folder.clone(), e))?;
    let mut site = Site::start(plan.shape, &options.program, folder).await?;
    let book = Book::default();
    let fronts = site.vms.iter().map(|vm| vm.front).collect();
    let load = Load::new(site.fleet.clone(), book.clone(), fronts, lasting_queue()?);
    let mut run = Run {
        load: load.clone(),
        beat: Instant::now(),
        probes: 0,
    };
    let idle = run.serving(&mut site).await?;
    if !idle.is_empty() {
        return Err(SoakError::NotServing(idle.len()));
    }
    let (end, ended) = watch::channel(false);
    let calls = tokio::spawn(load.run(plan.seed, ended));
    let begin = site.fleet.now();
    run.troubles(&mut site, plan).await?;
    end.send_replace(true);
    let mut faults = Vec::new();
    if let Err(e) = calls.await
        && let Ok(panic) = e.try_into_panic()
    {
        std::panic::resume_unwind(panic);
    }
    let idle = run.serving(&mut site).await?;
    faults.extend(idle.into_iter().map(Fault::NotRecovered));
    let records = book.records();
    faults.extend(check(&records, &site.fleet, &site.versions));
    faults.extend(site.ended.iter().copied().map(Fault::Ended));
    faults.extend(late_starts(&site, plan));
    faults.extend(cut_offs(&records, plan, begin));
    site.kill_all().await;
    Ok(report(faults, &records, &site, plan))
}

fn report(faults: Vec<Fault>, records: &[Record], site: &Site, plan: &Plan) -> Report {
    let mut report = Report {
        faults,
        starts: site.fleet.starts().len(),
        ..Report::default()
    };
    for record in records {
        if let Some(last) = record.attempts.last() {
            *report.answers.entry(name(last.answer)).or_default() += 1;
        }
    }
    for step in &plan.steps {
        *report.troubles.entry(step.trouble.kind()).or_default() += 1;
    }
    report
}

/// A run under way.
struct Run {
    load: std::sync::Arc<Load>,
    beat: Instant,
    probes: u64,
}

impl Run {
    /// Looks after processes and minions' records.
    async fn tend(&mut self, site: &mut Site) -> Result<(), SoakError> {
        site.tend().await?;
        if self.beat.elapsed() >= BEAT {
            self.beat = Instant::now();
            site.beat();
        }
        for vm in 0..site.vms.len() {
            self.load.set_life(vm, site.life(vm));
        }
        self.load.set_version(site.version());
        Ok(())
    }

    /// Begins and ends the plan's troubles, each at its time.
    async fn troubles(&mut self, site: &mut Site, plan: &Plan) -> Result<(), SoakError> {
        let start = Instant::now();
        let mut going: Vec<(Millis, Trouble)> = Vec::new();
        let mut next = 0;
        loop {
            let now = Millis(start.elapsed().as_millis() as u64);
            let (over, rest) = going.into_iter().partition(|(until, _)| *until <= now);
            going = rest;
            let over: Vec<(Millis, Trouble)> = over;
            for (_, trouble) in over {
                site.end(trouble).await?;
            }
            while let Some(step) = plan.steps.get(next)
                && step.at <= now
            {
                site.begin(step.trouble, step.span, next).await?;
                going.push((Millis(now.0 + step.span.0), step.trouble));
                next += 1;
            }
            let bursts = going.iter().filter_map(|(_, t)| match t {
                Trouble::Burst(factor) => Some(*factor),
                _ => None,
            });
            self.load.set_factor(bursts.fold(1.0, f64::max));
            self.tend(site).await?;
            if now >= plan.span && going.is_empty() {
                return Ok(());
            }
            tokio::time::sleep(TICK).await;
        }
    }

    /// Waits until every VM is ready and completes a job of the lasting queue
    /// and one of the newest version's. Returns the VMs that don't in time.
    async fn serving(&mut self, site: &mut Site) -> Result<Vec<usize>, SoakError> {
        let until = Instant::now() + SERVE_WAIT;
        let mut waiting: Vec<usize> = (0..site.vms.len()).collect();
        while !waiting.is_empty() && Instant::now() < until {
            self.tend(site).await?;
            let mut idle = Vec::new();
            for vm in waiting {
                if !self.serves(site, vm).await {
                    idle.push(vm);
                }
            }
            waiting = idle;
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

/// Finds starts on minions that had announced that they leave, where nothing
/// else was wrong.
fn late_starts(site: &Site, plan: &Plan) -> Vec<Fault> {
    let mut faults = Vec::new();
    let starts = site.fleet.starts();
    for (index, minion, at) in &site.drained {
        let step = &plan.steps[*index];
        if !plan.calm(*index, CALM, step.span) {
            continue;
        }
        let window = at + DRAIN.0..at + step.span.0;
        let late = starts
            .iter()
            .filter(|s| s.minion == *minion && window.contains(&s.at));
        faults.extend(late.map(|s| Fault::LateStart(minion.clone(), s.task.clone())));
    }
    faults
}

/// Finds connections that ended without an answer around a planned stop, where
/// nothing else was wrong.
fn cut_offs(records: &[Record], plan: &Plan, begin: u64) -> Vec<Fault> {
    let mut faults = Vec::new();
    for (index, step) in plan.steps.iter().enumerate() {
        let Trouble::Stop(vm) = step.trouble else {
            continue;
        };
        if !plan.calm(index, CALM, STOP_SPAN) {
            continue;
        }
        let from = begin + step.at.0;
        let window = from..from + STOP_SPAN.0;
        for record in records {
            let cut = record.attempts.iter().any(|a| {
                a.vm == vm && a.answer == Some(Answer::Broken) && window.contains(&a.ended)
            });
            if cut {
                faults.push(Fault::CutOff(record.job.id.clone(), vm));
            }
        }
    }
    faults
}
