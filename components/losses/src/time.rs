//! Times in log lines.

use std::fmt;
use std::str::FromStr;
use std::time::{Duration, UNIX_EPOCH};

use serde::de::Error;
use serde::{Deserialize, Deserializer};

/// A time of day in milliseconds since 1970. VMs' clocks may differ by seconds, so
/// only times of one VM can be compared exactly.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct WallMillis(pub u64);

impl WallMillis {
    /// Returns the milliseconds from `earlier` until this time, or 0.
    pub fn since(self, earlier: WallMillis) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

impl fmt::Display for WallMillis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let time = UNIX_EPOCH + Duration::from_millis(self.0);
        write!(f, "{}", humantime::format_rfc3339_millis(time))
    }
}

impl FromStr for WallMillis {
    type Err = humantime::TimestampError;

    fn from_str(text: &str) -> Result<WallMillis, Self::Err> {
        let time = humantime::parse_rfc3339(text)?;
        let since = time.duration_since(UNIX_EPOCH).unwrap_or_default();
        Ok(WallMillis(since.as_millis() as u64))
    }
}

impl<'de> Deserialize<'de> for WallMillis {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<WallMillis, D::Error> {
        let text = <std::borrow::Cow<'_, str>>::deserialize(from)?;
        text.parse().map_err(D::Error::custom)
    }
}

/// Length of the windows by which losses are counted over time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Window(pub u64);

impl Window {
    /// Returns the start of the window that contains `at`, in milliseconds since
    /// `start`.
    pub fn of(self, at: WallMillis, start: WallMillis) -> u64 {
        let length = self.0.max(1);
        at.since(start) / length * length
    }
}
