//! Parses and checks traces. Unknown fields and invalid references are errors.

use std::str::FromStr;

use compact_str::CompactString;
use hyper::header::HeaderValue;
use kernel::{HashMap, HashSet, Millis, VmId};
use serde::Deserialize;

use crate::error::{TraceError, TraceErrorKind as Kind};
use crate::summary::Summary;
use crate::trace::{
    Action, Answer, Bounds, Cancel, Disconnect, Expect, Expectation, Fault, FleetPlan, Keys,
    LogFault, MinionFault, Publish, Step, Submit, Trace, Verdict, VmFault,
};

/// A line of a trace before it is checked.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Line {
    at_ms: Option<u64>,
    fleet: Option<FleetPlan>,
    submit: Option<Submit>,
    cancel: Option<Cancel>,
    hang_up: Option<Disconnect>,
    fault: Option<RawFault>,
    publish: Option<Publish>,
    expect: Option<RawExpect>,
}

/// The action of a line before it is checked.
enum RawAction {
    Fleet(FleetPlan),
    Submit(Submit),
    Cancel(Cancel),
    Disconnect(Disconnect),
    Fault(RawFault),
    Publish(Publish),
    Expect(RawExpect),
}

/// The kinds of faults as named in traces.
#[derive(Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
enum FaultKind {
    MinionDies,
    MinionFailsAll,
    MinionSlow,
    MinionLeaves,
    MinionSilent,
    VmDies,
    VmReturns,
    VmStops,
    VmPauses,
    LogDown,
    LogSlow,
    LogLosesAnswers,
    LogTrims,
    DomainCut,
}

/// A fault before it is checked.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawFault {
    kind: FaultKind,
    target: Option<CompactString>,
    for_ms: Option<u64>,
    factor: Option<f64>,
    delay_ms: Option<u64>,
    keep: Option<usize>,
}

/// An expectation before it is checked.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawExpect {
    job: Option<CompactString>,
    answer: Option<Answers>,
    publish: Option<usize>,
    verdict: Option<Verdict>,
    total: Option<CompactString>,
    at_most: Option<f64>,
    at_least: Option<f64>,
    equals: Option<f64>,
}

/// One allowed answer or a list of them.
#[derive(Deserialize)]
#[serde(untagged)]
enum Answers {
    One(Answer),
    Many(Vec<Answer>),
}

impl FromStr for Trace {
    type Err = TraceError;

    fn from_str(text: &str) -> Result<Trace, TraceError> {
        let mut parser = Parser::default();
        for (n, line) in text.lines().enumerate() {
            let line = line.trim();
            if line.is_empty() || line.starts_with('#') {
                continue;
            }
            parser.line = n + 1;
            parser
                .read(line)
                .map_err(|kind| TraceError { line: n + 1, kind })?;
        }
        parser.finish()
    }
}

/// Longest duration or delay of a fault, in milliseconds.
const MAX_FAULT_MS: u64 = 3_600_000;

/// Greatest number of failure domains; the limits keep a fleet small enough for one
/// process.
const MAX_DOMAINS: usize = 16;
/// Greatest number of VMs in each failure domain.
const MAX_VMS: u32 = 16;
/// Greatest number of minions in each failure domain.
const MAX_MINIONS: u32 = 100;
/// Greatest number of slots of a minion.
const MAX_SLOTS: u32 = 1000;

/// The state of parsing a trace.
#[derive(Default)]
struct Parser {
    /// Number of the current line.
    line: usize,
    /// Fleet of the trace; set by the first line.
    fleet: Option<FleetPlan>,
    /// Actions and faults so far.
    steps: Vec<Step>,
    /// Expectations so far.
    expects: Vec<Expect>,
    /// Submitted jobs and the sources of their keys.
    jobs: HashMap<CompactString, Keys>,
    /// Line numbers and jobs of lines that refer to a job.
    references: Vec<(usize, CompactString)>,
    /// Number of publications.
    publications: usize,
}

impl Line {
    /// Returns the line's action; there must be exactly one.
    fn into_action(self) -> Result<RawAction, Kind> {
        let all = [
            self.fleet.map(RawAction::Fleet),
            self.submit.map(RawAction::Submit),
            self.cancel.map(RawAction::Cancel),
            self.hang_up.map(RawAction::Disconnect),
            self.fault.map(RawAction::Fault),
            self.publish.map(RawAction::Publish),
            self.expect.map(RawAction::Expect),
        ];
        let mut given = all.into_iter().flatten();
        match (given.next(), given.next()) {
            (Some(raw), None) => Ok(raw),
            _ => Err(Kind::Action),
        }
    }
}

impl Parser {
    fn read(&mut self, text: &str) -> Result<(), Kind> {
        let line: Line = serde_json::from_str(text).map_err(Kind::Json)?;
        let at = line.at_ms;
        let raw = line.into_action()?;
        let has_no_time = matches!(raw, RawAction::Fleet(_) | RawAction::Expect(_));
        match at {
            Some(_) if has_no_time => return Err(Kind::TimeGiven),
            None if !has_no_time => return Err(Kind::TimeMissing),
            _ => {}
        }
        if let RawAction::Fleet(plan) = raw {
            return self.set_fleet(plan);
        }
        self.fleet.get_or_insert_default();
        let action = match raw {
            RawAction::Fleet(_) => return Err(Kind::FleetLate),
            RawAction::Expect(raw) => return self.expect(raw),
            RawAction::Submit(submit) => self.submit(submit)?,
            RawAction::Cancel(cancel) => self.cancel(cancel)?,
            RawAction::Disconnect(disconnect) => self.disconnect(disconnect),
            RawAction::Fault(raw) => self.fault(raw)?,
            RawAction::Publish(publish) => self.publish(publish),
        };
        self.push_step(Millis(at.unwrap_or_default()), action)
    }

    fn set_fleet(&mut self, plan: FleetPlan) -> Result<(), Kind> {
        if self.fleet.is_some() {
            return Err(Kind::FleetLate);
        }
        let distinct: HashSet<_> = plan.domains.iter().collect();
        let domains = plan.domains.len();
        ensure(domains == distinct.len(), Kind::FleetRange("domains"))?;
        ensure(
            (1..=MAX_DOMAINS).contains(&domains),
            Kind::FleetRange("domains"),
        )?;
        ensure((1..=MAX_VMS).contains(&plan.vms), Kind::FleetRange("vms"))?;
        ensure(plan.minions <= MAX_MINIONS, Kind::FleetRange("minions"))?;
        ensure(
            (1..=MAX_SLOTS).contains(&plan.slots.0),
            Kind::FleetRange("slots"),
        )?;
        ensure(!plan.services.is_empty(), Kind::FleetRange("services"))?;
        self.fleet = Some(plan);
        Ok(())
    }

    fn push_step(&mut self, at: Millis, action: Action) -> Result<(), Kind> {
        let last = self.steps.last().map_or(Millis(0), |s| s.at);
        ensure(at >= last, Kind::Unsorted)?;
        self.steps.push(Step { at, action });
        Ok(())
    }

    fn submit(&mut self, submit: Submit) -> Result<Action, Kind> {
        self.vm(submit.via.as_str())?;
        let name = &submit.job;
        let is_valid = !name.is_empty() && HeaderValue::from_str(name).is_ok();
        ensure(is_valid, Kind::Key(name.clone()))?;
        let keys = submit.keys.unwrap_or_default();
        let first = *self.jobs.entry(name.clone()).or_insert(keys);
        let same = submit.keys.is_none_or(|k| k == first);
        ensure(same, Kind::Keys(name.clone()))?;
        Ok(Action::Submit(submit))
    }

    fn cancel(&mut self, cancel: Cancel) -> Result<Action, Kind> {
        self.vm(cancel.via.as_str())?;
        self.references.push((self.line, cancel.job.clone()));
        Ok(Action::Cancel(cancel))
    }

    fn disconnect(&mut self, disconnect: Disconnect) -> Action {
        self.references.push((self.line, disconnect.job.clone()));
        Action::Disconnect(disconnect)
    }

    fn publish(&mut self, publish: Publish) -> Action {
        self.publications += 1;
        Action::Publish(publish)
    }

    fn fault(&self, raw: RawFault) -> Result<Action, Kind> {
        raw.check_fields()?;
        let span = raw.for_ms.map(Millis);
        let target = raw.target.as_deref().unwrap_or_default();
        let fault = match raw.kind {
            FaultKind::DomainCut => self.domain_cut(target)?,
            FaultKind::LogDown => Fault::Log(LogFault::Down),
            FaultKind::LogSlow => Fault::Log(LogFault::Slow(Millis(raw.delay_ms.unwrap_or(0)))),
            FaultKind::LogLosesAnswers => Fault::Log(LogFault::LosesAnswers),
            FaultKind::LogTrims => Fault::Log(LogFault::Trims(raw.keep.unwrap_or(0))),
            FaultKind::VmDies => Fault::Vm(self.vm(target)?, VmFault::Dies),
            FaultKind::VmReturns => Fault::Vm(self.vm(target)?, VmFault::Returns),
            FaultKind::VmStops => Fault::Vm(self.vm(target)?, VmFault::Stops),
            FaultKind::VmPauses => Fault::Vm(self.vm(target)?, VmFault::Pauses),
            FaultKind::MinionDies => self.minion(target, MinionFault::Dies)?,
            FaultKind::MinionFailsAll => self.minion(target, MinionFault::FailsAll)?,
            FaultKind::MinionLeaves => self.minion(target, MinionFault::Leaves)?,
            FaultKind::MinionSilent => self.minion(target, MinionFault::Silent)?,
            FaultKind::MinionSlow => {
                let factor = raw.factor.unwrap_or(1.0);
                self.minion(target, MinionFault::Slow(factor))?
            }
        };
        Ok(Action::Fault(fault, span))
    }

    fn vm(&self, name: &str) -> Result<VmId, Kind> {
        let all = self.fleet.iter().flat_map(FleetPlan::vms);
        let mut found = all.map(|v| v.0).filter(|id| id.as_str() == name);
        found.next().ok_or_else(|| Kind::Target(name.into()))
    }

    fn minion(&self, name: &str, fault: MinionFault) -> Result<Fault, Kind> {
        let all = self.fleet.iter().flat_map(FleetPlan::minions);
        let mut found = all.map(|m| m.0).filter(|id| id.as_str() == name);
        let id = found.next().ok_or_else(|| Kind::Target(name.into()))?;
        Ok(Fault::Minion(id, fault))
    }

    fn domain_cut(&self, name: &str) -> Result<Fault, Kind> {
        let all = self.fleet.iter().flat_map(|f| &f.domains);
        let mut found = all.filter(|d| d.as_str() == name);
        let domain = found.next().ok_or_else(|| Kind::Target(name.into()))?;
        Ok(Fault::Cut(domain.clone()))
    }

    fn expect(&mut self, raw: RawExpect) -> Result<(), Kind> {
        let bounds = Bounds {
            at_most: raw.at_most,
            at_least: raw.at_least,
            equals: raw.equals,
        };
        let bounded = raw.at_most.or(raw.at_least).or(raw.equals).is_some();
        let what = match (raw.job, raw.answer, raw.publish, raw.verdict, raw.total) {
            (Some(job), Some(answers), None, None, None) if !bounded => {
                self.references.push((self.line, job.clone()));
                Expectation::Job(job, answers.into_vec())
            }
            (None, None, Some(n), Some(verdict), None) if !bounded => {
                Expectation::Publish(n, verdict)
            }
            (None, None, None, None, Some(total)) if bounded => {
                let known = Summary::default().total(&total).is_some();
                ensure(known, Kind::Total(total.clone()))?;
                Expectation::Total(total, bounds)
            }
            _ => return Err(Kind::Expect),
        };
        let line = self.line;
        self.expects.push(Expect { line, what });
        Ok(())
    }

    /// Checks the references between lines and returns the trace.
    fn finish(self) -> Result<Trace, TraceError> {
        for (line, job) in self.references {
            if !self.jobs.contains_key(&job) {
                let kind = Kind::Job(job);
                return Err(TraceError { line, kind });
            }
        }
        for expect in &self.expects {
            if let Expectation::Publish(n, _) = expect.what
                && !(1..=self.publications).contains(&n)
            {
                let (line, kind) = (expect.line, Kind::Publish(n));
                return Err(TraceError { line, kind });
            }
        }
        Ok(Trace {
            fleet: self.fleet.unwrap_or_default(),
            steps: self.steps,
            expects: self.expects,
        })
    }
}

impl RawFault {
    /// Checks that the fault has exactly the fields that its kind needs or allows,
    /// with valid values.
    fn check_fields(&self) -> Result<(), Kind> {
        let kind = self.kind;
        let is_log = matches!(
            kind,
            FaultKind::LogDown
                | FaultKind::LogSlow
                | FaultKind::LogLosesAnswers
                | FaultKind::LogTrims
        );
        let is_permanent = matches!(
            kind,
            FaultKind::MinionLeaves
                | FaultKind::MinionSilent
                | FaultKind::VmReturns
                | FaultKind::LogTrims
        );
        check_field("target", self.target.is_some(), !is_log, !is_log)?;
        let pauses = kind == FaultKind::VmPauses;
        check_field("for_ms", self.for_ms.is_some(), pauses, !is_permanent)?;
        let slow = kind == FaultKind::MinionSlow;
        check_field("factor", self.factor.is_some(), slow, slow)?;
        let delays = kind == FaultKind::LogSlow;
        check_field("delay_ms", self.delay_ms.is_some(), delays, delays)?;
        let trims = kind == FaultKind::LogTrims;
        check_field("keep", self.keep.is_some(), trims, trims)?;
        let factor = self.factor.is_none_or(|f| f.is_finite() && f >= 0.0);
        ensure(factor, Kind::Range("factor"))?;
        let in_range = |span: Option<u64>| span.is_none_or(|ms| ms <= MAX_FAULT_MS);
        ensure(in_range(self.for_ms), Kind::Range("for_ms"))?;
        ensure(in_range(self.delay_ms), Kind::Range("delay_ms"))
    }
}

impl Answers {
    fn into_vec(self) -> Vec<Answer> {
        match self {
            Answers::One(answer) => vec![answer],
            Answers::Many(list) => list,
        }
    }
}

fn ensure(condition: bool, kind: Kind) -> Result<(), Kind> {
    condition.then_some(()).ok_or(kind)
}

fn check_field(name: &'static str, given: bool, required: bool, allowed: bool) -> Result<(), Kind> {
    ensure(given || !required, Kind::Missing(name))?;
    ensure(!given || allowed, Kind::Extra(name))
}
