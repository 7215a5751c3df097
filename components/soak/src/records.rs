//! Records of the jobs that callers sent and the answers they got.

use std::sync::{Arc, Mutex, MutexGuard};

use platform_standin::{Answer, Job};
use standins::lock;

/// One attempt to submit a job.
#[derive(Debug, Clone, Copy)]
pub struct Attempt {
    /// The index of the VM that it was sent to.
    pub vm: usize,
    /// The incarnation of the VM's process at that time, counted from 1.
    pub incarnation: u32,
    /// The time of sending in milliseconds on the minions' clock.
    pub sent: u64,
    /// The time at which the attempt ended, on the same clock.
    pub ended: u64,
    /// The answer, or none if the caller gave up.
    pub answer: Option<Answer>,
}

/// A job and the attempts to submit it.
#[derive(Debug, Clone)]
pub struct Record {
    /// The job.
    pub job: Job,
    /// The version to whose own queue the job was sent, or none for the lasting
    /// queue.
    pub version: Option<u64>,
    /// The attempts that have ended, in order.
    pub attempts: Vec<Attempt>,
    /// Whether an attempt is in progress or may follow.
    pub open: bool,
}

/// A cloneable handle to the records of all jobs of a run.
#[derive(Debug, Clone, Default)]
pub struct JobRecords(Arc<Mutex<Vec<Record>>>);

impl JobRecords {
    fn lock(&self) -> MutexGuard<'_, Vec<Record>> {
        lock(&self.0)
    }

    /// Adds a job and returns its index.
    pub fn add_job(&self, job: Job, version: Option<u64>) -> usize {
        let mut records = self.lock();
        records.push(Record {
            job,
            version,
            attempts: Vec::new(),
            open: true,
        });
        records.len() - 1
    }

    /// Adds an attempt that has ended.
    pub fn add_attempt(&self, index: usize, attempt: Attempt) {
        if let Some(record) = self.lock().get_mut(index) {
            record.attempts.push(attempt);
        }
    }

    /// Marks a job as not to be sent again.
    pub fn close(&self, index: usize) {
        if let Some(record) = self.lock().get_mut(index) {
            record.open = false;
        }
    }

    /// Returns the records of all jobs so far.
    pub fn records(&self) -> Vec<Record> {
        self.lock().clone()
    }
}
