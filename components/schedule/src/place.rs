//! On which minion a task runs.

use kernel::{HashMap, MinionId, Service, Timestamp};

use crate::job::Step;
use crate::minion::Minion;
use crate::resources::Resources;

/// What a minion that takes twice the time costs a job without time to spare,
/// in parts of a minion's processor left over.
const TIGHT_WEIGHT: f64 = 3.0;

/// What it gains a job with time to spare, which leaves fast minions to the
/// others.
const LOOSE_WEIGHT: f64 = 1.0;

/// The part of its time left that a job needs from which on it counts as tight.
const TIGHT_FROM: f64 = 0.6;

/// What the wrong rack costs, on the same scale.
const RACK_WEIGHT: f64 = 0.5;

/// What each failure since the last good end costs, on the same scale: such a
/// minion is used only when no other has room.
const FAILURE_WEIGHT: f64 = 2.0;

/// A minion's free room in this round, so that a round of many tasks sums each
/// minion's runs only once.
#[derive(Debug)]
pub(crate) struct Candidates<'a> {
    /// The minions that may take work.
    candidates: Vec<Candidate<'a>>,
}

/// A minion that may take work.
#[derive(Debug)]
struct Candidate<'a> {
    /// The minion.
    minion: &'a Minion,
    /// Its free room.
    free: Resources,
    /// Names of steps placed in this round, for limits a minion.
    placed: u16,
}

impl<'a> Candidates<'a> {
    /// Collects the minions that may take work at `now`.
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
        // The same events give the same starts, whatever the map's order.
        candidates.sort_by(|a, b| a.minion.info.id.cmp(&b.minion.info.id));
        Candidates { candidates }
    }

    /// Tells whether no minion has room at all.
    pub fn is_empty(&self) -> bool {
        self.candidates.is_empty()
    }

    /// Takes the best room for a task, and returns its minion.
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
    /// Keeps the emptiest minion that can hold a blocked task out of this
    /// round, so that smaller tasks don't take its room for ever.
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
    // Counts all runs there, which is stricter than those of the step.
    let here = candidate.minion.runs.len() as u16 + candidate.placed;
    labelled && step.spread.is_none_or(|max| here < max)
}

/// Best fit on the processor, as that is what runs short, then speed and rack.
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
