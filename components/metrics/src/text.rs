//! The table as text, in the form that Prometheus reads.

use std::fmt::{self, Write};
use std::sync::{Mutex, PoisonError};

use hdrhistogram::Histogram;

use crate::{Count, Gauge, Metrics, Timing};

/// The longest time told apart, in microseconds; longer ones count as this.
const LONGEST_US: u64 = 60_000_000;

/// Two significant digits keep a histogram within some kilobytes.
const DIGITS: u8 = 2;

/// The quantiles told of each time.
const QUANTILES: [f64; 4] = [0.5, 0.9, 0.99, 0.999];

/// Renders a table for whoever asks.
#[derive(Debug)]
pub struct TextPage {
    /// The table.
    table: Metrics,
    /// Times since the start, one histogram for each of [`Timing::ALL`].
    times: Mutex<Vec<Histogram<u64>>>,
}

impl TextPage {
    /// Makes a page of a table.
    ///
    /// # Errors
    ///
    /// Fails when the histograms' bounds are wrong, which is a fault of the
    /// program.
    pub fn new(table: Metrics) -> Result<TextPage, hdrhistogram::CreationError> {
        let times = Timing::ALL.iter();
        let times = times.map(|_| Histogram::new_with_bounds(1, LONGEST_US, DIGITS));
        Ok(TextPage {
            table,
            times: Mutex::new(times.collect::<Result<_, _>>()?),
        })
    }

    /// Returns the page as it is now.
    pub fn render(&self) -> String {
        let mut out = String::new();
        // Writing to a string does not fail.
        let _ = self.write(&mut out);
        out
    }

    fn write(&self, out: &mut String) -> fmt::Result {
        for count in Count::ALL {
            let name = plain(count.name());
            writeln!(out, "# HELP {name}_total {}", count.help())?;
            writeln!(out, "# TYPE {name}_total counter")?;
            writeln!(out, "{name}_total {}", self.table.count(*count))?;
        }
        for gauge in Gauge::ALL {
            let name = plain(gauge.name());
            writeln!(out, "# HELP {name} {}", gauge.help())?;
            writeln!(out, "# TYPE {name} gauge")?;
            writeln!(out, "{name} {}", self.table.gauge(*gauge))?;
        }
        let mut times = self.times.lock().unwrap_or_else(PoisonError::into_inner);
        for (timing, span) in self.table.take_times() {
            let micros = (span.as_micros() as u64).max(1);
            times[timing as usize].saturating_record(micros);
        }
        for (timing, times) in Timing::ALL.iter().zip(times.iter()) {
            let name = plain(timing.name());
            writeln!(out, "# HELP {name}_seconds {}", timing.help())?;
            writeln!(out, "# TYPE {name}_seconds summary")?;
            for quantile in QUANTILES {
                let seconds = times.value_at_quantile(quantile) as f64 / 1e6;
                writeln!(out, "{name}_seconds{{quantile=\"{quantile}\"}} {seconds}")?;
            }
            writeln!(out, "{name}_seconds_count {}", times.len())?;
        }
        Ok(())
    }
}

fn plain(name: &str) -> String {
    format!("pomelopost_{}", name.replace('.', "_"))
}
