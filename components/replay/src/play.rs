//! Plays a trace at its own speed.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use compact_str::CompactString;
use kernel::{HashMap, Millis, VmId};
use standins::Start;
use tokio::sync::watch;
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::{Instant, sleep, sleep_until};

use crate::book::{Book, Submission};
use crate::client::Caller;
use crate::fleet::Fleet;
use crate::summary::{Miss, Summary, misses};
use crate::tally::tally;
use crate::trace::{Action, Answer, Cancel, Expectation, Fault, Keys, Submit, Trace, Verdict};
use crate::vm::LaunchError;
use crate::watch::{BrokenVm, Observed, Publisher, Watch};

/// How long before its submission a ticket is fetched.
const TICKET_LEAD: Millis = Millis(100);

/// The pause between two tries for a ticket.
const TICKET_PAUSE: Duration = Duration::from_millis(50);

/// The tries for a ticket.
const TICKET_TRIES: usize = 100;

/// How long after the last answer starts are still waited for.
const SETTLE: Duration = Duration::from_millis(300);

/// How a replay ended.
#[derive(Debug, Clone)]
pub struct Report {
    /// The counts.
    pub summary: Summary,
    /// The expectations that were missed.
    pub misses: Vec<Miss>,
    /// What VMs have counted that must never happen, a miss each.
    pub faults: Vec<BrokenVm>,
    /// What callers sent and were told.
    pub submissions: Vec<Submission>,
    /// The tasks that minions started.
    pub starts: Vec<Start>,
    /// When planned stops began.
    pub stops: Vec<(VmId, std::time::Instant)>,
}

/// Something on the time line of a replay.
enum Event<'a> {
    /// An action of the trace begins.
    Act(&'a Action),
    /// A fault ends.
    End(&'a Fault),
}

/// The keys of jobs, those of tickets once they are fetched.
type JobKeys = HashMap<CompactString, watch::Sender<Option<CompactString>>>;

/// Plays a trace on a fleet of its own and counts.
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

/// A replay under way.
struct Player {
    /// The fleet.
    fleet: Fleet,
    /// The callers.
    caller: Caller,
    /// What they have sent and been told.
    book: Book,
    /// The keys.
    keys: Arc<JobKeys>,
    /// The submissions that can be hung up, by number.
    calls: Arc<Mutex<HashMap<usize, AbortHandle>>>,
    /// The submissions and cancellations under way.
    tasks: JoinSet<()>,
    /// The publications under way, by number.
    publications: JoinSet<(usize, Verdict)>,
    /// Told once nothing but publications is under way.
    closing: watch::Sender<bool>,
    /// What is seen of the VMs.
    observed: watch::Sender<Observed>,
}

impl Player {
    fn new(fleet: Fleet, trace: &Trace) -> Player {
        let book = Book::default();
        let mut keys = JobKeys::default();
        for step in &trace.steps {
            if let Action::Submit(submit) = &step.action {
                let key = match submit.keys.unwrap_or_default() {
                    Keys::Bare => Some(submit.job.clone()),
                    Keys::Ticket => None,
                };
                let first = || watch::Sender::new(key);
                keys.entry(submit.job.clone()).or_insert_with(first);
            }
        }
        Player {
            caller: Caller::new(fleet.net().clone(), fleet.doors().clone(), book.clone()),
            fleet,
            book,
            keys: Arc::new(keys),
            calls: Arc::default(),
            tasks: JoinSet::new(),
            publications: JoinSet::new(),
            closing: watch::Sender::new(false),
            observed: watch::Sender::default(),
        }
    }

    async fn run(&mut self, trace: &Trace) -> Result<(), LaunchError> {
        let watch = Watch::new(self.fleet.net().clone(), self.fleet.doors().clone());
        let observed = self.observed.clone();
        let watching = tokio::spawn(async move { watch.observe(&observed).await });
        let zero = Instant::now();
        for (at, event) in time_line(trace) {
            sleep_until(zero + at.duration()).await;
            match event {
                Event::Act(Action::Fault(fault, _)) => self.fleet.begin(fault).await?,
                Event::End(fault) => self.fleet.end(fault).await?,
                Event::Act(action) => self.act(action),
            }
        }
        while self.tasks.join_next().await.is_some() {}
        sleep(SETTLE).await;
        watching.abort();
        Ok(())
    }

    fn act(&mut self, action: &Action) {
        match action {
            Action::Submit(submit) => self.submit(submit.clone()),
            Action::Cancel(cancel) => self.cancel(cancel.clone()),
            Action::HangUp(hang_up) => self.hang_up(&hang_up.job),
            Action::Publish(publish) => {
                let watch = Watch::new(self.fleet.net().clone(), self.fleet.doors().clone());
                let platform = self.fleet.platform().addr();
                let publisher = Publisher::new(watch, platform, self.closing.subscribe());
                let (n, publish) = (self.publications.len(), publish.clone());
                self.publications
                    .spawn(async move { (n, publisher.publish(&publish).await) });
            }
            Action::Fault(..) => {}
        }
    }

    /// Submits a job, for which a ticket is fetched first if it needs one.
    fn submit(&mut self, submit: Submit) {
        let (caller, book) = (self.caller.clone(), self.book.clone());
        let (keys, calls) = (self.keys.clone(), self.calls.clone());
        self.tasks.spawn(async move {
            let at = Instant::now() + TICKET_LEAD.duration();
            if submit.keys == Some(Keys::Ticket) {
                fetch(&caller, &keys, &submit).await;
                sleep_until(at).await;
            }
            let n = book.open(&submit);
            let Some(key) = key_of(&keys, &submit.job).await else {
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
            if let Some(key) = key_of(&keys, &cancel.job).await {
                caller.cancel(&key, &cancel.via).await;
            }
        });
    }

    fn hang_up(&self, job: &str) {
        let call = self.book.hang_up(job);
        if let Some(call) = call.and_then(|n| lock(&self.calls).remove(&n)) {
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
        let subs = self.book.read();
        let mut summary = tally(&subs, self.fleet.ledger(), self.fleet.stops());
        self.look_last().await;
        summary.sheet_reverts = self.observed.borrow().reverts;
        let faults = self.observed.borrow().faults();
        let answers = self.answers(trace, &subs).await;
        let told = |job: &str| answers.get(job).cloned().unwrap_or_default();
        let misses = misses(&trace.expects, &summary, told, &verdicts);
        summary.expectations = trace.expects.len() as u64;
        summary.missed = (misses.len() + faults.len()) as u64;
        Report {
            summary,
            misses,
            faults,
            submissions: subs,
            starts: self.fleet.ledger().starts(),
            stops: self.fleet.stops().to_vec(),
        }
    }

    /// Reads what the VMs that live say of themselves in the end.
    async fn look_last(&self) {
        let watch = Watch::new(self.fleet.net().clone(), self.fleet.doors().clone());
        for seen in watch.look().await {
            self.observed.send_modify(|o| o.note(&seen));
        }
    }

    /// Returns the answers to each job that is spoken of. One whose callers
    /// have all hung up is looked up.
    async fn answers(
        &self,
        trace: &Trace,
        subs: &[Submission],
    ) -> HashMap<CompactString, Vec<Answer>> {
        let mut all = HashMap::default();
        for expect in &trace.expects {
            let Expectation::Job(job, _) = &expect.what else {
                continue;
            };
            let own = subs.iter().filter(|s| s.job == *job);
            let mut told: Vec<Answer> = own.filter_map(|s| s.answer).map(|a| a.1).collect();
            if told.is_empty() {
                told.extend(self.look_up(job, subs).await);
            }
            all.insert(job.clone(), told);
        }
        all
    }

    async fn look_up(&self, job: &str, subs: &[Submission]) -> Option<Answer> {
        let sub = subs.iter().rfind(|s| s.job == job)?;
        let via: &VmId = &sub.attempts.last()?.vm;
        self.caller.look_up(&sub.key, via).await
    }
}

async fn fetch(caller: &Caller, keys: &JobKeys, submit: &Submit) {
    let Some(key) = keys.get(&submit.job).filter(|k| k.borrow().is_none()) else {
        return;
    };
    for _ in 0..TICKET_TRIES {
        if let Some(ticket) = caller.ticket(&submit.via).await {
            key.send_if_modified(|known| {
                let first = known.is_none();
                known.get_or_insert(ticket);
                first
            });
            return;
        }
        sleep(TICKET_PAUSE).await;
    }
}

async fn key_of(keys: &JobKeys, job: &str) -> Option<CompactString> {
    let mut key = keys.get(job)?.subscribe();
    let wait = key.wait_for(Option::is_some);
    let most = TICKET_PAUSE * TICKET_TRIES as u32;
    let known = tokio::time::timeout(most, wait).await.ok()?.ok()?;
    known.clone()
}

/// Lays out what happens when. Submissions under tickets begin with fetching
/// them, so that everything else comes later by as much.
fn time_line(trace: &Trace) -> Vec<(Millis, Event<'_>)> {
    let mut line = Vec::new();
    for step in &trace.steps {
        let at = Millis(step.at.0 + TICKET_LEAD.0);
        match &step.action {
            Action::Submit(s) if s.keys == Some(Keys::Ticket) => {
                line.push((step.at, Event::Act(&step.action)));
            }
            Action::Fault(fault, Some(span)) => {
                line.push((at, Event::Act(&step.action)));
                line.push((Millis(at.0 + span.0), Event::End(fault)));
            }
            action => line.push((at, Event::Act(action))),
        }
    }
    line.sort_by_key(|(at, _)| *at);
    line
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
