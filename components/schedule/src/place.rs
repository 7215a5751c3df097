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
pub(crate) struct Rooms<'a> {
    /// The minions that may take work.
    open: Vec<Spot<'a>>,
}

/// A minion that may take work.
#[derive(Debug)]
struct Spot<'a> {
    /// The minion.
    minion: &'a Minion,
    /// Its free room.
    room: Resources,
    /// Names of steps placed in this round, for limits a minion.
    placed: u16,
}

impl<'a> Rooms<'a> {
    /// Collects the minions that may take work at `now`.
    pub fn new(minions: &'a HashMap<MinionId, Minion>, now: Timestamp) -> Rooms<'a> {
        let open = minions.values().filter(|m| m.open(now));
        let mut open: Vec<_> = open
            .map(|minion| Spot {
                minion,
                room: minion.room(),
                placed: 0,
            })
            .filter(|s| s.room.cpu.0 > 0)
            .collect();
        // The same events give the same starts, whatever the map's order.
        open.sort_by(|a, b| a.minion.info.id.cmp(&b.minion.info.id));
        Rooms { open }
    }

    /// Tells whether no minion has room at all.
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    /// Takes the best room for a task, and returns its minion.
    pub fn take(&mut self, step: &Step, service: &Service, tightness: f64) -> Option<MinionId> {
        let best = self
            .open
            .iter()
            .enumerate()
            .filter(|(_, s)| s.minion.info.service == *service)
            .filter(|(_, s)| step.need.fits(&s.room))
            .filter(|(_, s)| allowed(s, step))
            .min_by(|(_, a), (_, b)| cost(a, step, tightness).total_cmp(&cost(b, step, tightness)))
            .map(|(i, _)| i)?;
        let spot = &mut self.open[best];
        spot.room = spot.room.without(&step.need);
        spot.placed += 1;
        let id = spot.minion.info.id.clone();
        if spot.room.cpu.0 == 0 || spot.minion.health.probing {
            self.open.swap_remove(best);
        }
        Some(id)
    }
}

impl Rooms<'_> {
    /// Keeps the emptiest minion that can hold a blocked task out of this
    /// round, so that smaller tasks don't take its room for ever.
    pub fn reserve(&mut self, step: &Step, service: &Service) {
        let fit = self.open.iter().enumerate();
        let fit = fit
            .filter(|(_, s)| s.minion.info.service == *service)
            .filter(|(_, s)| step.need.fits(&s.minion.info.capacity) && allowed(s, step));
        let best = fit.max_by_key(|(_, s)| s.room.cpu).map(|(i, _)| i);
        if let Some(best) = best {
            self.open.swap_remove(best);
        }
    }
}

fn allowed(spot: &Spot<'_>, step: &Step) -> bool {
    let labels = &spot.minion.info.labels;
    let labelled = step.label.as_ref().is_none_or(|l| labels.contains(l));
    // Counts all runs there, which is stricter than those of the step.
    let here = spot.minion.runs.len() as u16 + spot.placed;
    labelled && step.spread.is_none_or(|most| here < most)
}

/// Best fit on the processor, as that is what runs short, then speed and rack.
fn cost(spot: &Spot<'_>, step: &Step, tightness: f64) -> f64 {
    let whole = f64::from(spot.minion.info.capacity.cpu.0.max(1));
    let left = f64::from(spot.room.cpu.0 - step.need.cpu.0) / whole;
    let labels = &spot.minion.info.labels;
    let far = step.rack.as_ref().is_some_and(|r| !labels.contains(r));
    let doubt = FAILURE_WEIGHT * f64::from(spot.minion.health.failures);
    let rack = if far { RACK_WEIGHT } else { 0.0 };
    let tight = ((tightness - TIGHT_FROM) / (1.0 - TIGHT_FROM)).clamp(0.0, 1.0);
    let weight = TIGHT_WEIGHT * tight - LOOSE_WEIGHT * (1.0 - tight);
    left + weight * spot.minion.health.pace + doubt + rack
}
