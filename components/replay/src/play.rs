//! Plays a trace in real time.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use compact_str::CompactString;
use kernel::{HashMap, Millis, VmId};
use standins::Start;
use tokio::sync::watch;
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::{Instant, sleep, sleep_until};

use crate::client::Caller;
use crate::fleet::Fleet;
use crate::monitor::{Monitor, Observed, Publisher, VmViolations};
use crate::submissions::{Submission, SubmissionLog};
use crate::summary::{MissedExpectation, Summary, missed_expectations};
use crate::tally::tally;
use crate::trace::{Action, Answer, Cancel, Expectation, Fault, Keys, Submit, Trace, Verdict};
use crate::vm::LaunchError;

/// Time before a submission at which its ticket is requested.
const TICKET_LEAD: Millis = Millis(100);

/// Pause between two requests for a ticket.
const TICKET_PAUSE: Duration = Duration::from_millis(50);

/// Greatest number of requests for a ticket.
const TICKET_TRIES: usize = 100;

/// Time after the last answer during which late task starts are still recorded.
const LATE_START_WAIT: Duration = Duration::from_millis(300);

/// The results of a replay.
#[derive(Debug, Clone)]
pub struct Report {
    /// Counts and ratios.
    pub summary: Summary,
    /// Expectations that were not met.
    pub missed: Vec<MissedExpectation>,
    /// Invariant violations that VMs counted; each also counts as missed in the
    /// summary.
    pub violations: Vec<VmViolations>,
    /// Requests that callers sent and the answers that they got.
    pub submissions: Vec<Submission>,
    /// Tasks that minions started.
    pub starts: Vec<Start>,
    /// VMs and times of the planned stops.
    pub stops: Vec<(VmId, std::time::Instant)>,
}

/// An event in the schedule of a replay.
enum Event<'a> {
    /// An action of the trace begins.
    Begin(&'a Action),
    /// A fault ends.
    End(&'a Fault),
}

/// The keys of jobs by job name. A ticket is `None` until a VM has minted it.
type JobKeys = HashMap<CompactString, watch::Sender<Option<CompactString>>>;

/// Plays a trace on a fleet of its own and returns the results.
///
/// # Errors
///
/// Fails when the fleet can't start.
pub async fn play(trace: &Trace) -> Result<Report, LaunchError> {
    let fleet = Fleet::start(&trace.fleet).await?;
    let mut player = Player::new(fleet, trace);
    player.run(trace).await?;
    Ok(player.finish(trace).await)
}

/// The state of a replay under way.
struct Player {
    /// Fleet on which the trace runs.
    fleet: Fleet,
    /// Stand-in for all callers.
    caller: Caller,
    /// Log of all submissions and answers.
    submissions: SubmissionLog,
    /// Keys of the jobs.
    keys: Arc<JobKeys>,
    /// Handles that drop the connections of submissions, by number.
    calls: Arc<Mutex<HashMap<usize, AbortHandle>>>,
    /// Submissions and cancellations under way.
    tasks: JoinSet<()>,
    /// Publications under way, with their numbers.
    publications: JoinSet<(usize, Verdict)>,
    /// Set to true once only publications are under way.
    closing: watch::Sender<bool>,
    /// Observations of the VMs' statuses.
    observed: watch::Sender<Observed>,
}

impl Player {
    fn new(fleet: Fleet, trace: &Trace) -> Player {
        let submissions = SubmissionLog::default();
        let mut keys = JobKeys::default();
        for step in &trace.steps {
            if let Action::Submit(submit) = &step.action {
                let key = match submit.keys.unwrap_or_default() {
                    Keys::Bare => Some(submit.job.clone()),
                    Keys::Ticket => None,
                };
                let sender = || watch::Sender::new(key);
                keys.entry(submit.job.clone()).or_insert_with(sender);
            }
        }
        Player {
            caller: Caller::new(
                fleet.net().clone(),
                fleet.backends().clone(),
                submissions.clone(),
            ),
            fleet,
            submissions,
            keys: Arc::new(keys),
            calls: Arc::default(),
            tasks: JoinSet::new(),
            publications: JoinSet::new(),
            closing: watch::Sender::new(false),
            observed: watch::Sender::default(),
        }
    }

    async fn run(&mut self, trace: &Trace) -> Result<(), LaunchError> {
        let monitor = Monitor::new(self.fleet.net().clone(), self.fleet.backends().clone());
        let observed = self.observed.clone();
        let observer = tokio::spawn(async move { monitor.observe(&observed).await });
        let start = Instant::now();
        for (at, event) in schedule(trace) {
            sleep_until(start + at.duration()).await;
            match event {
                Event::Begin(Action::Fault(fault, _)) => self.fleet.begin(fault).await?,
                Event::End(fault) => self.fleet.end(fault).await?,
                Event::Begin(action) => self.run_action(action),
            }
        }
        while self.tasks.join_next().await.is_some() {}
        sleep(LATE_START_WAIT).await;
        observer.abort();
        Ok(())
    }

    fn run_action(&mut self, action: &Action) {
        match action {
            Action::Submit(submit) => self.submit(submit.clone()),
            Action::Cancel(cancel) => self.cancel(cancel.clone()),
            Action::Disconnect(disconnect) => self.disconnect(&disconnect.job),
            Action::Publish(publish) => {
                let monitor = Monitor::new(self.fleet.net().clone(), self.fleet.backends().clone());
                let platform = self.fleet.platform().addr();
                let publisher = Publisher::new(monitor, platform, self.closing.subscribe());
                let (n, publish) = (self.publications.len(), publish.clone());
                self.publications
                    .spawn(async move { (n, publisher.publish(&publish).await) });
            }
            Action::Fault(..) => {}
        }
    }

    /// Submits a job in the background. If its key is a ticket, this is requested
    /// first.
    fn submit(&mut self, submit: Submit) {
        let (caller, submissions) = (self.caller.clone(), self.submissions.clone());
        let (keys, calls) = (self.keys.clone(), self.calls.clone());
        self.tasks.spawn(async move {
            let at = Instant::now() + TICKET_LEAD.duration();
            if submit.keys == Some(Keys::Ticket) {
                fetch_ticket(&caller, &keys, &submit).await;
                sleep_until(at).await;
            }
            let n = submissions.add(&submit);
            let Some(key) = wait_for_key(&keys, &submit.job).await else {
                return;
            };
            let call = tokio::spawn(async move { caller.submit(n, &submit, &key).await });
            lock(&calls).insert(n, call.abort_handle());
            let _ = call.await;
        });
    }

    fn cancel(&mut self, cancel: Cancel) {
        let (caller, keys) = (self.caller.clone(), self.keys.clone());
        self.tasks.spawn(async move {
            if let Some(key) = wait_for_key(&keys, &cancel.job).await {
                caller.cancel(&key, &cancel.via).await;
            }
        });
    }

    fn disconnect(&self, job: &str) {
        let number = self.submissions.disconnect(job);
        if let Some(call) = number.and_then(|n| lock(&self.calls).remove(&n)) {
            call.abort();
        }
    }

    async fn finish(mut self, trace: &Trace) -> Report {
        self.closing.send_replace(true);
        let mut verdicts = vec![Verdict::Undecided; self.publications.len()];
        while let Some(done) = self.publications.join_next().await {
            if let Ok((n, verdict)) = done {
                verdicts[n] = verdict;
            }
        }
        let subs = self.submissions.all();
        let mut summary = tally(&subs, self.fleet.ledger(), self.fleet.stops());
        self.observe_once().await;
        summary.sheet_reverts = self.observed.borrow().reverts;
        let violations = self.observed.borrow().violations();
        let answers = self.answers(trace, &subs).await;
        let answers_to = |job: &str| answers.get(job).cloned().unwrap_or_default();
        let missed = missed_expectations(&trace.expects, &summary, answers_to, &verdicts);
        summary.expectations = trace.expects.len() as u64;
        summary.missed = (missed.len() + violations.len()) as u64;
        Report {
            summary,
            missed,
            violations,
            submissions: subs,
            starts: self.fleet.ledger().starts(),
            stops: self.fleet.stops().to_vec(),
        }
    }

    /// Records the final statuses of the live VMs.
    async fn observe_once(&self) {
        let monitor = Monitor::new(self.fleet.net().clone(), self.fleet.backends().clone());
        for status in monitor.statuses().await {
            self.observed.send_modify(|o| o.record(&status));
        }
    }

    /// Returns the answers to each job that an expectation names. If no caller got
    /// an answer, a VM is asked for the job's outcome.
    async fn answers(
        &self,
        trace: &Trace,
        subs: &[Submission],
    ) -> HashMap<CompactString, Vec<Answer>> {
        let mut by_job = HashMap::default();
        for expect in &trace.expects {
            let Expectation::Job(job, _) = &expect.what else {
                continue;
            };
            let of_job = subs.iter().filter(|s| s.job == *job);
            let mut answers: Vec<Answer> = of_job.filter_map(|s| s.answer).map(|a| a.1).collect();
            if answers.is_empty() {
                answers.extend(self.fetch_answer(job, subs).await);
            }
            by_job.insert(job.clone(), answers);
        }
        by_job
    }

    /// Requests a job's outcome from the VM of its last attempt.
    async fn fetch_answer(&self, job: &str, subs: &[Submission]) -> Option<Answer> {
        let sub = subs.iter().rfind(|s| s.job == job)?;
        let via: &VmId = &sub.attempts.last()?.vm;
        self.caller.job_answer(&sub.key, via).await
    }
}

async fn fetch_ticket(caller: &Caller, keys: &JobKeys, submit: &Submit) {
    let Some(key) = keys.get(&submit.job).filter(|k| k.borrow().is_none()) else {
        return;
    };
    for _ in 0..TICKET_TRIES {
        if let Some(ticket) = caller.ticket(&submit.via).await {
            key.send_if_modified(|known| {
                let is_first = known.is_none();
                known.get_or_insert(ticket);
                is_first
            });
            return;
        }
        sleep(TICKET_PAUSE).await;
    }
}

async fn wait_for_key(keys: &JobKeys, job: &str) -> Option<CompactString> {
    let mut key = keys.get(job)?.subscribe();
    let wait = key.wait_for(Option::is_some);
    let timeout = TICKET_PAUSE * TICKET_TRIES as u32;
    let known = tokio::time::timeout(timeout, wait).await.ok()?.ok()?;
    known.clone()
}

/// Returns the events of a trace with their times. Submissions under tickets begin
/// with a request for the ticket; everything else is delayed by the time allowed
/// for that request.
fn schedule(trace: &Trace) -> Vec<(Millis, Event<'_>)> {
    let mut events = Vec::new();
    for step in &trace.steps {
        let at = Millis(step.at.0 + TICKET_LEAD.0);
        match &step.action {
            Action::Submit(s) if s.keys == Some(Keys::Ticket) => {
                events.push((step.at, Event::Begin(&step.action)));
            }
            Action::Fault(fault, Some(span)) => {
                events.push((at, Event::Begin(&step.action)));
                events.push((Millis(at.0 + span.0), Event::End(fault)));
            }
            action => events.push((at, Event::Begin(action))),
        }
    }
    events.sort_by_key(|(at, _)| *at);
    events
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
