//! The load of a run: callers that submit jobs at random times.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use futures::future::join_all;
use kernel::Millis;
use platform_standin::{Answer, Caller, Job, QueueRecord};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use standins::{Fate, LeasedFleet, Work};
use std::net::SocketAddr;

use crate::records::{Attempt, JobRecords};

/// Timeout of a job, which its caller states.
const JOB_TIMEOUT: Millis = Millis(1_500);

/// Timeout of a job that crashes minions, long enough for several starts.
const PATIENT_TIMEOUT: Millis = Millis(8_000);

/// Delay before a job without a final answer is resent, as by the platform's
/// clients (`retransmit-ms`).
const RESEND_DELAY: Duration = Duration::from_millis(1_300);

/// Maximum number of attempts to submit a job.
const MAX_ATTEMPTS: usize = 3;

/// Jobs per second and minion, about 0.6 of what fits on the minions.
const RATE: f64 = 2.0;

/// Time after which a caller that gives up early does so, in milliseconds.
const GIVE_UP_MS: std::ops::Range<u64> = 10..600;

/// Kinds of jobs: number of tasks, their run time in milliseconds, and relative
/// frequency.
const KINDS: [(u16, u64, u32); 4] = [(8, 60, 25), (4, 900, 5), (2, 200, 60), (1, 30, 10)];

/// Cores of every task, two of which fit on an ordinary minion.
const TASK_CORES: u32 = 14;

/// State that all callers share.
#[derive(Debug)]
pub(crate) struct Load {
    fleet: LeasedFleet,
    jobs: JobRecords,
    /// The addresses at which callers reach the VMs.
    fronts: Vec<SocketAddr>,
    /// The incarnation of each VM's process.
    incarnations: Vec<AtomicU32>,
    /// The newest version of the configuration.
    version: AtomicU64,
    /// The factor on the rate, in thousandths.
    factor: AtomicU64,
    /// The fraction of jobs that crash minions, in thousandths.
    poison: AtomicU64,
    caller: Caller,
    lasting: QueueRecord,
}

impl Load {
    /// Creates the load for VMs at these addresses.
    pub fn new(
        fleet: LeasedFleet,
        jobs: JobRecords,
        fronts: Vec<SocketAddr>,
        lasting: QueueRecord,
    ) -> Arc<Load> {
        Arc::new(Load {
            fleet,
            jobs,
            incarnations: fronts.iter().map(|_| AtomicU32::new(0)).collect(),
            fronts,
            version: AtomicU64::new(0),
            factor: AtomicU64::new(1_000),
            poison: AtomicU64::new(0),
            caller: Caller::default(),
            lasting,
        })
    }

    /// Sets the incarnation of a VM's process.
    pub fn set_incarnation(&self, vm: usize, incarnation: u32) {
        self.incarnations[vm].store(incarnation, Ordering::SeqCst);
    }

    /// Sets the newest version of the configuration.
    pub fn set_version(&self, version: u64) {
        self.version.store(version, Ordering::SeqCst);
    }

    /// Sets the factor on the rate of jobs.
    pub fn set_factor(&self, factor: f64) {
        self.factor
            .store((factor * 1_000.0) as u64, Ordering::SeqCst);
    }

    /// Sets the fraction of jobs that crash minions.
    pub fn set_poison(&self, share: f64) {
        self.poison
            .store((share * 1_000.0) as u64, Ordering::SeqCst);
    }

    /// Submits jobs until `end` is true, and then waits for the answers.
    pub async fn run(self: Arc<Load>, seed: u64, mut end: tokio::sync::watch::Receiver<bool>) {
        let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
        let mut poison_rng = Xoshiro256PlusPlus::seed_from_u64(!seed);
        let minions = self.fleet.infos().len() as f64;
        let mut calls = Vec::new();
        let mut number = 0;
        while !*end.borrow() {
            number += 1;
            let mut call = Call::draw(&mut rng, seed, number, self.fronts.len());
            if poison_rng.random_range(0..1_000) < self.poison.load(Ordering::SeqCst) {
                call.job.work.fate = Fate::Crashes;
                call.job.tasks = 1;
                call.job.timeout = PATIENT_TIMEOUT;
            }
            calls.push(tokio::spawn(self.clone().call(call)));
            let factor = self.factor.load(Ordering::SeqCst) as f64 / 1_000.0;
            let mean = 1.0 / (RATE * minions * factor);
            let gap = -mean * rng.random_range(f64::MIN_POSITIVE..1.0).ln();
            let _ = tokio::time::timeout(Duration::from_secs_f64(gap), end.changed()).await;
        }
        for ended in join_all(calls).await {
            if let Err(e) = ended
                && let Ok(panic) = e.try_into_panic()
            {
                std::panic::resume_unwind(panic);
            }
        }
    }

    async fn call(self: Arc<Load>, call: Call) {
        let version = self.version.load(Ordering::SeqCst);
        let own = call.own_queue && version > 0;
        let queue = match own.then(|| crate::site::version_queue(version)) {
            Some(Ok(queue)) => queue,
            _ => self.lasting.clone(),
        };
        let index = self.jobs.add_job(call.job.clone(), own.then_some(version));
        for (i, vm) in call.vms.iter().enumerate() {
            if i > 0 {
                tokio::time::sleep(RESEND_DELAY).await;
            }
            let answer = self.send(index, *vm, &queue, &call).await;
            if !answer.is_some_and(Answer::resent) {
                break;
            }
        }
        self.jobs.close(index);
    }

    async fn send(
        &self,
        index: usize,
        vm: usize,
        queue: &QueueRecord,
        call: &Call,
    ) -> Option<Answer> {
        let incarnation = self.incarnations[vm].load(Ordering::SeqCst);
        let sent = self.fleet.now();
        let answer = self.caller.submit(self.fronts[vm], queue, &call.job);
        let answer = tokio::time::timeout(call.give_up.duration(), answer).await;
        let attempt = Attempt {
            vm,
            incarnation,
            sent,
            ended: self.fleet.now(),
            answer: answer.ok(),
        };
        self.jobs.add_attempt(index, attempt);
        attempt.answer
    }

    /// Submits one job to a VM's queue and returns whether it was completed.
    pub async fn probe(&self, vm: usize, number: u64, version: Option<u64>) -> bool {
        let queue = match version.map(crate::site::version_queue) {
            None => self.lasting.clone(),
            Some(Ok(queue)) => queue,
            Some(Err(_)) => return false,
        };
        let Ok(id) = format!("{:016x}", PROBE_BIT | number).parse() else {
            return false;
        };
        let job = Job {
            id,
            tasks: 1,
            work: Work::new(TASK_CORES, Millis(30)),
            estimate: Millis(30),
            timeout: JOB_TIMEOUT,
        };
        let call = Call {
            job,
            vms: vec![vm],
            give_up: GIVE_UP_LATE,
            own_queue: version.is_some(),
        };
        let index = self.jobs.add_job(call.job.clone(), version);
        let answer = self.send(index, vm, &queue, &call).await;
        self.jobs.close(index);
        answer == Some(Answer::Completed)
    }

    /// Returns whether a VM reports that it is ready.
    pub async fn ready(&self, at: SocketAddr) -> bool {
        self.caller.ready(at, Duration::from_secs(1)).await
    }
}

/// Bit that is set in the ids of probe jobs.
const PROBE_BIT: u64 = 1 << 63;

/// Time after which all other callers give up, longer than any answer takes.
const GIVE_UP_LATE: Millis = Millis(10_000);

/// A job and the behaviour of its caller.
struct Call {
    job: Job,
    /// The VMs that it is sent to in turn, until one gives a final answer.
    vms: Vec<usize>,
    /// The time after which the caller gives up an attempt.
    give_up: Millis,
    /// Whether it goes to the newest version's own queue.
    own_queue: bool,
}

impl Call {
    fn draw(rng: &mut Xoshiro256PlusPlus, seed: u64, number: u64, vms: usize) -> Call {
        let kind = KINDS.choose_weighted(rng, |k| k.2);
        let (tasks, span, _) = kind.copied().unwrap_or(KINDS[0]);
        let work = Work {
            fate: match rng.random_bool(0.01) {
                true => Fate::Fails,
                false => Fate::Succeeds,
            },
            ..Work::new(TASK_CORES, Millis(span))
        };
        let estimate = span as f64 * rng.random_range(0.6..1.4);
        let key = (seed << 24 | number) & !PROBE_BIT;
        let give_up = match rng.random_bool(0.03) {
            true => Millis(rng.random_range(GIVE_UP_MS)),
            false => GIVE_UP_LATE,
        };
        Call {
            job: Job {
                // Sixteen hexadecimal digits always form a valid id.
                id: format!("{key:016x}")
                    .parse()
                    .unwrap_or_else(|e| panic!("{key:016x}: {e}")),
                tasks,
                work,
                estimate: Millis(estimate as u64),
                timeout: JOB_TIMEOUT,
            },
            vms: (0..MAX_ATTEMPTS)
                .map(|_| rng.random_range(0..vms))
                .collect(),
            give_up,
            own_queue: rng.random_bool(0.15),
        }
    }
}
