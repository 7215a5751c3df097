//! Handles tasks that may crash their minions: records the losses under them,
//! learns those that other owners have recorded, and gives tasks up.

use kernel::{MinionId, Timestamp};

use crate::action::{Action, LossCause};
use crate::crash::{CrashRecord, LossState, Verdict};
use crate::ids::JobId;
use crate::job::{Job, Outcome, TaskState};
use crate::minion::{HoldState, Minion, Process};
use crate::run::Run;
use crate::scheduler::Scheduler;

impl Scheduler {
    /// Records that `lost` ended with a minion's process. Those of a leaving minion
    /// end as announced.
    pub(crate) fn record_losses(
        &mut self,
        id: &MinionId,
        process: Process,
        lost: &[Run],
        cause: LossCause,
        now: Timestamp,
    ) {
        self.actions.extend(process.losses(id, lost, cause));
        if process.draining {
            return;
        }
        let alone = lost.len() == 1;
        let born = process.born;
        for run in lost {
            let record = CrashRecord::new(run.task.clone(), id.clone(), born, alone, cause);
            if self.crashes.add(record.clone(), now) {
                self.actions.push(Action::Crash(record));
            }
        }
    }

    /// Learns a loss that another owner has recorded.
    pub fn learn_crash(&mut self, record: CrashRecord, now: Timestamp) {
        self.crashes.add(record, now);
    }

    /// Returns whether a task of the job is given up, so that no task of it is
    /// started any more.
    pub fn is_poison(&self, job: &JobId, now: Timestamp) -> bool {
        self.crashes.poison_of(job, now).is_some()
    }

    /// Decides suspected losses by the minions' present state, and ends the jobs
    /// of which a task is given up.
    pub(crate) fn judge_crashes(&mut self, now: Timestamp) {
        if self.crashes.is_empty() {
            return;
        }
        self.crashes.expire(now);
        self.crashes_repeat = self.crashes.has_repeats();
        let minions = &self.minions;
        let observe = |record: &CrashRecord, since| match minions.get(&record.minion) {
            Some(minion) => observe_loss(minion, record, since),
            None => LossState::Suspected,
        };
        let changed = self.crashes.resolve(observe, now);
        self.actions.extend(changed.into_iter().map(Action::Crash));
        let accused = self.jobs.iter().filter_map(|(id, job)| {
            let (verdict, task) = self.crashes.worst_of(id, now)?;
            let outcome = match verdict {
                Verdict::Poison => Outcome::Failed,
                // The task could not end in time if it were found sound.
                Verdict::OnHold(until) if until.after(job.expected) >= job.deadline => {
                    Outcome::Expired
                }
                _ => return None,
            };
            Some((id.clone(), task.clone(), outcome))
        });
        for (id, task, outcome) in accused.collect::<Vec<_>>() {
            if outcome == Outcome::Failed {
                self.actions.push(Action::GivenUp(task));
            }
            self.settle(&id, outcome, now);
        }
    }

    /// Returns the number of minions that may be given to suspects now, so that
    /// these take only a part of the shard.
    pub(crate) fn suspect_room(&self) -> usize {
        let held = self.held_count() as f64 * self.cfg.suspect_share;
        let most = (held as usize).max(MIN_SUSPECTS);
        let kept = self.minions.values().filter(|m| m.hosts_suspect()).count();
        most.saturating_sub(kept)
    }

    /// Returns whether a task of the job that must be alone on its minion may be
    /// running.
    pub(crate) fn has_isolated_run(&self, job: &Job, now: Timestamp) -> bool {
        let placed = job.tasks.iter().filter(|t| t.state == TaskState::Placed);
        let mut verdicts = placed.map(|t| self.crashes.verdict(&t.name, now));
        verdicts.any(|v| v == Verdict::Isolated)
    }
}

/// Number of minions that even a small shard keeps for suspects.
const MIN_SUSPECTS: usize = 2;

/// Returns what a minion's present state says of a loss.
fn observe_loss(minion: &Minion, record: &CrashRecord, since: Timestamp) -> LossState {
    let answered = minion.hold_state == HoldState::Held && minion.last_listing > since;
    if minion.info.born > record.born {
        LossState::Confirmed
    } else if minion.info.born == record.born && answered {
        LossState::Cleared
    } else {
        LossState::Suspected
    }
}
