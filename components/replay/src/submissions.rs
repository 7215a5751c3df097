//! Records the requests that the stand-in callers sent and the answers that they
//! got.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use compact_str::CompactString;
use kernel::VmId;

use crate::trace::{Answer, Submit};

/// The result of an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum End {
    /// The VM answered; the reason is empty if the job is complete.
    Told(Answer, CompactString),
    /// The VM could not tell the job's outcome, for this reason.
    Unknown(CompactString),
    /// The connection broke, or there was no readable answer in time.
    Lost,
    /// The connection failed before anything was sent.
    Refused,
}

/// A request of a submission to one VM.
#[derive(Debug, Clone)]
pub struct Attempt {
    /// VM that received the request.
    pub vm: VmId,
    /// Time at which the request was sent.
    pub sent: Instant,
    /// Time and result of the attempt; `None` while it is under way.
    pub end: Option<(Instant, End)>,
}

/// A submission of a job.
#[derive(Debug, Clone)]
pub struct Submission {
    /// Name of the job in the trace.
    pub job: CompactString,
    /// Key of the job; empty until it is known.
    pub key: CompactString,
    /// Ideal response time: the longest run time of the job's tasks.
    pub ideal: Duration,
    /// Time at which the caller submitted the job.
    pub at: Instant,
    /// Requests sent; several if the first one got no final answer.
    pub attempts: Vec<Attempt>,
    /// Final answer and the time at which it arrived.
    pub answer: Option<(Instant, Answer)>,
    /// Whether the caller dropped its connection.
    pub disconnected: bool,
    /// Whether the answer lacks a task.
    pub partial: bool,
    /// Whether the answer belongs to another job or is out of order.
    pub wrong: bool,
}

impl Submission {
    /// Returns whether the caller still waits for the answer.
    pub fn is_pending(&self) -> bool {
        self.answer.is_none() && !self.disconnected
    }
}

/// A shared log of all submissions. Clones refer to the same log.
#[derive(Debug, Clone, Default)]
pub struct SubmissionLog {
    /// Submissions in the order in which they were added.
    submissions: Arc<Mutex<Vec<Submission>>>,
}

impl SubmissionLog {
    /// Adds a submission and returns its number.
    pub fn add(&self, submit: &Submit) -> usize {
        let longest = submit.tasks.iter().map(|t| t.run_ms).max();
        let mut submissions = self.lock();
        submissions.push(Submission {
            job: submit.job.clone(),
            key: CompactString::default(),
            ideal: Duration::from_millis(longest.unwrap_or(0)),
            at: Instant::now(),
            attempts: Vec::new(),
            answer: None,
            disconnected: false,
            partial: false,
            wrong: false,
        });
        submissions.len() - 1
    }

    /// Updates a submission with a function and returns the function's result;
    /// `None` if there is no such submission.
    pub fn update<R>(&self, n: usize, update: impl FnOnce(&mut Submission) -> R) -> Option<R> {
        self.lock().get_mut(n).map(update)
    }

    /// Records the start of an attempt.
    pub fn start_attempt(&self, n: usize, vm: &VmId) {
        let attempt = Attempt {
            vm: vm.clone(),
            sent: Instant::now(),
            end: None,
        };
        self.update(n, |s| s.attempts.push(attempt));
    }

    /// Records the end of the last attempt.
    pub fn end_attempt(&self, n: usize, end: End) {
        let now = Instant::now();
        self.update(n, |s| {
            if let Some(last) = s.attempts.last_mut() {
                last.end = Some((now, end));
            }
        });
    }

    /// Records the final answer.
    pub fn set_answer(&self, n: usize, answer: Answer) {
        let now = Instant::now();
        self.update(n, |s| s.answer = Some((now, answer)));
    }

    /// Marks the last pending submission of a job as disconnected and returns
    /// its number.
    pub fn disconnect(&self, job: &str) -> Option<usize> {
        let mut submissions = self.lock();
        let n = submissions
            .iter()
            .rposition(|s| s.job == job && s.is_pending())?;
        submissions[n].disconnected = true;
        Some(n)
    }

    /// Returns a copy of all submissions.
    pub fn all(&self) -> Vec<Submission> {
        self.lock().clone()
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Submission>> {
        self.submissions
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
