//! `pomeloctl timeline`: merges the event rings of all VMs into one time line.

use std::net::SocketAddr;

use clap::Args;
use kernel::{Clock, JobKey, Millis, MinionId, SystemClock};
use timeline::{Event, Excerpt, Filter, Severity, Stamp, Transcript, json_line, merge};

use crate::cmd::print;
use crate::error::{CommandError, RequestError};
use crate::fleet::Fleet;

/// Arguments of `pomeloctl timeline`.
#[derive(Debug, Args)]
pub struct TimelineArgs {
    /// Show only this job and the events related to it.
    #[arg(long)]
    job: Option<JobKey>,
    /// Show only the most recent period, such as 5m.
    #[arg(long, value_name = "SPAN")]
    since: Option<Millis>,
    /// Show only this minion.
    #[arg(long)]
    minion: Option<MinionId>,
    /// Also show the routine steps of all jobs.
    #[arg(long)]
    all: bool,
    /// Write JSON lines.
    #[arg(long)]
    json: bool,
}

/// Answers of the VMs.
#[derive(Debug, Default)]
struct Answers {
    /// Excerpts of the event rings.
    excerpts: Vec<Excerpt>,
    /// Descriptions of what is missing.
    gaps: Vec<String>,
}

/// Runs `pomeloctl timeline`. Prints what is missing to standard error.
///
/// # Errors
///
/// Fails with exit code 1 when no VM answers or the time line has gaps.
pub async fn run(fleet: &Fleet, args: TimelineArgs) -> Result<(), CommandError> {
    let filter = filter(&args);
    let answers = fleet.get_all(&format!("/v1/timeline?{filter}")).await;
    let answers = collect_answers(answers, filter.since);
    for gap in &answers.gaps {
        eprintln!("{gap}");
    }
    if answers.excerpts.is_empty() {
        return Err(CommandError::Unreachable);
    }
    let events = select_events(merge(answers.excerpts), &args);
    print(&format_events(&events, args.json))?;
    match answers.gaps.is_empty() {
        true => Ok(()),
        false => Err(CommandError::Failed),
    }
}

fn filter(args: &TimelineArgs) -> Filter {
    let now = SystemClock::new().wall();
    Filter {
        since: args.since.map(|span| Millis(now.0.saturating_sub(span.0))),
        job: args.job.clone(),
        minion: args.minion.clone(),
        context: args.job.is_some(),
    }
}

fn select_events(events: Vec<Event>, args: &TimelineArgs) -> Vec<Event> {
    if let Some(job) = &args.job {
        return Transcript::for_job(events, job);
    }
    let wanted = |e: &Event| args.all || e.what.severity() == Severity::Notable;
    events.into_iter().filter(wanted).collect()
}

fn format_events(events: &[Event], json: bool) -> String {
    if !json {
        return Transcript::new(events).to_string();
    }
    let lines = events.iter().flat_map(json_line);
    lines.map(|line| line + "\n").collect()
}

/// Separates the excerpts from the failed requests, and lists as gaps the VMs
/// that did not answer and the rings that have lost a part of the period.
fn collect_answers(
    answers: Vec<(SocketAddr, Result<Excerpt, RequestError>)>,
    since: Option<Millis>,
) -> Answers {
    let mut collected = Answers::default();
    for (addr, answer) in answers {
        match answer {
            Ok(excerpt) => {
                collected.gaps.extend(find_gaps(&excerpt, since));
                collected.excerpts.push(excerpt);
            }
            Err(e) => collected.gaps.push(format!("not reached: {addr}: {e}")),
        }
    }
    collected
}

fn find_gaps(excerpt: &Excerpt, since: Option<Millis>) -> Vec<String> {
    let mut gaps = Vec::new();
    let within = |stamp: &Stamp| since.is_none_or(|since| stamp.wall >= since);
    if let Some(stamp) = excerpt.dropped_before.filter(within) {
        let until = std::time::UNIX_EPOCH + stamp.wall.duration();
        let until = humantime::format_rfc3339_millis(until);
        gaps.push(format!("dropped: {} up to {until}", excerpt.process));
    }
    if excerpt.missed > 0 {
        let (process, missed) = (&excerpt.process, excerpt.missed);
        gaps.push(format!("never recorded: {process} {missed} events"));
    }
    gaps
}
