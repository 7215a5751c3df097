//! `pomeloctl evacuations`: shows which failure domains are being evacuated, as the
//! VMs on the users' platform see it, and which VMs lag.

use std::collections::BTreeSet;
use std::fmt::Write;
use std::net::SocketAddr;

use futures::future::join_all;
use kernel::{Domain, Offset};

use crate::cmd::print;
use crate::error::{CommandError, RequestError};
use crate::fleet::Fleet;

/// HTTP path of the metrics of a VM.
const METRICS_PATH: &str = "/metrics";

/// Metric with the offset as of which a VM knows the evacuations.
const OFFSET_METRIC: &str = "pomelopost_evacuations_offset ";

/// Metric of each domain, with the domain's name as its label.
const DOMAIN_METRIC: &str = "pomelopost_domain_evacuated{domain=\"";

/// The evacuations that a VM knows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EvacuationView {
    /// Offset of the operator's topic up to which the VM knows them.
    pub as_of: Offset,
    /// Domains that are being evacuated.
    pub domains: BTreeSet<Domain>,
}

impl EvacuationView {
    /// Reads the evacuations from a VM's metrics, or returns `None` if they have
    /// none.
    pub fn parse(metrics: &str) -> Option<EvacuationView> {
        let offset = metrics.lines().find_map(|l| l.strip_prefix(OFFSET_METRIC));
        let labelled = metrics
            .lines()
            .filter_map(|l| l.strip_prefix(DOMAIN_METRIC));
        let evacuated = labelled.filter_map(|l| l.strip_suffix("\"} 1"));
        Some(EvacuationView {
            as_of: offset?.parse().ok()?,
            domains: evacuated.filter_map(|name| name.parse().ok()).collect(),
        })
    }
}

/// Runs `pomeloctl evacuations`.
///
/// # Errors
///
/// Fails with exit code 1 when a VM did not answer, or does not know the latest
/// state that another one knows.
pub async fn run(fleet: &Fleet) -> Result<(), CommandError> {
    let requests = fleet.vms().iter().map(async |addr| {
        let view = fleet.get_text(*addr, METRICS_PATH).await;
        let view = view.and_then(|text| EvacuationView::parse(&text).ok_or(RequestError::Metrics));
        (*addr, view)
    });
    let mut known = Vec::new();
    let mut unreachable = false;
    for (addr, view) in join_all(requests).await {
        match view {
            Ok(view) => known.push((addr, view)),
            Err(e) => {
                eprintln!("not reached: {addr}: {e}");
                unreachable = true;
            }
        }
    }
    let latest = known.iter().map(|(_, v)| v.as_of).max();
    print(&format_table(&known))?;
    match unreachable || known.iter().any(|(_, v)| Some(v.as_of) != latest) {
        true => Err(CommandError::Failed),
        false => Ok(()),
    }
}

/// Formats the evacuations that each VM knows as a table.
fn format_table(known: &[(SocketAddr, EvacuationView)]) -> String {
    let latest = known.iter().map(|(_, v)| v.as_of).max();
    let width = known.iter().map(|(a, _)| a.to_string().len()).max();
    let width = width.unwrap_or(0);
    let mut out = format!("{:width$}  offset      evacuated\n", "vm");
    for (addr, view) in known {
        let lag = if Some(view.as_of) < latest {
            " lags"
        } else {
            ""
        };
        let offset = format!("{}{lag}", view.as_of);
        let names: Vec<_> = view.domains.iter().map(Domain::as_str).collect();
        let names = match names.is_empty() {
            true => "none".to_owned(),
            false => names.join(" "),
        };
        // Writing to a string can't fail.
        let _ = writeln!(out, "{:width$}  {offset:10}  {names}", addr.to_string());
    }
    out
}
