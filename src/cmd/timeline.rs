//! `pomeloctl timeline`: one story out of the rings of all VMs.

use std::net::SocketAddr;

use clap::Args;
use kernel::{Clock, JobKey, Millis, MinionId, SystemClock};
use timeline::{Event, Excerpt, Filter, Severity, Stamp, Transcript, json_line, merge};

use crate::cmd::print;
use crate::error::{AskError, CommandError};
use crate::fleet::Fleet;

/// Which events to tell.
#[derive(Debug, Args)]
pub struct TimelineArgs {
    /// Only this job, and what happened around it.
    #[arg(long)]
    job: Option<JobKey>,
    /// Only the last while, such as 5m.
    #[arg(long, value_name = "SPAN")]
    since: Option<Millis>,
    /// Only this minion.
    #[arg(long)]
    minion: Option<MinionId>,
    /// Also the routine steps of all jobs.
    #[arg(long)]
    all: bool,
    /// Write JSON lines.
    #[arg(long)]
    json: bool,
}

/// What the VMs answered.
#[derive(Debug, Default)]
struct Answers {
    /// The parts of the rings.
    excerpts: Vec<Excerpt>,
    /// What is missing, a sentence each.
    gaps: Vec<String>,
}

/// Runs `pomeloctl timeline`. What is missing goes to standard error.
///
/// # Errors
///
/// Fails when no VM answers, and with exit code 1 when the story has gaps.
pub async fn run(fleet: &Fleet, args: TimelineArgs) -> Result<(), CommandError> {
    let filter = filter(&args);
    let answers = fleet.get_all(&format!("/v1/timeline?{filter}")).await;
    let answers = sort_out(answers, filter.since);
    for gap in &answers.gaps {
        eprintln!("{gap}");
    }
    if answers.excerpts.is_empty() {
        return Err(CommandError::Unreachable);
    }
    let events = choose(merge(answers.excerpts), &args);
    print(&text(&events, args.json))?;
    match answers.gaps.is_empty() {
        true => Ok(()),
        false => Err(CommandError::Bad),
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

fn choose(events: Vec<Event>, args: &TimelineArgs) -> Vec<Event> {
    if let Some(job) = &args.job {
        return Transcript::for_job(events, job);
    }
    let wanted = |e: &Event| args.all || e.what.severity() == Severity::Notable;
    events.into_iter().filter(wanted).collect()
}

fn text(events: &[Event], json: bool) -> String {
    if !json {
        return Transcript::new(events).to_string();
    }
    let lines = events.iter().flat_map(json_line);
    lines.map(|line| line + "\n").collect()
}

/// Tells the VMs that answered from those that did not, and which rings have
/// lost a part of the period.
fn sort_out(
    answers: Vec<(SocketAddr, Result<Excerpt, AskError>)>,
    since: Option<Millis>,
) -> Answers {
    let mut sorted = Answers::default();
    for (addr, answer) in answers {
        match answer {
            Ok(excerpt) => {
                sorted.gaps.extend(lost(&excerpt, since));
                sorted.excerpts.push(excerpt);
            }
            Err(e) => sorted.gaps.push(format!("not reached: {addr}: {e}")),
        }
    }
    sorted
}

fn lost(excerpt: &Excerpt, since: Option<Millis>) -> Vec<String> {
    let mut lost = Vec::new();
    let within = |stamp: &Stamp| since.is_none_or(|since| stamp.wall >= since);
    if let Some(stamp) = excerpt.dropped_before.filter(within) {
        let until = std::time::UNIX_EPOCH + stamp.wall.duration();
        let until = humantime::format_rfc3339_millis(until);
        lost.push(format!("dropped: {} up to {until}", excerpt.process));
    }
    if excerpt.missed > 0 {
        let (process, missed) = (&excerpt.process, excerpt.missed);
        lost.push(format!("never recorded: {process} {missed} events"));
    }
    lost
}
