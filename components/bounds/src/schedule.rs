//! A schedule made with full knowledge of arrivals and run times.
//!
//! Jobs are taken one after another, in several orders, and each is put into the gaps
//! that the earlier ones left, whole or not at all. The best order counts. It is a
//! schedule that exists, so the optimum is at least as good.

use crate::{Demand, Room};

/// A run in a minion's schedule.
#[derive(Debug, Clone, Copy)]
struct Run {
    start: u64,
    end: u64,
    cores: f64,
}

/// The runs of a minion, in the order of their starts.
#[derive(Debug, Clone)]
struct Timeline {
    room: Room,
    runs: Vec<Run>,
    /// Duration of the longest run.
    longest: u64,
}

impl Timeline {
    fn new(room: Room) -> Timeline {
        Timeline {
            room,
            runs: Vec::new(),
            longest: 0,
        }
    }

    /// Returns the runs that overlap an interval.
    fn overlapping(&self, from: u64, to: u64) -> impl Iterator<Item = &Run> {
        let first = from.saturating_sub(self.longest);
        let first = self.runs.partition_point(|r| r.start < first);
        let last = self.runs.partition_point(|r| r.start < to);
        self.runs[first..last].iter().filter(move |r| r.end > from)
    }

    /// Returns the earliest end of a task within its job's window.
    fn earliest_end(&self, demand: &Demand) -> Option<u64> {
        let span = self.span(demand);
        let latest = demand.due.0.checked_sub(span)?;
        let window = self.overlapping(demand.arrival.0, demand.due.0);
        let ends = window.map(|r| r.end);
        let mut starts: Vec<u64> = ends.chain([demand.arrival.0]).collect();
        starts.retain(|s| (demand.arrival.0..=latest).contains(s));
        starts.sort_unstable();
        let fits = |start: &u64| self.fits(*start, *start + span, demand.cores);
        starts.into_iter().find(fits).map(|start| start + span)
    }

    /// Returns whether the cores are free throughout an interval.
    fn fits(&self, from: u64, to: u64, cores: f64) -> bool {
        let used_at = |at: u64| -> f64 {
            let running = self.overlapping(at, at + 1);
            running.map(|r| r.cores).sum()
        };
        let begins = self.overlapping(from, to).map(|r| r.start.max(from));
        let mut begins = begins.chain([from]);
        begins.all(|at| used_at(at) + cores <= self.room.cores)
    }

    fn span(&self, demand: &Demand) -> u64 {
        (demand.run.0 as f64 / self.room.speed).ceil().max(1.0) as u64
    }

    fn add(&mut self, end: u64, demand: &Demand) {
        let span = self.span(demand);
        let run = Run {
            start: end - span,
            end,
            cores: demand.cores,
        };
        let at = self.runs.partition_point(|r| r.start <= run.start);
        self.runs.insert(at, run);
        self.longest = self.longest.max(span);
    }

    fn remove(&mut self, end: u64, demand: &Demand) {
        let start = end - self.span(demand);
        let same = |r: &Run| r.start == start && r.end == end && r.cores == demand.cores;
        if let Some(at) = self.runs.iter().position(same) {
            self.runs.remove(at);
        }
    }
}

/// Puts all tasks of a job into the schedule, or none. Returns whether they fit.
fn insert(timelines: &mut [Timeline], demand: &Demand) -> bool {
    let mut placed: Vec<(u64, usize)> = Vec::new();
    for _ in 0..demand.tasks {
        let ends = timelines.iter().enumerate();
        let ends = ends.filter_map(|(i, t)| Some((t.earliest_end(demand)?, i)));
        let Some((end, on)) = ends.min() else {
            for (end, on) in placed {
                timelines[on].remove(end, demand);
            }
            return false;
        };
        timelines[on].add(end, demand);
        placed.push((end, on));
    }
    true
}

/// Returns the share of the requested work that ends in time in the best schedule
/// found.
pub fn offline(demands: &[Demand], minions: &[Room]) -> f64 {
    let total: f64 = demands.iter().map(Demand::work).sum();
    if total == 0.0 {
        return 1.0;
    }
    type Key = fn(&Demand) -> u64;
    let orders: [Key; 4] = [
        |d| d.due.0,
        |d| d.arrival.0,
        |d| d.due.0.saturating_sub(d.arrival.0),
        // The work that is done for each millisecond of the window.
        |d| u64::MAX - (d.work() / d.due.0.saturating_sub(d.arrival.0).max(1) as f64) as u64,
    ];
    let work = orders.into_iter().map(|order| {
        let mut sorted = demands.to_vec();
        sorted.sort_by_key(order);
        let mut timelines: Vec<_> = minions.iter().map(|m| Timeline::new(*m)).collect();
        let served = sorted.iter().filter(|d| insert(&mut timelines, d));
        served.map(Demand::work).sum::<f64>()
    });
    work.fold(0.0, f64::max) / total
}
