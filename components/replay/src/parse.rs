//! The strict reader of traces.

use std::str::FromStr;

use compact_str::CompactString;
use hyper::header::HeaderValue;
use kernel::{HashMap, HashSet, Millis, VmId};
use serde::Deserialize;

use crate::error::{TraceError, TraceErrorKind as Kind};
use crate::summary::Summary;
use crate::trace::{
    Action, Answer, Bounds, Cancel, Expect, Expectation, Fault, FleetPlan, HangUp, Keys, LogFault,
    MinionFault, Publish, Step, Submit, Trace, Verdict, VmFault,
};

/// A line as it stands.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Line {
    at_ms: Option<u64>,
    fleet: Option<FleetPlan>,
    submit: Option<Submit>,
    cancel: Option<Cancel>,
    hang_up: Option<HangUp>,
    fault: Option<RawFault>,
    publish: Option<Publish>,
    expect: Option<RawExpect>,
}

/// The one action of a line, as it stands.
enum Raw {
    Fleet(FleetPlan),
    Submit(Submit),
    Cancel(Cancel),
    HangUp(HangUp),
    Fault(RawFault),
    Publish(Publish),
    Expect(RawExpect),
}

/// The kinds of faults by their words.
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

/// A fault as it stands.
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

/// An expectation as it stands.
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

/// One answer, or a list of those allowed.
#[derive(Deserialize)]
#[serde(untagged)]
enum Answers {
    One(Answer),
    Many(Vec<Answer>),
}

impl FromStr for Trace {
    type Err = TraceError;

    fn from_str(text: &str) -> Result<Trace, TraceError> {
        let mut reader = Reader::default();
        for (n, line) in text.lines().enumerate() {
            let line = line.trim();
            if line.is_empty() || line.starts_with('#') {
                continue;
            }
            reader.line = n + 1;
            reader
                .read(line)
                .map_err(|kind| TraceError { line: n + 1, kind })?;
        }
        reader.finish()
    }
}

/// The times that faults may last, in milliseconds.
const MAX_SPAN: u64 = 3_600_000;

/// The sizes that a fleet in one process may have.
const MAX_DOMAINS: usize = 16;
const MAX_VMS: u32 = 16;
const MAX_MINIONS: u32 = 100;
const MAX_SLOTS: u32 = 1000;

/// What has been read so far.
#[derive(Default)]
struct Reader {
    /// The current line.
    line: usize,
    /// The fleet, once a line has come.
    fleet: Option<FleetPlan>,
    /// The steps.
    steps: Vec<Step>,
    /// The expectations.
    expects: Vec<Expect>,
    /// The jobs submitted, and where their keys come from.
    jobs: HashMap<CompactString, Keys>,
    /// The jobs named by other lines.
    named: Vec<(usize, CompactString)>,
    /// How many sheets are published.
    published: usize,
}

impl Line {
    /// Takes out the only action.
    fn only(self) -> Result<Raw, Kind> {
        let all = [
            self.fleet.map(Raw::Fleet),
            self.submit.map(Raw::Submit),
            self.cancel.map(Raw::Cancel),
            self.hang_up.map(Raw::HangUp),
            self.fault.map(Raw::Fault),
            self.publish.map(Raw::Publish),
            self.expect.map(Raw::Expect),
        ];
        let mut given = all.into_iter().flatten();
        match (given.next(), given.next()) {
            (Some(raw), None) => Ok(raw),
            _ => Err(Kind::Action),
        }
    }
}

impl Reader {
    fn read(&mut self, text: &str) -> Result<(), Kind> {
        let line: Line = serde_json::from_str(text).map_err(Kind::Json)?;
        let at = line.at_ms;
        let raw = line.only()?;
        let timeless = matches!(raw, Raw::Fleet(_) | Raw::Expect(_));
        match at {
            Some(_) if timeless => return Err(Kind::TimeGiven),
            None if !timeless => return Err(Kind::TimeMissing),
            _ => {}
        }
        if let Raw::Fleet(plan) = raw {
            return self.plan(plan);
        }
        self.fleet.get_or_insert_default();
        let action = match raw {
            Raw::Fleet(_) => return Err(Kind::FleetLate),
            Raw::Expect(raw) => return self.expect(raw),
            Raw::Submit(submit) => self.submit(submit)?,
            Raw::Cancel(cancel) => self.cancel(cancel)?,
            Raw::HangUp(hang_up) => self.hang_up(hang_up),
            Raw::Fault(raw) => self.fault(raw)?,
            Raw::Publish(publish) => self.publish(publish),
        };
        self.step(Millis(at.unwrap_or_default()), action)
    }

    fn plan(&mut self, plan: FleetPlan) -> Result<(), Kind> {
        if self.fleet.is_some() {
            return Err(Kind::FleetLate);
        }
        let distinct: HashSet<_> = plan.domains.iter().collect();
        let domains = plan.domains.len();
        check(domains == distinct.len(), Kind::FleetRange("domains"))?;
        check(
            (1..=MAX_DOMAINS).contains(&domains),
            Kind::FleetRange("domains"),
        )?;
        check((1..=MAX_VMS).contains(&plan.vms), Kind::FleetRange("vms"))?;
        check(plan.minions <= MAX_MINIONS, Kind::FleetRange("minions"))?;
        check(
            (1..=MAX_SLOTS).contains(&plan.slots.0),
            Kind::FleetRange("slots"),
        )?;
        check(!plan.services.is_empty(), Kind::FleetRange("services"))?;
        self.fleet = Some(plan);
        Ok(())
    }

    fn step(&mut self, at: Millis, action: Action) -> Result<(), Kind> {
        let last = self.steps.last().map_or(Millis(0), |s| s.at);
        check(at >= last, Kind::Unsorted)?;
        self.steps.push(Step { at, action });
        Ok(())
    }

    fn submit(&mut self, submit: Submit) -> Result<Action, Kind> {
        self.vm(submit.via.as_str())?;
        let name = &submit.job;
        let legal = !name.is_empty() && HeaderValue::from_str(name).is_ok();
        check(legal, Kind::Key(name.clone()))?;
        let keys = submit.keys.unwrap_or_default();
        let first = *self.jobs.entry(name.clone()).or_insert(keys);
        let same = submit.keys.is_none_or(|k| k == first);
        check(same, Kind::Keys(name.clone()))?;
        Ok(Action::Submit(submit))
    }

    fn cancel(&mut self, cancel: Cancel) -> Result<Action, Kind> {
        self.vm(cancel.via.as_str())?;
        self.named.push((self.line, cancel.job.clone()));
        Ok(Action::Cancel(cancel))
    }

    fn hang_up(&mut self, hang_up: HangUp) -> Action {
        self.named.push((self.line, hang_up.job.clone()));
        Action::HangUp(hang_up)
    }

    fn publish(&mut self, publish: Publish) -> Action {
        self.published += 1;
        Action::Publish(publish)
    }

    fn fault(&self, raw: RawFault) -> Result<Action, Kind> {
        raw.check_fields()?;
        let span = raw.for_ms.map(Millis);
        let target = raw.target.as_deref().unwrap_or_default();
        let fault = match raw.kind {
            FaultKind::DomainCut => self.cut(target)?,
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

    fn cut(&self, name: &str) -> Result<Fault, Kind> {
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
                self.named.push((self.line, job.clone()));
                Expectation::Job(job, answers.list())
            }
            (None, None, Some(n), Some(verdict), None) if !bounded => {
                Expectation::Publish(n, verdict)
            }
            (None, None, None, None, Some(total)) if bounded => {
                let known = Summary::default().total(&total).is_some();
                check(known, Kind::Total(total.clone()))?;
                Expectation::Total(total, bounds)
            }
            _ => return Err(Kind::Expect),
        };
        let line = self.line;
        self.expects.push(Expect { line, what });
        Ok(())
    }

    /// Checks what only the whole trace shows.
    fn finish(self) -> Result<Trace, TraceError> {
        for (line, job) in self.named {
            if !self.jobs.contains_key(&job) {
                let kind = Kind::Job(job);
                return Err(TraceError { line, kind });
            }
        }
        for expect in &self.expects {
            if let Expectation::Publish(n, _) = expect.what
                && !(1..=self.published).contains(&n)
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
    /// Checks that the kind's fields are there, and no others.
    fn check_fields(&self) -> Result<(), Kind> {
        let kind = self.kind;
        let log = matches!(
            kind,
            FaultKind::LogDown
                | FaultKind::LogSlow
                | FaultKind::LogLosesAnswers
                | FaultKind::LogTrims
        );
        let lasting = matches!(
            kind,
            FaultKind::MinionLeaves
                | FaultKind::MinionSilent
                | FaultKind::VmReturns
                | FaultKind::LogTrims
        );
        field("target", self.target.is_some(), !log, !log)?;
        let pauses = kind == FaultKind::VmPauses;
        field("for_ms", self.for_ms.is_some(), pauses, !lasting)?;
        let slow = kind == FaultKind::MinionSlow;
        field("factor", self.factor.is_some(), slow, slow)?;
        let late = kind == FaultKind::LogSlow;
        field("delay_ms", self.delay_ms.is_some(), late, late)?;
        let trims = kind == FaultKind::LogTrims;
        field("keep", self.keep.is_some(), trims, trims)?;
        let factor = self.factor.is_none_or(|f| f.is_finite() && f >= 0.0);
        check(factor, Kind::Range("factor"))?;
        let short = |span: Option<u64>| span.is_none_or(|ms| ms <= MAX_SPAN);
        check(short(self.for_ms), Kind::Range("for_ms"))?;
        check(short(self.delay_ms), Kind::Range("delay_ms"))
    }
}

impl Answers {
    fn list(self) -> Vec<Answer> {
        match self {
            Answers::One(answer) => vec![answer],
            Answers::Many(list) => list,
        }
    }
}

fn check(holds: bool, kind: Kind) -> Result<(), Kind> {
    holds.then_some(()).ok_or(kind)
}

fn field(name: &'static str, given: bool, needed: bool, allowed: bool) -> Result<(), Kind> {
    check(given || !needed, Kind::Missing(name))?;
    check(!given || allowed, Kind::Extra(name))
}
