//! `pomeloctl slopes`: measures how costs grow with the size of the fleet.

use std::fmt::Write;

use clap::{Args, ValueEnum};
use serde::Serialize;
use slopes::{Figure, Group};

use crate::cmd::print;
use crate::error::CommandError;

/// Arguments of `pomeloctl slopes`.
#[derive(Debug, Args)]
pub struct SlopesArgs {
    /// Groups of figures to measure; all by default.
    pub groups: Vec<GroupName>,
    /// Write JSON instead of tables.
    #[arg(long)]
    pub json: bool,
}

/// Names of the groups of figures.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum GroupName {
    /// Table of minions and the platform's machine list.
    Minions,
    /// Claims, tickets and kept answers.
    Keys,
    /// Events of the time line.
    Events,
    /// Changes of the sheet.
    Sheet,
    /// Heartbeats under load, up to 40 VMs in memory.
    Control,
    /// Jobs through one real VM.
    Path,
    /// Real VMs without jobs.
    Idle,
}

impl GroupName {
    fn group(self) -> Group {
        match self {
            GroupName::Minions => Group::Minions,
            GroupName::Keys => Group::Keys,
            GroupName::Events => Group::Events,
            GroupName::Sheet => Group::Sheet,
            GroupName::Control => Group::Control,
            GroupName::Path => Group::Path,
            GroupName::Idle => Group::Idle,
        }
    }
}

/// Runs `pomeloctl slopes`: measures the groups and prints each figure with the
/// line fitted to its points.
///
/// # Errors
///
/// Fails when a group can't be measured on this machine, or when standard
/// output can't be written.
pub async fn run(args: SlopesArgs) -> Result<(), CommandError> {
    let groups: Vec<Group> = match args.groups.is_empty() {
        true => Group::ALL.to_vec(),
        false => args.groups.iter().map(|g| g.group()).collect(),
    };
    for group in groups {
        let measured = tokio::task::spawn_blocking(move || group.measure()).await;
        let figures = measured
            .map_err(CommandError::Task)?
            .map_err(CommandError::Slope)?;
        match args.json {
            true => print(&json_lines(&figures)?)?,
            false => print(&table(&figures))?,
        }
    }
    Ok(())
}

/// Formats the figures as JSON, one per line.
fn json_lines(figures: &[Figure]) -> Result<String, CommandError> {
    let mut text = String::new();
    for figure in figures {
        let line = serde_json::to_string(figure).map_err(|e| CommandError::Io(e.into()))?;
        text.push_str(&line);
        text.push('\n');
    }
    Ok(text)
}

fn table(figures: &[Figure]) -> String {
    let mut text = String::new();
    for figure in figures {
        let Figure {
            name, unit, per, ..
        } = figure;
        let _ = writeln!(text, "{name} ({unit}) by {per}");
        for point in &figure.points {
            let _ = writeln!(text, "{:>12} {:>16.2}", point.size, point.value);
        }
        let fit = &figure.fit;
        let _ = writeln!(
            text,
            "    slope {:.4}, intercept {:.2}, residual {:.2}\n",
            fit.slope, fit.intercept, fit.residual
        );
    }
    text
}
