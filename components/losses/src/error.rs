//! Why a report could not be written.

use std::fmt;

/// Error of a plot in a report.
#[derive(Debug)]
pub enum ReportError {
    /// The plot could not be drawn.
    Plot(CompactCause),
    /// The page could not be formatted.
    Format(fmt::Error),
}

/// What the plotting library says of a plot that could not be drawn.
#[derive(Debug)]
pub struct CompactCause(pub compact_str::CompactString);

impl fmt::Display for ReportError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ReportError::Plot(cause) => write!(f, "a plot can't be drawn: {}", cause.0),
            ReportError::Format(e) => write!(f, "the page can't be written: {e}"),
        }
    }
}

impl std::error::Error for ReportError {}

impl From<fmt::Error> for ReportError {
    fn from(e: fmt::Error) -> ReportError {
        ReportError::Format(e)
    }
}

impl<E: std::error::Error + Send + Sync> From<plotters::drawing::DrawingAreaErrorKind<E>>
    for ReportError
{
    fn from(e: plotters::drawing::DrawingAreaErrorKind<E>) -> ReportError {
        ReportError::Plot(CompactCause(compact_str::format_compact!("{e}")))
    }
}
