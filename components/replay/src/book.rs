//! What the stand-in callers have sent and been told.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use compact_str::CompactString;
use kernel::VmId;

use crate::trace::{Answer, Submit};

/// How an attempt ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum End {
    /// An answer came, with this reason unless complete.
    Told(Answer, CompactString),
    /// The VM could not tell the outcome, for this reason.
    Unknown(CompactString),
    /// The connection broke, or no answer came in time.
    Lost,
    /// Nothing was sent.
    Refused,
}

/// One request of a submission to one VM.
#[derive(Debug, Clone)]
pub struct Attempt {
    /// The VM.
    pub vm: VmId,
    /// When it was sent.
    pub sent: Instant,
    /// When and how it ended.
    pub end: Option<(Instant, End)>,
}

/// One submission of a job.
#[derive(Debug, Clone)]
pub struct Submission {
    /// The job's name in the trace.
    pub job: CompactString,
    /// The job's key; empty until there is one.
    pub key: CompactString,
    /// The longest run time of the tasks.
    pub ideal: Duration,
    /// When the caller submitted it.
    pub at: Instant,
    /// The requests, several when answers were lost.
    pub attempts: Vec<Attempt>,
    /// The final answer, and when it came.
    pub answer: Option<(Instant, Answer)>,
    /// Whether the caller hung up.
    pub hung_up: bool,
    /// Whether the answer lacked a task.
    pub partial: bool,
    /// Whether the answer was another job's or out of order.
    pub wrong: bool,
}

impl Submission {
    /// Tells whether somebody waits for the answer.
    pub fn open(&self) -> bool {
        self.answer.is_none() && !self.hung_up
    }
}

/// A cloneable record of all submissions.
#[derive(Debug, Clone, Default)]
pub struct Book {
    /// The submissions in order.
    pages: Arc<Mutex<Vec<Submission>>>,
}

impl Book {
    /// Opens a submission and returns its number.
    pub fn open(&self, submit: &Submit) -> usize {
        let longest = submit.tasks.iter().map(|t| t.run_ms).max();
        let mut pages = self.lock();
        pages.push(Submission {
            job: submit.job.clone(),
            key: CompactString::default(),
            ideal: Duration::from_millis(longest.unwrap_or(0)),
            at: Instant::now(),
            attempts: Vec::new(),
            answer: None,
            hung_up: false,
            partial: false,
            wrong: false,
        });
        pages.len() - 1
    }

    /// Changes a submission.
    pub fn change<R>(&self, n: usize, change: impl FnOnce(&mut Submission) -> R) -> Option<R> {
        self.lock().get_mut(n).map(change)
    }

    /// Records that an attempt begins.
    pub fn send(&self, n: usize, vm: &VmId) {
        let attempt = Attempt {
            vm: vm.clone(),
            sent: Instant::now(),
            end: None,
        };
        self.change(n, |s| s.attempts.push(attempt));
    }

    /// Records how the last attempt ended.
    pub fn end(&self, n: usize, end: End) {
        let now = Instant::now();
        self.change(n, |s| {
            if let Some(last) = s.attempts.last_mut() {
                last.end = Some((now, end));
            }
        });
    }

    /// Records the final answer.
    pub fn answer(&self, n: usize, answer: Answer) {
        let now = Instant::now();
        self.change(n, |s| s.answer = Some((now, answer)));
    }

    /// Hangs up the last open submission of a job and returns its number.
    pub fn hang_up(&self, job: &str) -> Option<usize> {
        let mut pages = self.lock();
        let n = pages.iter().rposition(|s| s.job == job && s.open())?;
        pages[n].hung_up = true;
        Some(n)
    }

    /// Returns all submissions.
    pub fn read(&self) -> Vec<Submission> {
        self.lock().clone()
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Submission>> {
        self.pages.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
