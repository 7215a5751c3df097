//! The mix of jobs that a load consists of.

use std::fmt;
use std::str::FromStr;

use kernel::{Millis, Service};

/// One kind of job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Part {
    /// The service that runs its tasks.
    pub service: Service,
    /// How many tasks it has.
    pub tasks: usize,
    /// The median run time of a task.
    pub run: Millis,
    /// How often it comes, relative to the other parts.
    pub weight: u32,
}

/// A mix of jobs, written `service:tasks:run[:weight]` with commas between the
/// parts, such as `quote:3:200ms:5,tariff:1:50ms`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Mix {
    /// The parts; at least one.
    parts: Vec<Part>,
}

/// Why a text is no mix.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MixError {
    /// A part has not the form `service:tasks:run[:weight]`.
    Form,
    /// A service's name is malformed.
    Service,
    /// The number of tasks is not from 1 to the most that a job may have.
    Tasks,
    /// The run time is no length of time.
    Run,
    /// The weight is not a whole number above 0.
    Weight,
}

impl fmt::Display for MixError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            MixError::Form => write!(
                f,
                "expected service:tasks:run[:weight], with commas between"
            ),
            MixError::Service => write!(f, "expected a service's name"),
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
        let parts = s.split(',').map(part).collect::<Result<_, _>>()?;
        Ok(Mix { parts })
    }
}

fn part(s: &str) -> Result<Part, MixError> {
    let mut fields = s.trim().split(':');
    let (Some(service), Some(tasks), Some(run)) = (fields.next(), fields.next(), fields.next())
    else {
        return Err(MixError::Form);
    };
    let weight = fields.next().unwrap_or("1");
    if fields.next().is_some() {
        return Err(MixError::Form);
    }
    let part = Part {
        service: service.parse().map_err(|_| MixError::Service)?,
        tasks: tasks.parse().map_err(|_| MixError::Tasks)?,
        run: run.parse().map_err(|_| MixError::Run)?,
        weight: weight.parse().map_err(|_| MixError::Weight)?,
    };
    if part.tasks == 0 || part.tasks > jobs::MAX_TASKS {
        return Err(MixError::Tasks);
    }
    match part.weight {
        0 => Err(MixError::Weight),
        _ => Ok(part),
    }
}

impl Mix {
    /// Returns the part that a number picks, every part as often as its weight
    /// says when the numbers are spread evenly.
    pub fn pick(&self, number: u64) -> &Part {
        let sum: u64 = self.parts.iter().map(|p| u64::from(p.weight)).sum();
        let mut left = number % sum;
        for part in &self.parts {
            let weight = u64::from(part.weight);
            if left < weight {
                return part;
            }
            left -= weight;
        }
        &self.parts[0]
    }
}
