//! Counts of losses by cause and by what the jobs have in common.

use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;

use compact_str::{CompactString, format_compact};

use crate::account::Account;
use crate::cause::{Cause, Finding, find_cause};
use crate::job::JobTrace;
use crate::time::{WallMillis, Window};

/// What jobs are grouped by.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Breakdown {
    /// The queue.
    Queue,
    /// The failure domain of the VM that took the job.
    Domain,
    /// The number of tasks.
    Width,
    /// The shard that ran or refused the job last.
    Shard,
    /// The time at which the job was received.
    Time,
}

/// Error of a name that no breakdown has.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UnknownBreakdown;

impl fmt::Display for UnknownBreakdown {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("expected queue, domain, width, shard or time")
    }
}

impl std::error::Error for UnknownBreakdown {}

impl FromStr for Breakdown {
    type Err = UnknownBreakdown;

    fn from_str(text: &str) -> Result<Breakdown, UnknownBreakdown> {
        match text {
            "queue" => Ok(Breakdown::Queue),
            "domain" => Ok(Breakdown::Domain),
            "width" => Ok(Breakdown::Width),
            "shard" => Ok(Breakdown::Shard),
            "time" => Ok(Breakdown::Time),
            _ => Err(UnknownBreakdown),
        }
    }
}

impl fmt::Display for Breakdown {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Breakdown::Queue => "queue",
            Breakdown::Domain => "domain",
            Breakdown::Width => "width",
            Breakdown::Shard => "shard",
            Breakdown::Time => "time",
        })
    }
}

/// Numbers of jobs by what became of them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Totals {
    /// All jobs.
    pub jobs: u64,
    /// Served within their objective.
    pub served: u64,
    /// Answered with a result, but late.
    pub late: u64,
    /// Not answered with a result.
    pub lost: u64,
    /// Not ended when the lines end.
    pub open: u64,
}

impl Totals {
    fn add(&mut self, finding: &Finding) {
        self.jobs += 1;
        match finding {
            Finding::Served => self.served += 1,
            Finding::Late(..) => self.late += 1,
            Finding::NotServed(..) => self.lost += 1,
            Finding::Open => self.open += 1,
        }
    }
}

/// The losses of one cause.
#[derive(Debug, Clone, Default)]
pub struct Row {
    /// Jobs that were late.
    pub late: u64,
    /// Jobs without a result.
    pub lost: u64,
    /// Id of one of them, with the figures behind its cause.
    pub example: (CompactString, String),
}

/// The losses of a site by cause.
#[derive(Debug, Clone)]
pub struct Losses {
    /// Numbers of all jobs.
    pub totals: Totals,
    /// Losses by cause.
    pub rows: BTreeMap<Cause, Row>,
    /// Jobs and losses by group.
    pub groups: BTreeMap<CompactString, (Totals, BTreeMap<Cause, u64>)>,
}

impl Losses {
    /// Counts the losses of all jobs, grouped by `by`.
    pub fn count(account: &Account, by: Breakdown, window: Window) -> Losses {
        let mut losses = Losses {
            totals: Totals::default(),
            rows: BTreeMap::new(),
            groups: BTreeMap::new(),
        };
        for (id, job) in &account.jobs {
            let finding = find_cause(account, job);
            losses.totals.add(&finding);
            let key = group(account, job, by, window);
            let (totals, causes) = losses.groups.entry(key).or_default();
            totals.add(&finding);
            let Some((cause, why)) = finding.cause() else {
                continue;
            };
            *causes.entry(cause).or_default() += 1;
            let row = losses.rows.entry(cause).or_default();
            row.late += u64::from(matches!(finding, Finding::Late(..)));
            row.lost += u64::from(matches!(finding, Finding::NotServed(..)));
            // The smallest id, so that equal files give equal tables.
            if row.example.0.is_empty() || *id < row.example.0 {
                row.example = (id.clone(), why.into());
            }
        }
        losses
    }

    /// Returns the share of the losses that have a cause, 1 without losses.
    pub fn explained(&self) -> f64 {
        let lost = self.totals.late + self.totals.lost;
        let unknown = self
            .rows
            .get(&Cause::Unknown)
            .map_or(0, |r| r.late + r.lost);
        match lost {
            0 => 1.0,
            lost => 1.0 - unknown as f64 / lost as f64,
        }
    }
}

impl fmt::Display for Losses {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let totals = &self.totals;
        writeln!(
            f,
            "{} jobs: {} in time, {} late, {} not served, {} open; {:.1}% of the losses explained\n",
            totals.jobs,
            totals.served,
            totals.late,
            totals.lost,
            totals.open,
            100.0 * self.explained()
        )?;
        writeln!(
            f,
            "{:<23}{:>8}{:>12}  example",
            "cause", "late", "not served"
        )?;
        let mut rows: Vec<_> = self.rows.iter().collect();
        rows.sort_by_key(|(cause, row)| (std::cmp::Reverse(row.late + row.lost), **cause));
        for (cause, row) in rows {
            let (id, why) = &row.example;
            writeln!(f, "{cause:<23}{:>8}{:>12}  {id} {why}", row.late, row.lost)?;
        }
        writeln!(f, "\n{:<24}{:>7}{:>9}  causes", "group", "jobs", "in time")?;
        for (key, (totals, causes)) in &self.groups {
            let share = totals.served as f64 / totals.jobs.max(1) as f64;
            let causes = causes.iter().map(|(cause, n)| format!("{cause} {n}"));
            let causes: Vec<_> = causes.collect();
            writeln!(
                f,
                "{key:<24}{:>7}{share:>9.3}  {}",
                totals.jobs,
                causes.join(", ")
            )?;
        }
        Ok(())
    }
}

/// Returns the name of the group that a job belongs to.
fn group(account: &Account, job: &JobTrace, by: Breakdown, window: Window) -> CompactString {
    let name = |id| CompactString::from(account.names.get(id));
    let unknown = || CompactString::const_new("unknown");
    let received = job.received;
    match by {
        Breakdown::Queue => received.map_or_else(unknown, |r| name(r.queue)),
        Breakdown::Domain => {
            let domain = received.and_then(|r| account.site.domain(r.vm));
            domain.map_or_else(unknown, CompactString::from)
        }
        Breakdown::Width => match received.map_or(0, |r| r.tasks) {
            0 => unknown(),
            1 => "1 task".into(),
            n => {
                let low = 1_u32 << n.ilog2();
                format_compact!("{low:>3} to {} tasks", low * 2 - 1)
            }
        },
        Breakdown::Shard => {
            let refused = job.refusals.last().map(|r| r.shard);
            let shard = job.ended.map(|e| e.shard).or(refused);
            shard.map_or_else(unknown, name)
        }
        Breakdown::Time => received.map_or_else(unknown, |r| {
            let start = account.site.first.unwrap_or(WallMillis(0));
            let at = window.of(r.at, start);
            format_compact!("{:>8.1} s", at as f64 / 1_000.0)
        }),
    }
}
