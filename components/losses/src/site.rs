//! What the lines say of VMs and shards over time.

use compact_str::CompactString;
use kernel::HashMap;

use crate::job::NameId;
use crate::time::WallMillis;

/// Time in milliseconds without a line after which a VM whose log ends before the
/// others' counts as lost. VMs write a line every five seconds.
const SILENT_MS: u64 = 6_000;

/// Largest age in milliseconds of a shard's room that is compared with a
/// refusal elsewhere.
const MAX_ROOM_AGE_MS: u64 = 300;

/// An interval without a VM's process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outage {
    /// The VM.
    pub vm: NameId,
    /// Time of its last line before.
    pub from: WallMillis,
    /// Time of its next start, if it has started again.
    pub until: Option<WallMillis>,
    /// Whether the VM was stopped as planned.
    pub planned: bool,
}

/// The lines of a VM that tell about its process.
#[derive(Debug, Clone, Default)]
struct VmTrace {
    domain: Option<CompactString>,
    /// Times of starts, each with the last line before it.
    starts: Vec<(WallMillis, WallMillis)>,
    /// Times at which a planned stop began.
    stops: Vec<WallMillis>,
    /// Time of the last line.
    last: WallMillis,
}

/// The VMs and shards of a site, as far as lines mention them.
#[derive(Debug, Clone, Default)]
pub struct Site {
    vms: HashMap<NameId, VmTrace>,
    /// Free cores by shard and time that tasks could use.
    room: HashMap<NameId, Vec<(WallMillis, f32)>>,
    /// Time of the first line of all.
    pub first: Option<WallMillis>,
    /// Time of the last line of all.
    pub last: WallMillis,
}

impl Site {
    /// Records that a VM wrote a line.
    pub fn saw(&mut self, vm: NameId, at: WallMillis) {
        let trace = self.vms.entry(vm).or_default();
        trace.last = trace.last.max(at);
        self.last = self.last.max(at);
        self.first = Some(self.first.map_or(at, |first| first.min(at)));
    }

    /// Records that a VM's process has started.
    pub fn started(&mut self, vm: NameId, domain: Option<&str>, at: WallMillis) {
        let trace = self.vms.entry(vm).or_default();
        trace.starts.push((at, trace.last));
        trace.domain = domain.map(CompactString::from).or(trace.domain.take());
    }

    /// Records that a planned stop of a VM has begun.
    pub fn stopping(&mut self, vm: NameId, at: WallMillis) {
        self.vms.entry(vm).or_default().stops.push(at);
    }

    /// Records the cores of a shard that tasks could use.
    pub fn has_room(&mut self, shard: NameId, at: WallMillis, cores: f32) {
        self.room.entry(shard).or_default().push((at, cores));
    }

    /// Brings the figures into the order of their times, as files may be read in any
    /// order.
    pub fn sort(&mut self) {
        for series in self.room.values_mut() {
            series.sort_by_key(|(at, _)| *at);
        }
    }

    /// Returns the failure domain of a VM.
    pub fn domain(&self, vm: NameId) -> Option<&str> {
        self.vms.get(&vm)?.domain.as_deref()
    }

    /// Returns all intervals without a VM's process.
    pub fn outages(&self) -> Vec<Outage> {
        let mut found = Vec::new();
        for (vm, trace) in &self.vms {
            let outage = |from: WallMillis, until: Option<WallMillis>| {
                let planned = |stop: &WallMillis| from.since(*stop) < SILENT_MS && *stop <= from;
                Outage {
                    vm: *vm,
                    from,
                    until,
                    planned: trace.stops.iter().any(planned),
                }
            };
            for (start, before) in &trace.starts {
                if *before > WallMillis(0) {
                    found.push(outage(*before, Some(*start)));
                }
            }
            if self.last.since(trace.last) > SILENT_MS {
                found.push(outage(trace.last, None));
            }
        }
        found.sort_by_key(|o| (o.from, o.vm));
        found
    }

    /// Returns the outage of a VM during which, or after whose beginning, a job that
    /// was received at `at` and had `patience` milliseconds could not be answered.
    pub fn outage_of(&self, vm: NameId, at: WallMillis, patience: u64) -> Option<Outage> {
        let within = |o: &Outage| o.vm == vm && o.from >= at && o.from.since(at) <= patience;
        self.outages().into_iter().find(within)
    }

    /// Returns the shard other than `not` with the most room at a time, with
    /// these and the age of the figure.
    pub fn most_room(&self, not: NameId, at: WallMillis) -> Option<(NameId, f32, u64)> {
        let others = self.room.iter().filter(|(shard, _)| **shard != not);
        let recent = others.filter_map(|(shard, series)| {
            let after = series.partition_point(|(time, _)| *time <= at);
            let (time, free) = *series.get(after.checked_sub(1)?)?;
            let age = at.since(time);
            (age <= MAX_ROOM_AGE_MS).then_some((*shard, free, age))
        });
        recent.max_by(|(a, x, _), (b, y, _)| x.total_cmp(y).then(b.cmp(a)))
    }

    /// Returns the room of all shards at a time, by the last figure of each.
    pub fn room_at(&self, at: WallMillis) -> f64 {
        let last = |series: &Vec<(WallMillis, f32)>| {
            let after = series.partition_point(|(time, _)| *time <= at);
            after.checked_sub(1).map(|i| f64::from(series[i].1))
        };
        self.room.values().filter_map(last).sum()
    }
}
