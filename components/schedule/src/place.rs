//! Choice of the minion for a task.

use kernel::{HashMap, MinionId, Service, Timestamp};

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

/// The minions that may take work in one placement round. It keeps their free
/// capacity, so that a round of many tasks sums each minion's runs only once.
#[derive(Debug)]
pub(crate) struct Candidates<'a> {
    /// Minions with free capacity.
    candidates: Vec<Candidate<'a>>,
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
            })
            .filter(|c| c.free.cpu.0 > 0)
            .collect();
        // Makes the result independent of the map's order: the same events give
        // the same starts.
        candidates.sort_by(|a, b| a.minion.info.id.cmp(&b.minion.info.id));
        Candidates { candidates }
    }

    /// Returns whether no minion has free capacity.
    pub fn is_empty(&self) -> bool {
        self.candidates.is_empty()
    }

    /// Assigns a task to the minion with the lowest cost and returns the
    /// minion's id, or `None` if the task fits nowhere.
    pub fn assign(&mut self, step: &Step, service: &Service, tightness: f64) -> Option<MinionId> {
        let best = self
            .candidates
            .iter()
            .enumerate()
            .filter(|(_, c)| c.minion.info.service == *service)
            .filter(|(_, c)| step.need.fits(&c.free))
            .filter(|(_, c)| permits(c, step))
            .min_by(|(_, a), (_, b)| cost(a, step, tightness).total_cmp(&cost(b, step, tightness)))
            .map(|(i, _)| i)?;
        let candidate = &mut self.candidates[best];
        candidate.free = candidate.free.without(&step.need);
        candidate.placed += 1;
        let id = candidate.minion.info.id.clone();
        if candidate.free.cpu.0 == 0 || candidate.minion.health.probing {
            self.candidates.swap_remove(best);
        }
        Some(id)
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

/// Returns the cost of running a task on the minion: best fit on the processor,
/// the scarcest resource, then speed, failures and rack.
fn cost(candidate: &Candidate<'_>, step: &Step, tightness: f64) -> f64 {
    let capacity = f64::from(candidate.minion.info.capacity.cpu.0.max(1));
    let left = f64::from(candidate.free.cpu.0 - step.need.cpu.0) / capacity;
    let labels = &candidate.minion.info.labels;
    let wrong_rack = step.rack.as_ref().is_some_and(|r| !labels.contains(r));
    let failures = FAILURE_WEIGHT * f64::from(candidate.minion.health.failures);
    let rack = if wrong_rack { RACK_WEIGHT } else { 0.0 };
    let tight = ((tightness - TIGHT_FROM) / (1.0 - TIGHT_FROM)).clamp(0.0, 1.0);
    let weight = TIGHT_WEIGHT * tight - LOOSE_WEIGHT * (1.0 - tight);
    left + weight * candidate.minion.health.pace + failures + rack
}
