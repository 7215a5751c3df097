//! Filter for events, written as the query of an HTTP request.

use std::fmt;
use std::str::FromStr;

use kernel::{JobKey, Millis, MinionId};
use serde::{Deserialize, Serialize};

use crate::ring::Entry;

/// Selects events. A field that is not set matches every event.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Filter {
    /// Selects events at or after this Unix time in milliseconds.
    #[serde(rename = "since_ms", skip_serializing_if = "Option::is_none")]
    pub since: Option<Millis>,
    /// Selects events of this job.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub job: Option<JobKey>,
    /// Selects events of this minion.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub minion: Option<MinionId>,
    /// Also selects events that concern no job, such as an ejection or a log
    /// outage, which often explain why a job failed.
    #[serde(skip_serializing_if = "is_false")]
    pub context: bool,
}

fn is_false(flag: &bool) -> bool {
    !flag
}

impl Filter {
    /// Returns whether the filter selects an entry.
    pub(crate) fn accepts(&self, entry: &Entry) -> bool {
        if self.since.is_some_and(|since| entry.at.wall < since) {
            return false;
        }
        if self.context && entry.note.job.is_none() {
            return true;
        }
        let job = self.job.is_none() || self.job == entry.note.job;
        let minion = self.minion.is_none() || self.minion == entry.note.minion;
        job && minion
    }
}

/// Why a query is not a valid filter.
#[derive(Debug, Clone, PartialEq)]
pub enum FilterError {
    /// A field is unknown, given twice or malformed.
    Query(serde_urlencoded::de::Error),
}

impl fmt::Display for FilterError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FilterError::Query(e) => write!(f, "query: {e}"),
        }
    }
}

impl std::error::Error for FilterError {}

impl fmt::Display for Filter {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let query = serde_urlencoded::to_string(self).map_err(|_| fmt::Error)?;
        f.write_str(&query)
    }
}

impl FromStr for Filter {
    type Err = FilterError;

    fn from_str(s: &str) -> Result<Filter, FilterError> {
        serde_urlencoded::from_str(s).map_err(FilterError::Query)
    }
}
