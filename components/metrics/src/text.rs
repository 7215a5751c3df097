//! The metrics in the text format of Prometheus.

use std::fmt::{self, Write};
use std::sync::{Mutex, PoisonError};

use hdrhistogram::Histogram;

use crate::{Count, Gauge, Metrics, Timing};

/// Maximum duration that a histogram records, in microseconds; longer ones count
/// as this one.
const MAX_MICROS: u64 = 60_000_000;

/// Number of significant digits of a histogram's values; two keep it within some
/// kilobytes.
const SIGNIFICANT_DIGITS: u8 = 2;

/// Quantiles reported for each timing.
const QUANTILES: [f64; 4] = [0.5, 0.9, 0.99, 0.999];

/// Renders metrics as a text page.
#[derive(Debug)]
pub struct TextPage {
    /// The metrics to render.
    table: Metrics,
    /// Durations since the page was created, one histogram for each of
    /// [`Timing::ALL`].
    histograms: Mutex<Vec<Histogram<u64>>>,
}

impl TextPage {
    /// Creates a page of a table's metrics.
    ///
    /// # Errors
    ///
    /// Fails when the histograms' constant bounds are invalid, which is a bug.
    pub fn new(table: Metrics) -> Result<TextPage, hdrhistogram::CreationError> {
        let timings = Timing::ALL.iter();
        let histograms =
            timings.map(|_| Histogram::new_with_bounds(1, MAX_MICROS, SIGNIFICANT_DIGITS));
        Ok(TextPage {
            table,
            histograms: Mutex::new(histograms.collect::<Result<_, _>>()?),
        })
    }

    /// Returns the page with the current values.
    pub fn render(&self) -> String {
        let mut out = String::new();
        // Writing to a string never fails.
        let _ = self.write(&mut out);
        out
    }

    fn write(&self, out: &mut String) -> fmt::Result {
        for count in Count::ALL {
            let name = prometheus_name(count.name());
            writeln!(out, "# HELP {name}_total {}", count.help())?;
            writeln!(out, "# TYPE {name}_total counter")?;
            writeln!(out, "{name}_total {}", self.table.count(*count))?;
        }
        for gauge in Gauge::ALL {
            let name = prometheus_name(gauge.name());
            writeln!(out, "# HELP {name} {}", gauge.help())?;
            writeln!(out, "# TYPE {name} gauge")?;
            writeln!(out, "{name} {}", self.table.gauge(*gauge))?;
        }
        let mut histograms = self
            .histograms
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        for (timing, span) in self.table.take_timings() {
            let micros = (span.as_micros() as u64).max(1);
            histograms[timing as usize].saturating_record(micros);
        }
        for (timing, histogram) in Timing::ALL.iter().zip(histograms.iter()) {
            let name = prometheus_name(timing.name());
            writeln!(out, "# HELP {name}_seconds {}", timing.help())?;
            writeln!(out, "# TYPE {name}_seconds summary")?;
            for quantile in QUANTILES {
                let seconds = histogram.value_at_quantile(quantile) as f64 / 1e6;
                writeln!(out, "{name}_seconds{{quantile=\"{quantile}\"}} {seconds}")?;
            }
            writeln!(out, "{name}_seconds_count {}", histogram.len())?;
        }
        Ok(())
    }
}

fn prometheus_name(name: &str) -> String {
    format!("pomelopost_{}", name.replace('.', "_"))
}
