//! Choice of the minion for a task.

use kernel::{HashMap, MinionId, Service, Timestamp};

use crate::forecast::{Forecast, TaskForecast};
use crate::job::Step;
use crate::minion::Minion;
use crate::resources::Resources;

/// Cost of a minion that takes twice the time, for a job without slack. The
/// unit of cost is a minion's whole processor left free.
const TIGHT_WEIGHT: f64 = 3.0;

/// Bonus of a minion that takes twice the time, for a job with slack: it leaves
/// fast minions to other jobs.
const LOOSE_WEIGHT: f64 = 1.0;

/// Tightness from which a job's slack starts to count as short.
const TIGHT_FROM: f64 = 0.6;

/// Cost of a minion in another rack than the data.
const RACK_WEIGHT: f64 = 0.5;

/// Cost of each failure since the last successful run, high enough that such a
/// minion is used only when no other has free capacity.
const FAILURE_WEIGHT: f64 = 2.0;

/// Cost of a task that is certainly late, in whole processors left free: a tenth
/// more risk weighs as much as the largest difference in fit.
const LATE_WEIGHT: f64 = 10.0;

/// Cost of the slowest kind for a task that is late on any kind. It is as much as
/// the largest difference in fit, and less than fast room costs when it is scarce.
const DELAY_WEIGHT: f64 = 1.0;

/// Risk that a wait for a kind without room must spare a task. The expected wait
/// may be wrong, and the room that is free stays idle meanwhile.
const WAIT_GAIN: f64 = 0.05;

/// The minions that may take work in one placement round. It keeps their free
/// capacity, so that a round of many tasks sums each minion's runs only once.
#[derive(Debug)]
pub(crate) struct Candidates<'a> {
    /// Minions with free capacity.
    candidates: Vec<Candidate<'a>>,
    /// Capacity of each kind of minion; empty unless kinds differ in speed.
    rooms: Vec<Room<'a>>,
}

/// Choice for a task by its predicted end.
#[derive(Debug)]
pub(crate) enum Choice {
    /// It starts on the minion, with this risk.
    Start(MinionId, f64),
    /// It waits, as it ends sooner on a minion of a kind that is full.
    Wait,
    /// It fits nowhere.
    Full,
}

/// State of the minions of a kind.
#[derive(Debug, Clone, Default)]
struct Room<'a> {
    /// Free capacity in thousandths of a core.
    free: f64,
    /// Total capacity in thousandths of a core.
    total: f64,
    /// Number of runs.
    runs: u32,
    /// Sum of the expected times of the runs, in milliseconds.
    run_ms: f64,
    /// Number of tasks that wait for the kind in this round.
    waiting: u32,
    /// One of the minions.
    sample: Option<&'a Minion>,
}

impl Room<'_> {
    fn used(&self) -> f64 {
        1.0 - self.free / self.total.max(1.0)
    }

    /// Returns the expected time until room for another task is free, if a task of
    /// the step can run on the kind at all.
    fn wait(&self, step: &Step, service: &Service) -> Option<f64> {
        let minion = self.sample.filter(|_| self.runs > 0)?;
        let labelled = step.label.as_ref();
        let fits = minion.info.service == *service
            && step.need.fits(&minion.info.capacity)
            && labelled.is_none_or(|l| minion.info.labels.contains(l));
        let runs = f64::from(self.runs);
        let mean = self.run_ms / runs;
        fits.then(|| f64::from(self.waiting + 1) * mean / runs)
    }
}

/// A minion that may take work in this round.
#[derive(Debug)]
struct Candidate<'a> {
    /// State of the minion.
    minion: &'a Minion,
    /// Free capacity after the tasks placed in this round.
    free: Resources,
    /// Number of tasks placed on the minion in this round, for
    /// [`Step::spread`].
    placed: u16,
    /// Index of the minion's kind in the forecast.
    kind: usize,
    /// Logarithm of the minion's run times relative to its kind.
    pace: f64,
}

impl Candidate<'_> {
    /// Returns whether nothing is or will be running on the minion.
    fn is_idle(&self) -> bool {
        self.minion.runs.is_empty() && self.placed == 0
    }
}

impl<'a> Candidates<'a> {
    /// Returns the minions that may take work at `now`.
    pub fn new(minions: &'a HashMap<MinionId, Minion>, now: Timestamp) -> Candidates<'a> {
        let candidates = minions.values().filter(|m| m.accepts_work(now));
        let mut candidates: Vec<_> = candidates
            .map(|minion| Candidate {
                minion,
                free: minion.free_capacity(),
                placed: 0,
                kind: 0,
                pace: 0.0,
            })
            .filter(|c| c.free.cpu.0 > 0)
            .collect();
        // Makes the result independent of the map's order: the same events give
        // the same starts.
        candidates.sort_by(|a, b| a.minion.info.id.cmp(&b.minion.info.id));
        Candidates {
            candidates,
            rooms: Vec::new(),
        }
    }

    /// Prepares the choice by predicted end for fleets of uneven kinds.
    pub fn use_forecast(
        &mut self,
        minions: &'a HashMap<MinionId, Minion>,
        forecast: &Forecast<'_>,
        now: Timestamp,
    ) {
        self.rooms = vec![Room::default(); forecast.kind_count()];
        for minion in minions.values().filter(|m| m.accepts_work(now)) {
            if let Some(room) = self.rooms.get_mut(forecast.kind_index(minion)) {
                room.total += f64::from(minion.info.capacity.cpu.0);
                room.free += f64::from(minion.free_capacity().cpu.0);
                room.runs += minion.runs.len() as u32;
                let times = minion.runs.iter().map(|r| r.expected.0 as f64);
                room.run_ms += times.sum::<f64>();
                room.sample = Some(minion);
            }
        }
        for candidate in &mut self.candidates {
            candidate.kind = forecast.kind_index(candidate.minion);
            candidate.pace = candidate.minion.pace.log();
        }
    }

    /// Returns whether no minion has free capacity.
    pub fn is_empty(&self) -> bool {
        self.candidates.is_empty()
    }

    /// Assigns a task to the minion with the lowest cost and returns the
    /// minion's id, or `None` if the task fits nowhere.
    pub fn assign(
        &mut self,
        step: &Step,
        service: &Service,
        tightness: f64,
        alone: bool,
    ) -> Option<MinionId> {
        let best = self
            .candidates
            .iter()
            .enumerate()
            .filter(|(_, c)| !alone || c.is_idle())
            .filter(|(_, c)| c.minion.info.service == *service)
            .filter(|(_, c)| step.need.fits(&c.free))
            .filter(|(_, c)| permits(c, step))
            .min_by(|(_, a), (_, b)| cost(a, step, tightness).total_cmp(&cost(b, step, tightness)))
            .map(|(i, _)| i)?;
        Some(self.take(best, step, alone))
    }

    /// Assigns a task to the minion with the lowest cost by its predicted end, or
    /// lets it wait for a kind that is full where it still ends sooner.
    pub fn assign_by_end(
        &mut self,
        step: &Step,
        service: &Service,
        task: &TaskForecast<'_>,
        alone: bool,
    ) -> Choice {
        let prices = task.prices(self.rooms.iter().map(Room::used));
        let kind_costs = prices.zip(task.delays());
        let kind_costs: Vec<_> = kind_costs
            .map(|(price, delay)| LATE_WEIGHT * price + DELAY_WEIGHT * delay)
            .collect();
        let end_cost = |c: &Candidate<'_>| {
            let risk = task.stake * task.risk(c.kind, c.pace, 0.0);
            LATE_WEIGHT * risk + kind_costs.get(c.kind).unwrap_or(&0.0) + fit_cost(c, step)
        };
        let fits = self.candidates.iter().enumerate();
        let fits = fits
            .filter(|(_, c)| !alone || c.is_idle())
            .filter(|(_, c)| c.minion.info.service == *service)
            .filter(|(_, c)| step.need.fits(&c.free))
            .filter(|(_, c)| permits(c, step));
        let costs = fits.map(|(i, c)| (i, end_cost(c)));
        let Some((best, _)) = costs.min_by(|(_, a), (_, b)| a.total_cmp(b)) else {
            return Choice::Full;
        };
        let candidate = &self.candidates[best];
        let (kind, risk) = (
            candidate.kind,
            task.risk(candidate.kind, candidate.pace, 0.0),
        );
        if let Some(better) = self.worth_waiting(step, service, task, risk) {
            self.rooms[better].waiting += 1;
            return Choice::Wait;
        }
        if let Some(room) = self.rooms.get_mut(kind) {
            room.free -= f64::from(step.need.cpu.0);
        }
        Choice::Start(self.take(best, step, alone), risk)
    }

    /// Returns the kind without room for which a task should wait, because its
    /// risk there is lower than `risk` even after the wait.
    fn worth_waiting(
        &self,
        step: &Step,
        service: &Service,
        task: &TaskForecast<'_>,
        risk: f64,
    ) -> Option<usize> {
        let full = |room: &Room<'_>| room.free < f64::from(step.need.cpu.0);
        let rooms = self.rooms.iter().enumerate().filter(|(_, room)| full(room));
        let saved = rooms.filter_map(|(kind, room)| {
            let later = task.risk(kind, 0.0, room.wait(step, service)?);
            Some((kind, task.stake * (risk - later)))
        });
        let (kind, saved) = saved.max_by(|(_, a), (_, b)| a.total_cmp(b))?;
        (saved > WAIT_GAIN.max(task.mean_gain())).then_some(kind)
    }

    /// Adds a task to a candidate and returns the minion's id. The minion gets
    /// nothing else if the task runs alone.
    fn take(&mut self, best: usize, step: &Step, alone: bool) -> MinionId {
        let candidate = &mut self.candidates[best];
        candidate.free = candidate.free.without(&step.need);
        candidate.placed += 1;
        let id = candidate.minion.info.id.clone();
        if alone || candidate.free.cpu.0 == 0 || candidate.minion.health.probing {
            self.candidates.swap_remove(best);
        }
        id
    }
}

impl Candidates<'_> {
    /// Removes the minion with the most free processor among those that can
    /// hold a blocked task from this round, so that smaller tasks don't take
    /// its capacity forever.
    pub fn reserve(&mut self, step: &Step, service: &Service) {
        let fit = self.candidates.iter().enumerate();
        let fit = fit
            .filter(|(_, c)| c.minion.info.service == *service)
            .filter(|(_, c)| step.need.fits(&c.minion.info.capacity) && permits(c, step));
        let best = fit.max_by_key(|(_, c)| c.free.cpu).map(|(i, _)| i);
        if let Some(best) = best {
            self.candidates.swap_remove(best);
        }
    }
}

fn permits(candidate: &Candidate<'_>, step: &Step) -> bool {
    let labels = &candidate.minion.info.labels;
    let labelled = step.label.as_ref().is_none_or(|l| labels.contains(l));
    // Counts all runs on the minion, which is stricter than counting those of
    // the step.
    let here = candidate.minion.runs.len() as u16 + candidate.placed;
    labelled && step.spread.is_none_or(|max| here < max)
}

/// Returns the cost of running a task on the minion: fit, then speed.
fn cost(candidate: &Candidate<'_>, step: &Step, tightness: f64) -> f64 {
    let tight = ((tightness - TIGHT_FROM) / (1.0 - TIGHT_FROM)).clamp(0.0, 1.0);
    let weight = TIGHT_WEIGHT * tight - LOOSE_WEIGHT * (1.0 - tight);
    fit_cost(candidate, step) + weight * candidate.minion.health.pace
}

/// Returns the cost apart from speed: best fit on the processor, the scarcest
/// resource, then failures and rack.
fn fit_cost(candidate: &Candidate<'_>, step: &Step) -> f64 {
    let capacity = f64::from(candidate.minion.info.capacity.cpu.0.max(1));
    let left = f64::from(candidate.free.cpu.0 - step.need.cpu.0) / capacity;
    let labels = &candidate.minion.info.labels;
    let wrong_rack = step.rack.as_ref().is_some_and(|r| !labels.contains(r));
    let failures = FAILURE_WEIGHT * f64::from(candidate.minion.health.failures);
    let rack = if wrong_rack { RACK_WEIGHT } else { 0.0 };
    left + failures + rack
}
