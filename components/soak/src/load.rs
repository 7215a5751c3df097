//! The callers of a run.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use futures::future::join_all;
use kernel::Millis;
use platform_standin::{Answer, Caller, Job, QueueRecord};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use standins::{LeasedFleet, Work};
use std::net::SocketAddr;

use crate::book::{Attempt, Book};

/// How long a caller waits for an answer.
const PATIENCE: Millis = Millis(1_500);

/// How long after a missing answer a job is sent again, as the platform's
/// clients do (`retransmit-ms`).
const RESEND: Duration = Duration::from_millis(1_300);

/// How often a job is sent at most.
const SENDINGS: usize = 3;

/// Jobs a second for each minion: some six tenths of what packs.
const RATE: f64 = 2.0;

/// How long an impatient caller waits, in milliseconds.
const GIVE_UP_MS: std::ops::Range<u64> = 10..600;

/// Tasks of a job, their run time in milliseconds, and how often such a job
/// comes.
const KINDS: [(u16, u64, u32); 4] = [(8, 60, 25), (4, 900, 5), (2, 200, 60), (1, 30, 10)];

/// The cores of every task: two fit an ordinary minion.
const TASK_CORES: u32 = 14;

/// What all callers share.
#[derive(Debug)]
pub(crate) struct Load {
    fleet: LeasedFleet,
    book: Book,
    /// The VMs' fronts.
    fronts: Vec<SocketAddr>,
    /// How often each VM's process was started.
    lives: Vec<AtomicU32>,
    /// The newest version.
    version: AtomicU64,
    /// The factor on the rate, in thousandths.
    factor: AtomicU64,
    caller: Caller,
    lasting: QueueRecord,
}

impl Load {
    /// Prepares callers for VMs at these fronts.
    pub fn new(
        fleet: LeasedFleet,
        book: Book,
        fronts: Vec<SocketAddr>,
        lasting: QueueRecord,
    ) -> Arc<Load> {
        Arc::new(Load {
            fleet,
            book,
            lives: fronts.iter().map(|_| AtomicU32::new(0)).collect(),
            fronts,
            version: AtomicU64::new(0),
            factor: AtomicU64::new(1_000),
            caller: Caller::default(),
            lasting,
        })
    }

    /// Notes how often a VM's process was started.
    pub fn set_life(&self, vm: usize, life: u32) {
        self.lives[vm].store(life, Ordering::SeqCst);
    }

    /// Notes the newest version.
    pub fn set_version(&self, version: u64) {
        self.version.store(version, Ordering::SeqCst);
    }

    /// Changes the rate.
    pub fn set_factor(&self, factor: f64) {
        self.factor
            .store((factor * 1_000.0) as u64, Ordering::SeqCst);
    }

    /// Sends jobs until told to end, and then waits for the answers.
    pub async fn run(self: Arc<Load>, seed: u64, mut end: tokio::sync::watch::Receiver<bool>) {
        let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
        let minions = self.fleet.infos().len() as f64;
        let mut calls = Vec::new();
        let mut number = 0;
        while !*end.borrow() {
            number += 1;
            let call = Call::draw(&mut rng, seed, number, self.fronts.len());
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
        let place = self.book.enter(call.job.clone(), own.then_some(version));
        for (i, vm) in call.vms.iter().enumerate() {
            if i > 0 {
                tokio::time::sleep(RESEND).await;
            }
            let answer = self.send(place, *vm, &queue, &call).await;
            if !answer.is_some_and(Answer::resent) {
                break;
            }
        }
        self.book.close(place);
    }

    async fn send(
        &self,
        place: usize,
        vm: usize,
        queue: &QueueRecord,
        call: &Call,
    ) -> Option<Answer> {
        let life = self.lives[vm].load(Ordering::SeqCst);
        let sent = self.fleet.now();
        let answer = self.caller.submit(self.fronts[vm], queue, &call.job);
        let answer = tokio::time::timeout(call.leaves.duration(), answer).await;
        let attempt = Attempt {
            vm,
            life,
            sent,
            ended: self.fleet.now(),
            answer: answer.ok(),
        };
        self.book.add(place, attempt);
        attempt.answer
    }

    /// Submits one job to a VM's queue and tells whether it was completed.
    pub async fn probe(&self, vm: usize, number: u64, version: Option<u64>) -> bool {
        let queue = match version.map(crate::site::version_queue) {
            None => self.lasting.clone(),
            Some(Ok(queue)) => queue,
            Some(Err(_)) => return false,
        };
        let Ok(id) = format!("{:016x}", PROBES | number).parse() else {
            return false;
        };
        let job = Job {
            id,
            tasks: 1,
            work: Work::new(TASK_CORES, Millis(30)),
            estimate: Millis(30),
            timeout: PATIENCE,
        };
        let call = Call {
            job,
            vms: vec![vm],
            leaves: LEAVES_LATE,
            own_queue: version.is_some(),
        };
        let place = self.book.enter(call.job.clone(), version);
        let answer = self.send(place, vm, &queue, &call).await;
        self.book.close(place);
        answer == Some(Answer::Completed)
    }

    /// Tells whether a VM says that it is ready.
    pub async fn ready(&self, at: SocketAddr) -> bool {
        self.caller.ready(at, Duration::from_secs(1)).await
    }
}

/// The ids of jobs that only look whether VMs serve begin with this bit.
const PROBES: u64 = 1 << 63;

/// Longer than any answer takes.
const LEAVES_LATE: Millis = Millis(10_000);

/// A job and how its caller behaves.
struct Call {
    job: Job,
    /// Where it is sent, in turn, while no answer comes.
    vms: Vec<usize>,
    /// When the caller gives up.
    leaves: Millis,
    /// Whether it goes to the newest version's own queue.
    own_queue: bool,
}

impl Call {
    fn draw(rng: &mut Xoshiro256PlusPlus, seed: u64, number: u64, vms: usize) -> Call {
        let kind = KINDS.choose_weighted(rng, |k| k.2);
        let (tasks, span, _) = kind.copied().unwrap_or(KINDS[0]);
        let work = Work {
            fails: rng.random_bool(0.01),
            ..Work::new(TASK_CORES, Millis(span))
        };
        let estimate = span as f64 * rng.random_range(0.6..1.4);
        let key = (seed << 24 | number) & !PROBES;
        let leaves = match rng.random_bool(0.03) {
            true => Millis(rng.random_range(GIVE_UP_MS)),
            false => LEAVES_LATE,
        };
        Call {
            job: Job {
                // Sixteen hexadecimal digits are an id.
                id: format!("{key:016x}")
                    .parse()
                    .unwrap_or_else(|e| panic!("{key:016x}: {e}")),
                tasks,
                work,
                estimate: Millis(estimate as u64),
                timeout: PATIENCE,
            },
            vms: (0..SENDINGS).map(|_| rng.random_range(0..vms)).collect(),
            leaves,
            own_queue: rng.random_bool(0.15),
        }
    }
}
