//! Periodic work of the scheduler: late jobs, hung runs, lost stops, lapsed
//! leases and unhealthy minions.

use kernel::{Millis, Timestamp};

use crate::action::{Action, LossCause};
use crate::answers::SILENT_MISSES;
use crate::job::{Job, Outcome};
use crate::minion::{HoldState, Minion};
use crate::order::is_late;
use crate::scheduler::Scheduler;

impl Scheduler {
    /// Performs the periodic work. Call it every few tens of milliseconds.
    pub fn tick(&mut self, now: Timestamp) {
        if self.frozen {
            return;
        }
        self.expire(now);
        self.check_runs(now);
        self.judge_crashes(now);
        self.eject_unhealthy(now);
        self.compare_kinds();
        let retention = self.cfg.retention;
        self.ended_jobs
            .retain(|_, job| now.since(job.ended) < retention);
        self.place(now);
    }

    /// Ends jobs that can no longer be answered in time.
    fn expire(&mut self, now: Timestamp) {
        let slack = self.cfg.reply_slack;
        let fraction = self.cfg.refuse_fraction;
        let available = |m: &Minion| m.hold_state == HoldState::Held && !m.info.draining;
        let any_available = self.minions.values().any(available);
        let mut expired = Vec::new();
        for (id, job) in &self.jobs {
            if now.after(slack) >= job.deadline {
                expired.push((id.clone(), self.missed_outcome(job)));
                continue;
            }
            let waited = now.micros_since(job.arrived);
            let within_fraction = (waited as f64) < fraction * job.spec.objective.micros() as f64;
            if !job.started && (!any_available || !within_fraction && is_late(job, now)) {
                expired.push((id.clone(), self.missed_outcome(job)));
            }
        }
        for (id, outcome) in expired {
            self.settle(&id, outcome, now);
        }
    }

    fn missed_outcome(&self, job: &Job) -> Outcome {
        if job.started {
            return Outcome::Expired;
        }
        let load = self.queue.iter().filter_map(|id| self.jobs.get(id));
        let work: f64 = load.map(|j| self.waiting_work(j)).sum();
        let minions = self
            .minions
            .values()
            .filter(|m| m.hold_state == HoldState::Held);
        let cores: f64 = minions.map(|m| f64::from(m.info.capacity.cpu.0)).sum();
        Outcome::Refused {
            retry: Millis((work * 1000.0 / cores.max(1000.0)) as u64),
        }
    }

    /// Stops runs that hang, resends stops that got lost, and requeues runs of
    /// silent minions whose leases have lapsed.
    fn check_runs(&mut self, now: Timestamp) {
        let cfg = self.cfg.clone();
        let mut stops = Vec::new();
        let mut hung_runs = Vec::new();
        // The runs of a minion that obeys another owner are not lost.
        let silent = self.minions.values_mut();
        let silent = silent.filter(|m| m.missed_holds >= SILENT_MISSES && !m.runs.is_empty());
        let silent = silent.filter(|m| !m.losses_known && m.lease_lapsed(now, &cfg));
        let silent = silent.map(|m| {
            m.losses_known = true;
            (m.info.id.clone(), m.process(), m.runs.clone())
        });
        for (id, process, lost) in silent.collect::<Vec<_>>() {
            self.record_losses(&id, process, &lost, LossCause::Silent, now);
        }
        let lapsed = self.minions.values().flat_map(|minion| {
            let id = &minion.info.id;
            let runs = minion.lapsed_runs(now, &cfg);
            runs.map(move |run| (id.clone(), run.task.clone(), run.number))
        });
        for (id, task, number) in lapsed.collect::<Vec<_>>() {
            let minion = self.minions.get_mut(&id);
            if let Some(run) = minion.and_then(|m| m.remove(&task, number)) {
                self.requeue(&run);
            }
        }
        for minion in self.minions.values_mut() {
            for run in &mut minion.runs {
                let limit = run.expected.0 as f64 * cfg.hang_factor + cfg.hang_slack.0 as f64;
                // The run's end may be delayed by a hold whose answer got lost,
                // so only a list that still contains the run shows that it
                // hangs.
                let listed_for = minion.last_listing.since(run.sent);
                let hangs = run.job.is_some() && listed_for.0 as f64 > limit;
                if hangs && run.stop_sent.is_none() {
                    hung_runs.push((minion.info.id.clone(), run.clone()));
                    let hung = Action::Hung(minion.info.id.clone(), run.task.clone(), run.number);
                    self.actions.push(hung);
                    stops.push((minion.info.id.clone(), run.task.clone(), run.number));
                }
                let resend = run
                    .stop_sent
                    .is_some_and(|at| now.since(at) >= cfg.stop_retry);
                if resend {
                    stops.push((minion.info.id.clone(), run.task.clone(), run.number));
                }
            }
        }
        for (id, run) in &hung_runs {
            self.blame_failure(id, run);
        }
        for (id, task, number) in stops {
            self.stop(&id, &task, number, now);
        }
    }

    /// Ejects minions that fail or are slow, up to the configured share.
    fn eject_unhealthy(&mut self, now: Timestamp) {
        let held = self
            .minions
            .values()
            .filter(|m| m.hold_state == HoldState::Held);
        let held: Vec<_> = held
            .map(|m| (m.health.is_ejected(now), m.health.slowness))
            .collect();
        let mean_slowness = held.iter().map(|(_, s)| s).sum::<f64>() / held.len().max(1) as f64;
        let max_ejected = (held.len() as f64 * self.cfg.eject_share) as usize;
        let mut ejected = held.iter().filter(|(ejected, _)| *ejected).count();
        for minion in self.minions.values_mut() {
            if ejected >= max_ejected || minion.health.is_ejected(now) {
                continue;
            }
            if minion.health.should_eject(mean_slowness, &self.cfg) {
                let span = minion.health.eject(now, &self.cfg);
                let id = minion.info.id.clone();
                self.actions.push(Action::Ejected(id, span));
                ejected += 1;
            }
        }
    }
}
