//! What callers asked for and were told.

use std::sync::{Arc, Mutex, MutexGuard};

use platform_standin::{Answer, Job};
use standins::lock;

/// One sending of a job.
#[derive(Debug, Clone, Copy)]
pub struct Attempt {
    /// The VM, by its position.
    pub vm: usize,
    /// Which life of the VM's process had begun when it was sent.
    pub life: u32,
    /// When it was sent, in milliseconds on the minions' clock.
    pub sent: u64,
    /// When it ended.
    pub ended: u64,
    /// The answer; none if the caller gave up.
    pub answer: Option<Answer>,
}

/// A job and its sendings.
#[derive(Debug, Clone)]
pub struct Record {
    /// The job.
    pub job: Job,
    /// The version whose own queue it was sent to; none for the lasting queue.
    pub version: Option<u64>,
    /// The sendings, in order.
    pub attempts: Vec<Attempt>,
    /// True while another sending is under way or to come.
    pub open: bool,
}

/// A cloneable book of all jobs of a run.
#[derive(Debug, Clone, Default)]
pub struct Book(Arc<Mutex<Vec<Record>>>);

impl Book {
    fn lock(&self) -> MutexGuard<'_, Vec<Record>> {
        lock(&self.0)
    }

    /// Enters a job and returns its place.
    pub fn enter(&self, job: Job, version: Option<u64>) -> usize {
        let mut records = self.lock();
        records.push(Record {
            job,
            version,
            attempts: Vec::new(),
            open: true,
        });
        records.len() - 1
    }

    /// Adds a sending that has ended.
    pub fn add(&self, place: usize, attempt: Attempt) {
        if let Some(record) = self.lock().get_mut(place) {
            record.attempts.push(attempt);
        }
    }

    /// Notes that the job is not sent again.
    pub fn close(&self, place: usize) {
        if let Some(record) = self.lock().get_mut(place) {
            record.open = false;
        }
    }

    /// Returns all jobs so far.
    pub fn records(&self) -> Vec<Record> {
        self.lock().clone()
    }
}
