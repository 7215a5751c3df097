//! Mix of jobs that a load consists of.

use std::fmt;
use std::str::FromStr;

use kernel::{Millis, Service};

/// Kind of job in a mix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JobKind {
    /// Service that runs the tasks.
    pub service: Service,
    /// Number of tasks in the job.
    pub tasks: usize,
    /// Median run time of a task.
    pub run: Millis,
    /// Relative frequency within the mix.
    pub weight: u32,
}

/// Mix of jobs, written as a comma-separated list of
/// `service:tasks:run[:weight]`, such as `quote:3:200ms:5,tariff:1:50ms`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Mix {
    /// Kinds of job in the mix; never empty.
    kinds: Vec<JobKind>,
}

/// Reason why a text is not a valid mix.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MixError {
    /// A kind of job does not have the form `service:tasks:run[:weight]`.
    Form,
    /// The name of a service is malformed.
    Service,
    /// The number of tasks is not between 1 and the maximum per job.
    Tasks,
    /// The run time is not a duration.
    Run,
    /// The weight is not an integer above 0.
    Weight,
}

impl fmt::Display for MixError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            MixError::Form => write!(
                f,
                "expected service:tasks:run[:weight], separated by commas"
            ),
            MixError::Service => write!(f, "expected the name of a service"),
            MixError::Tasks => write!(f, "expected 1 to {} tasks", jobs::MAX_TASKS),
            MixError::Run => write!(f, "expected a run time such as 200ms or 1s"),
            MixError::Weight => write!(f, "expected a weight above 0"),
        }
    }
}

impl std::error::Error for MixError {}

impl FromStr for Mix {
    type Err = MixError;

    fn from_str(s: &str) -> Result<Mix, MixError> {
        let kinds = s.split(',').map(parse_kind).collect::<Result<_, _>>()?;
        Ok(Mix { kinds })
    }
}

fn parse_kind(s: &str) -> Result<JobKind, MixError> {
    let mut fields = s.trim().split(':');
    let (Some(service), Some(tasks), Some(run)) = (fields.next(), fields.next(), fields.next())
    else {
        return Err(MixError::Form);
    };
    let weight = fields.next().unwrap_or("1");
    if fields.next().is_some() {
        return Err(MixError::Form);
    }
    let kind = JobKind {
        service: service.parse().map_err(|_| MixError::Service)?,
        tasks: tasks.parse().map_err(|_| MixError::Tasks)?,
        run: run.parse().map_err(|_| MixError::Run)?,
        weight: weight.parse().map_err(|_| MixError::Weight)?,
    };
    if kind.tasks == 0 || kind.tasks > jobs::MAX_TASKS {
        return Err(MixError::Tasks);
    }
    match kind.weight {
        0 => Err(MixError::Weight),
        _ => Ok(kind),
    }
}

impl Mix {
    /// Returns the kind of job selected by a number. Uniformly distributed
    /// numbers select each kind in proportion to its weight.
    pub fn pick(&self, number: u64) -> &JobKind {
        let sum: u64 = self.kinds.iter().map(|p| u64::from(p.weight)).sum();
        let mut rest = number % sum;
        for kind in &self.kinds {
            let weight = u64::from(kind.weight);
            if rest < weight {
                return kind;
            }
            rest -= weight;
        }
        &self.kinds[0]
    }
}
