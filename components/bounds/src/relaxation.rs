//! An upper bound on the work that can end in time.
//!
//! Relaxation: tasks can be split, moved and run at any rate, and all minions are one.
//! Work of jobs whose windows from arrival to due time lie within an interval can't
//! exceed what the minions do in that interval. For windows on a line this condition is
//! also sufficient, and the amounts of work that satisfy it form a polymatroid, so that
//! admitting as much as possible of one job after another reaches the maximum.

use crate::{Demand, Room};

/// Length of the slices of time in milliseconds. Arrivals are rounded down and due
/// times up, which only raises the bound.
const SLICE_MS: u64 = 50;

/// Work admitted so far by interval of slices.
struct Admitted {
    slices: usize,
    /// Work of the jobs within the slices from the first index up to the second.
    within: Vec<f64>,
    /// Work that the minions do in a slice.
    rate: f64,
}

impl Admitted {
    fn new(slices: usize, rate: f64) -> Admitted {
        Admitted {
            slices,
            within: vec![0.0; slices * slices],
            rate,
        }
    }

    /// Admits as much as possible of the work of a job with the window from slice
    /// `first` to slice `last`, and returns that amount.
    fn add(&mut self, first: usize, last: usize, work: f64) -> f64 {
        let mut room = work;
        for from in 0..=first {
            for to in last..self.slices {
                let capacity = (to - from + 1) as f64 * self.rate;
                room = room.min(capacity - self.within[from * self.slices + to]);
            }
        }
        let room = room.max(0.0);
        for from in 0..=first {
            for to in last..self.slices {
                self.within[from * self.slices + to] += room;
            }
        }
        room
    }
}

/// Returns an upper bound on the share of the requested work that can end in time, for
/// a load that ends within some minutes.
pub fn upper_bound(demands: &[Demand], minions: &[Room]) -> f64 {
    let total: f64 = demands.iter().map(Demand::work).sum();
    if total == 0.0 {
        return 1.0;
    }
    let by_cores = admit(demands, minions, |room| room.cores, |_| 1.0);
    // A minion holds whole tasks only: one of three and a half tasks holds three.
    let least = demands
        .iter()
        .map(|d| d.cores)
        .fold(f64::INFINITY, f64::min);
    let slots = |room: &Room| (room.cores / least).floor();
    let by_slots = admit(demands, minions, slots, |demand| demand.cores);
    by_cores.min(by_slots) / total
}

/// Admits jobs while minions do `rate` units of work at once at speed 1. A unit of a
/// job's work is worth `value` core milliseconds.
fn admit(
    demands: &[Demand],
    minions: &[Room],
    rate: impl Fn(&Room) -> f64,
    value: impl Fn(&Demand) -> f64,
) -> f64 {
    let fastest = minions.iter().map(|m| m.speed).fold(0.0, f64::max);
    let rate: f64 = minions.iter().map(|m| rate(m) * m.speed).sum();
    let end = demands.iter().map(|d| d.due.0).max().unwrap_or(0);
    let start = demands.iter().map(|d| d.arrival.0).min().unwrap_or(0);
    let slice = |at: u64| ((at - start) / SLICE_MS) as usize;
    let mut admitted = Admitted::new(slice(end) + 1, rate * SLICE_MS as f64);
    let mut possible: Vec<_> = demands.iter().filter(|d| d.fits(fastest)).collect();
    possible.sort_by(|a, b| value(b).total_cmp(&value(a)));
    let mut sum = 0.0;
    for demand in possible {
        let units = demand.work() / value(demand);
        let (first, last) = (slice(demand.arrival.0), slice(demand.due.0));
        sum += admitted.add(first, last, units) * value(demand);
    }
    sum
}
