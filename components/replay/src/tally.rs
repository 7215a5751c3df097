//! Computes the summary of a replay from what the stand-ins recorded.

use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use kernel::{HashMap, HashSet, VmId};
use standins::{Ledger, Start};

use crate::fleet::STOP_WAIT;
use crate::submissions::{Attempt, End, Submission};
use crate::summary::{Ratio, Summary};
use crate::trace::Answer;

/// Time after its notice during which a leaving minion may still get work.
const LEAVING_GRACE: Duration = Duration::from_secs(2);

/// Round trip between a caller and a VM, which no response can beat.
const ROUND_TRIP: Duration = Duration::from_millis(2);

/// Factor by which ratios are multiplied for the histogram, which holds integers.
const RATIO_SCALE: f64 = 1000.0;

/// Time before a planned stop by which a request must have been sent to count as
/// in flight.
const IN_FLIGHT_AGE: Duration = Duration::from_millis(100);

/// Computes the summary, except for expectations and sheets.
pub fn tally(subs: &[Submission], ledger: &Ledger, stops: &[(VmId, Instant)]) -> Summary {
    let starts = ledger.starts();
    let count = |test: &dyn Fn(&Submission) -> bool| subs.iter().filter(|s| test(s)).count() as u64;
    let answers = job_answers(subs);
    let count_answers = |answer| answers.values().filter(|a| **a == Some(answer)).count() as u64;
    let mut summary = Summary {
        jobs: answers.len() as u64,
        complete: count_answers(Answer::Complete),
        failed: count_answers(Answer::Failed),
        not_run: count_answers(Answer::NotRun),
        unanswered: count(&Submission::is_pending),
        task_starts: starts.len() as u64,
        double_starts: ledger.double_starts(),
        partial_answers: count(&|s| s.partial),
        wrong_answers: count(&|s| s.wrong),
        false_not_run: false_not_run(subs, &starts),
        late_starts_on_leaving: ledger.late_starts(LEAVING_GRACE),
        cut_off: cut_offs(subs, stops).len() as u64,
        messages: ledger.messages(),
        response_ratio: response_ratio(subs),
        ..Summary::default()
    };
    if summary.task_starts > 0 {
        summary.messages_per_task = summary.messages as f64 / summary.task_starts as f64;
    }
    summary
}

/// Returns the best answer to each job.
fn job_answers(subs: &[Submission]) -> HashMap<&str, Option<Answer>> {
    let rank = |a: Option<Answer>| match a {
        None => 0,
        Some(Answer::NotRun) => 1,
        Some(Answer::Failed) => 2,
        Some(Answer::Complete) => 3,
    };
    let mut best: HashMap<&str, Option<Answer>> = HashMap::default();
    for sub in subs {
        let answer = sub.answer.map(|a| a.1);
        let known = best.entry(sub.job.as_str()).or_default();
        if rank(answer) > rank(*known) {
            *known = answer;
        }
    }
    best
}

/// Counts the submissions answered "not run" although an attempt sent earlier,
/// or none at all, accounts for a start of their job.
fn false_not_run(subs: &[Submission], starts: &[Start]) -> u64 {
    untrue_refusals(subs, starts).len() as u64
}

/// Returns the submissions that [`Summary::false_not_run`] counts.
///
/// "Not run" is true of a moment between the request and its answer
/// (docs/API.md#outcomes). A start is therefore consistent with it only if
/// another attempt, sent after the refused one and before the start, can have
/// caused it. An attempt that was itself answered "not run" causes no start.
pub fn untrue_refusals<'a>(subs: &'a [Submission], starts: &[Start]) -> Vec<&'a Submission> {
    let mut started: HashMap<&str, Vec<Instant>> = HashMap::default();
    for start in starts {
        started.entry(&start.job).or_default().push(start.at);
    }
    let mut running: HashMap<&str, Vec<Instant>> = HashMap::default();
    for sub in subs {
        let may_run = sub.attempts.iter().filter(|a| !is_refusal(a));
        let times = may_run.map(|a| a.sent);
        running.entry(&sub.key).or_default().extend(times);
    }
    let is_false = |key: &str, refused: &Attempt| {
        let sent = running.get(key).map_or(&[][..], Vec::as_slice);
        let is_later = |start: Instant| sent.iter().any(|s| refused.sent < *s && *s < start);
        let mut starts = started.get(key).into_iter().flatten();
        starts.any(|start| !is_later(*start))
    };
    let is_untrue = |s: &&Submission| {
        let mut refusals = s.attempts.iter().filter(|a| is_refusal(a));
        refusals.any(|a| is_false(&s.key, a))
    };
    subs.iter().filter(is_untrue).collect()
}

/// Returns whether an attempt was answered "not run".
fn is_refusal(attempt: &Attempt) -> bool {
    matches!(attempt.end, Some((_, End::Told(Answer::NotRun, _))))
}

/// Returns the submissions that planned stops cut off.
pub fn cut_offs<'a>(subs: &'a [Submission], stops: &[(VmId, Instant)]) -> Vec<&'a Submission> {
    subs.iter().filter(|s| is_cut_off(s, stops)).collect()
}

/// Returns whether a planned stop cut a submission off.
fn is_cut_off(sub: &Submission, stops: &[(VmId, Instant)]) -> bool {
    let stop_ended = |a: &Attempt, stop: Instant| match &a.end {
        Some((at, _)) if *at < stop => false,
        None => true,
        // Before the stop's deadline, `owner_away` means that another VM can't be
        // reached.
        Some((at, End::Unknown(reason))) if reason == "owner_away" => {
            *at >= stop + STOP_WAIT.duration()
        }
        Some((_, End::Lost | End::Unknown(_))) => true,
        Some((_, End::Told(Answer::Failed, reason))) => reason == "stopping",
        Some((_, End::Told(Answer::NotRun, reason))) => {
            reason == "stopping" && a.sent + IN_FLIGHT_AGE < stop
        }
        Some((_, End::Told(Answer::Complete, _) | End::Refused)) => false,
    };
    let cut_by_stop = |(vm, stop): &(VmId, Instant)| {
        let mut attempts = sub.attempts.iter().filter(|a| a.vm == *vm);
        attempts.any(|a| a.sent < *stop && stop_ended(a, *stop))
    };
    !sub.disconnected && stops.iter().any(cut_by_stop)
}

/// Returns the ratio of response time to ideal, over the first submissions of
/// jobs.
fn response_ratio(subs: &[Submission]) -> Ratio {
    let Ok(mut histogram) = Histogram::<u64>::new(3) else {
        return Ratio::default();
    };
    let mut seen = HashSet::default();
    for sub in subs {
        let first = seen.insert(&sub.job);
        if let (true, Some((at, Answer::Complete))) = (first, sub.answer) {
            let ideal = sub.ideal + ROUND_TRIP;
            let ratio = (at - sub.at).as_secs_f64() / ideal.as_secs_f64();
            histogram.saturating_record((ratio * RATIO_SCALE) as u64);
        }
    }
    Ratio {
        p50: histogram.value_at_quantile(0.5) as f64 / RATIO_SCALE,
        p99: histogram.value_at_quantile(0.99) as f64 / RATIO_SCALE,
    }
}
