//! Selection of the tasks that start now, and the orders to start and stop
//! runs.

use kernel::{MinionId, RunNumber, Timestamp};

use crate::action::{Action, StartOrder, StopOrder};
use crate::crash::Verdict;
use crate::estimate::RunTimes;
use crate::forecast::Forecast;
use crate::ids::{JobId, TaskName};
use crate::job::{Job, TaskState};
use crate::order::rank;
use crate::place::{Candidates, Choice};
use crate::run::{Phase, Run};
use crate::scheduler::Scheduler;

/// A task and the minion on which it starts.
#[derive(Debug)]
struct Placement {
    job: JobId,
    /// Index of the task in the job.
    index: usize,
    minion: MinionId,
    /// Part of the job's value that the start is expected to lose.
    risk: f64,
    /// Whether nothing else is started on the minion meanwhile.
    alone: bool,
}

/// Number of blocked jobs that reserve a minion in each round; more would leave
/// capacity idle that other jobs can use.
const RESERVATIONS: usize = 2;

impl Scheduler {
    /// Starts all tasks that fit, in the order of their jobs.
    pub(crate) fn place(&mut self, now: Timestamp) {
        self.queue
            .retain(|id| self.jobs.get(id).is_some_and(Job::has_waiting));
        if self.queue.is_empty() || self.frozen {
            return;
        }
        if self.evacuated {
            self.give_back(now);
            return;
        }
        if self.register_wait.is_some_and(|until| now < until) {
            return;
        }
        let jobs = &self.jobs;
        self.queue
            .sort_by_cached_key(|id| jobs.get(id).map(|j| rank(j, now)));
        let mut candidates = Candidates::new(&self.minions, now);
        let mut forecast = self.evidence.is_uneven().then(|| {
            let forecast = Forecast::new(&self.evidence, self.gain, now.after(self.delay));
            candidates.use_forecast(&self.minions, &forecast, now);
            forecast
        });
        let mut placements = Vec::new();
        let mut blocked = 0;
        let accused = |id: &JobId| self.crashes.accuses(id);
        let mut suspect_room = match self.queue.iter().any(accused) {
            true => self.suspect_room(),
            false => 0,
        };
        for id in &self.queue {
            if candidates.is_empty() {
                break;
            }
            let Some(job) = self.jobs.get(id) else {
                continue;
            };
            // Wait for the runs of an earlier submission to end. A VM that was
            // suspended gets here before it has ended the jobs that lapsed meanwhile.
            if !job.may_start(now) || self.has_earlier_runs(job) {
                continue;
            }
            let tightness = job.tightness(now);
            let mut worst = job.worst_risk();
            let accused = accused(id);
            let mut isolated_run = accused && self.has_isolated_run(job, now);
            for index in job.runnable() {
                let task = &job.tasks[index];
                let step = &job.spec.steps[usize::from(task.step)];
                let service = &job.spec.service;
                let mut choose = |alone| match &mut forecast {
                    Some(forecast) => {
                        let task = forecast.task(job, index, worst);
                        let gain = task.gain();
                        let choice = candidates.assign_by_end(step, service, &task, alone);
                        if matches!(choice, Choice::Start(..)) {
                            forecast.record_gain(gain);
                        }
                        choice
                    }
                    None => match candidates.assign(step, service, tightness, alone) {
                        Some(minion) => Choice::Start(minion, 0.0),
                        None => Choice::Full,
                    },
                };
                let verdict = match accused {
                    true => self.crashes.verdict(&task.name, now),
                    false => Verdict::Clear,
                };
                let mut alone = verdict != Verdict::Clear && suspect_room > 0;
                let choice = match verdict {
                    Verdict::OnHold(_) | Verdict::Poison => continue,
                    Verdict::Isolated if !alone || isolated_run => continue,
                    Verdict::Suspect if self.crashes_repeat && !alone => continue,
                    Verdict::Suspect if !self.crashes_repeat => match choose(alone) {
                        Choice::Full if alone => {
                            alone = false;
                            choose(alone)
                        }
                        choice => choice,
                    },
                    _ => choose(alone),
                };
                match choice {
                    Choice::Start(minion, risk) => {
                        worst = worst.max(risk);
                        suspect_room = suspect_room.saturating_sub(usize::from(alone));
                        isolated_run |= verdict == Verdict::Isolated;
                        placements.push(Placement {
                            job: id.clone(),
                            index,
                            minion,
                            risk,
                            alone,
                        });
                    }
                    Choice::Wait => {}
                    Choice::Full => {
                        if blocked < RESERVATIONS {
                            candidates.reserve(step, &job.spec.service);
                        }
                        blocked += 1;
                        break;
                    }
                }
            }
        }
        if let Some(forecast) = forecast {
            self.gain = forecast.gain();
        }
        for placement in placements {
            self.start(placement, now);
        }
    }

    /// Returns whether runs of an earlier submission of the job may still be
    /// executing.
    fn has_earlier_runs(&self, job: &Job) -> bool {
        if job.started {
            return false;
        }
        let id = &job.spec.id;
        let runs = self.minions.values().flat_map(|m| &m.runs);
        runs.filter(|r| r.job.is_none() || r.stop_sent.is_some())
            .any(|r| r.task.job().as_ref() == Some(id))
    }

    fn start(&mut self, placement: Placement, now: Timestamp) {
        let Placement {
            job: id,
            index,
            minion: on,
            risk,
            alone,
        } = placement;
        let RunTimes {
            baseline,
            typical,
            expected,
        } = self.run_times(&id, index, &on);
        let (Some(job), Some(minion)) = (self.jobs.get_mut(&id), self.minions.get_mut(&on)) else {
            return;
        };
        let Some(clock) = minion.clock_at(now) else {
            return;
        };
        let lease = clock.after(self.cfg.lease);
        let task = &mut job.tasks[index];
        task.state = TaskState::Placed;
        task.risk = risk;
        task.run = RunNumber(task.run.0 + 1);
        job.started = true;
        job.last_start = now;
        job.link_delay = self.delay;
        minion.last_renewal = now;
        minion.runs.push(Run {
            task: task.name.clone(),
            number: task.run,
            job: Some((id.clone(), index)),
            need: Some(job.spec.steps[usize::from(task.step)].need),
            phase: Phase::Starting,
            attributed: false,
            born: minion.info.born,
            sent: now,
            baseline,
            typical,
            expected,
            alone,
            confirmed: None,
            last_contact: now,
            start_limit: lease,
            stop_sent: None,
            stop_acked: None,
        });
        self.actions.push(Action::Start(StartOrder {
            minion: on.clone(),
            addr: minion.info.addr,
            fence: minion.fence,
            task: task.name.clone(),
            run: task.run,
            payload: job.spec.payload.clone(),
            lease,
        }));
    }

    /// Orders a run to stop. It counts against the minion's capacity until a
    /// list shows that it is gone.
    pub(crate) fn stop(&mut self, on: &MinionId, task: &TaskName, run: RunNumber, now: Timestamp) {
        let Some(minion) = self.minions.get_mut(on) else {
            return;
        };
        let order = StopOrder {
            minion: on.clone(),
            addr: minion.info.addr,
            fence: minion.fence,
            task: task.clone(),
            run,
        };
        if let Some(run) = minion.run_mut(task, run) {
            run.stop_sent = Some(now);
            self.actions.push(Action::Stop(order));
        }
    }
}
