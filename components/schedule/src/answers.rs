//! Handlers for the minions' answers.

use kernel::{Fence, LeaseTime, Millis, MinionId, RunNumber, Sequence, Timestamp};

use crate::action::{Action, LossCause};
use crate::ids::TaskName;
use crate::job::{Blame, Outcome, TaskState};
use crate::minion::{EndKind, HoldOrder, HoldState, Listing, NextHold, StartReply};
use crate::run::{Phase, Run};
use crate::scheduler::Scheduler;

/// Result of processing a minion's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HoldResult {
    /// The minion was held already and still is.
    Held,
    /// The minion is held from now on.
    Taken,
    /// The minion's process is another one than known; call
    /// [`Scheduler::restarted`].
    Restarted,
    /// The list is under another token or does not say which process made it, the
    /// minion is unknown, or the scheduler is frozen.
    Ignored,
}

/// Number of consecutive unanswered holds after which a minion counts as silent
/// and its lease is no longer renewed; single ones get lost now and then.
pub(crate) const SILENT_MISSES: u32 = 3;

/// Time after an unanswered hold during which the next ones use the short wait.
/// A lost answer is noticed only when the wait has passed.
const RECENT_MISS: Millis = Millis(2_000);

/// Largest ratio of a run's time to that expected on its kind of minion that
/// counts for an ejection, where kinds differ in speed. A single task may take
/// seven times as long as others; a slow minion shows after five runs.
const STRAGGLER_RATIO: f64 = 3.0;

impl Scheduler {
    /// Returns the next hold to send to a minion, or how long to pause; `None`
    /// if the minion is unknown or the scheduler is frozen.
    pub fn hold(&mut self, id: &MinionId, now: Timestamp) -> Option<NextHold> {
        if self.frozen {
            return None;
        }
        let lease = self.cfg.lease;
        let minion = self.minions.get_mut(id)?;
        if let Some(pause) = minion.contest.pause(now) {
            return Some(NextHold::Pause(pause));
        }
        minion.hold_sent = now;
        // Renewing the lease of a minion whose answers don't arrive would keep
        // runs alive that can't be stopped.
        let renew = minion.hold_state == HoldState::Held;
        let until = renew.then(|| minion.clock_at(now)).flatten();
        if until.is_some() {
            minion.last_renewal = now;
        }
        let recent_miss = minion
            .last_missed
            .is_some_and(|at| now.since(at) < RECENT_MISS);
        let responsive = renew && minion.missed_holds == 0;
        // After a miss the process may be another one, which would drop its own ends.
        let seen = if responsive { minion.seen } else { 0 };
        let wait = match (responsive, recent_miss) {
            (false, _) => Millis(0),
            (true, true) => self.cfg.short_wait,
            (true, false) => self.cfg.hold_wait,
        };
        Some(NextHold::Send(HoldOrder {
            addr: minion.info.addr,
            fence: minion.fence,
            seen,
            lease: until.map(|clock| clock.after(lease)),
            wait,
        }))
    }

    /// Records a hold that got no answer. Returns true if the minion counts as
    /// silent from now on. While this VM's link is busy the answer is rather late
    /// than lost, and shorter waits would only add to the queue.
    pub fn hold_missed(&mut self, id: &MinionId, now: Timestamp) -> bool {
        let busy = self.link_busy || self.delay.0 * 2 >= self.cfg.short_wait.0;
        let Some(minion) = self.minions.get_mut(id) else {
            return false;
        };
        minion.missed_holds += 1;
        if !busy {
            minion.last_missed = Some(now);
        }
        let silent = minion.hold_state == HoldState::Held && minion.missed_holds >= SILENT_MISSES;
        if silent {
            minion.hold_state = HoldState::Silent;
        }
        silent
    }

    /// Records that a minion has rejected an order because it has seen a higher
    /// token: its runs now belong to another owner. `refused` is the rejected
    /// token, `next` the token for taking the minion again; `rightful` is true
    /// if this VM is likely the rightful owner. Returns true if the minion had
    /// been held under the rejected token.
    pub fn fenced(
        &mut self,
        id: &MinionId,
        refused: Fence,
        next: Fence,
        rightful: bool,
        now: Timestamp,
    ) -> bool {
        let Some(minion) = self.minions.get_mut(id) else {
            return false;
        };
        if minion.fence != refused {
            return false;
        }
        minion.missed_holds = 0;
        let taken = minion.hold_state != HoldState::Pending;
        if taken {
            minion.contest.record_loss(rightful, now);
        }
        minion.hold_state = HoldState::Pending;
        minion.fence = next;
        taken
    }

    /// Resets a minion whose process is another one than known. It gets no work until
    /// the register reports its size.
    pub fn restarted(&mut self, id: &MinionId, born: u64, fence: Fence) {
        self.reset_minion(id);
        if let Some(minion) = self.minions.get_mut(id) {
            if born < minion.info.born {
                minion.refuted = Some(minion.info.born);
            }
            minion.info.born = born;
            minion.info.sequence = Sequence(0);
            minion.info.draining = true;
            minion.fence = fence;
        }
    }

    /// Processes a minion's list, the answer to a hold under `fence`. Only a
    /// list under the current token proves that no earlier order will still be
    /// carried out.
    pub fn listed(
        &mut self,
        id: &MinionId,
        fence: Fence,
        list: Listing,
        now: Timestamp,
    ) -> HoldResult {
        if self.frozen {
            return HoldResult::Ignored;
        }
        let Some(minion) = self.minions.get_mut(id) else {
            return HoldResult::Ignored;
        };
        // A list without the start of its process can't be attributed to one.
        if fence != minion.fence || list.born == 0 && minion.info.born > 0 {
            return HoldResult::Ignored;
        }
        // The token is newer than the entry, so the process that answers under it was
        // alive after the entry was read. An entry with a later start is false.
        if list.born != minion.info.born {
            return HoldResult::Restarted;
        }
        let newest = minion.clock.is_none_or(|(clock, _)| list.clock >= clock);
        minion.update_clock(list.clock, now);
        if newest {
            minion.last_listing = now;
            minion.listing_asked = minion.hold_sent;
        }
        minion.missed_holds = 0;
        minion.losses_known = false;
        minion.full = false;
        let taken = minion.hold_state != HoldState::Held;
        minion.hold_state = HoldState::Held;
        let mut ended = Vec::new();
        for end in &list.ended {
            if end.number <= minion.seen {
                continue;
            }
            minion.seen = end.number;
            if let Some(run) = minion.remove(&end.task, end.run) {
                ended.push((run, end.kind));
            }
        }
        let (gone, former) = match newest {
            true => (minion.reconcile(&list, now), minion.former.take()),
            false => (Vec::new(), None),
        };
        let former = former.filter(|process| process.born != list.born);
        let foreign = minion.runs.iter();
        let foreign = foreign.filter(|r| r.job.is_none() && r.stop_sent.is_none());
        let foreign: Vec<_> = foreign.map(|r| (r.task.clone(), r.number)).collect();
        if let Some(former) = former {
            self.record_losses(id, former, &gone, LossCause::Restarted, now);
        }
        for (task, number) in foreign {
            self.record_run(&task, number, now);
            self.stop(id, &task, number, now);
        }
        for (run, kind) in ended {
            self.run_ended(id, &run, kind, now);
        }
        for run in gone {
            self.requeue(&run);
        }
        self.place(now);
        match taken {
            true => HoldResult::Taken,
            false => HoldResult::Held,
        }
    }

    /// Processes the answer to a start.
    pub fn started(
        &mut self,
        id: &MinionId,
        task: &TaskName,
        number: RunNumber,
        reply: StartReply,
        now: Timestamp,
    ) {
        if self.frozen {
            return;
        }
        let Some(minion) = self.minions.get_mut(id) else {
            return;
        };
        // A former process may have answered, whose clock and room say nothing.
        let born = minion.info.born;
        let run = minion.run_mut(task, number);
        let current = run.is_some_and(|run| run.born == born);
        if current {
            minion.observe_start(reply, now);
        }
        let attributed = matches!(reply, StartReply::Accepted(c) if minion.is_attributed(c, now));
        if let Some(run) = minion.run_mut(task, number) {
            run.last_contact = now;
        }
        match (reply, minion.run_mut(task, number)) {
            (StartReply::Accepted(clock), Some(run)) if current => {
                run.phase = Phase::Running;
                run.attributed |= attributed;
                run.confirmed = Some(clock);
            }
            (StartReply::NoAnswer, Some(run)) if run.phase == Phase::Starting => {
                run.phase = Phase::Unconfirmed;
                self.stop(id, task, number, now);
            }
            (StartReply::Accepted(_) | StartReply::NoAnswer, _) => {}
            _ => self.start_refused(id, task, number, reply, now),
        }
    }

    /// Removes a run that no process of the minion has begun.
    fn start_refused(
        &mut self,
        id: &MinionId,
        task: &TaskName,
        number: RunNumber,
        reply: StartReply,
        now: Timestamp,
    ) {
        let minion = self.minions.get_mut(id);
        let Some(run) = minion.and_then(|m| m.remove(task, number)) else {
            return;
        };
        match reply {
            StartReply::Malformed => self.run_failed(&run, now),
            _ => self.requeue(&run),
        }
        self.place(now);
    }

    /// Processes the acknowledgement of a stop. The capacity is free only when
    /// a list shows that the run is gone.
    pub fn stopped(
        &mut self,
        id: &MinionId,
        task: &TaskName,
        number: RunNumber,
        clock: LeaseTime,
        now: Timestamp,
    ) {
        let Some(minion) = self.minions.get_mut(id) else {
            return;
        };
        if let Some(run) = minion.run_mut(task, number) {
            run.stop_acked = Some(clock);
            run.last_contact = now;
        }
    }

    /// Processes the end of a run.
    fn run_ended(&mut self, id: &MinionId, run: &Run, kind: EndKind, now: Timestamp) {
        let took = now.since(run.sent).0 as f64;
        if let Some(minion) = self.minions.get_mut(id) {
            let ratio = took / run.baseline.0.max(1) as f64;
            let mut kind_ratio = took / run.typical.0.max(1) as f64;
            if self.evidence.is_uneven() {
                kind_ratio = kind_ratio.min(STRAGGLER_RATIO);
            }
            match kind {
                EndKind::Done if run.job.is_some() => {
                    minion.health.record_success(ratio, kind_ratio);
                }
                _ => {}
            }
        }
        if kind == EndKind::Failed {
            self.blame_failure(id, run);
        }
        if run.job.is_some() && matches!(kind, EndKind::Failed | EndKind::Lapsed) {
            let failed = Action::Failed(id.clone(), run.task.clone(), run.number, kind);
            self.actions.push(failed);
        }
        match kind {
            EndKind::Done => self.run_done(id, run, took, now),
            EndKind::Failed => self.run_failed(run, now),
            EndKind::Stopped | EndKind::Lapsed => self.requeue(run),
        }
    }

    fn run_done(&mut self, on: &MinionId, run: &Run, took: f64, now: Timestamp) {
        let Some((id, index)) = &run.job else {
            return;
        };
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let task = &mut job.tasks[*index];
        if task.state != TaskState::Placed || task.run != run.number {
            return;
        }
        task.state = TaskState::Done;
        let acquitted = self.crashes.acquit(&run.task, now);
        self.actions
            .extend(acquitted.into_iter().map(Action::Crash));
        let step = usize::from(task.step);
        job.unfinished[step] -= 1;
        let estimate = job.spec.steps[step].estimate.0.max(1) as f64;
        job.ratios.add(on, took / estimate);
        let queue = job.spec.queue.clone();
        let done = job.is_done();
        self.learn(&queue, took / estimate);
        self.learn_kind(on, &queue, took / estimate, now);
        if done {
            self.settle(id, Outcome::Completed, now);
        }
    }

    /// Decides whether a run that failed or hung counts against its minion. A task
    /// that fails on a second minion is at fault itself, or a job that can't be done
    /// would have one minion after another ejected.
    pub(crate) fn blame_failure(&mut self, on: &MinionId, run: &Run) {
        let Some((id, index)) = &run.job else {
            return;
        };
        let blame = match self.jobs.get_mut(id) {
            Some(job) => &mut job.tasks[*index].blame,
            None => &mut Blame::Nobody,
        };
        match blame {
            Blame::Task => {}
            Blame::Minion(first) if first != on => {
                if let Some(first) = self.minions.get_mut(first) {
                    first.health.forgive_failure();
                }
                *blame = Blame::Task;
            }
            Blame::Nobody | Blame::Minion(_) => {
                *blame = Blame::Minion(on.clone());
                if let Some(minion) = self.minions.get_mut(on) {
                    minion.health.record_failure();
                }
            }
        }
    }

    /// Counts a failed run. The job fails when the task has used up its
    /// attempts.
    fn run_failed(&mut self, run: &Run, now: Timestamp) {
        let Some((id, index)) = &run.job else {
            return;
        };
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let task = &mut job.tasks[*index];
        if task.run != run.number {
            return;
        }
        task.failures += 1;
        if task.failures >= job.spec.attempts {
            self.settle(id, Outcome::Failed, now);
        } else {
            self.requeue(run);
        }
    }
}
