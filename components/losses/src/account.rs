//! Joins the lines of all VMs by job.

use compact_str::CompactString;
use kernel::HashMap;

use crate::job::{
    Answer, Answered, JobTrace, Marks, NameId, Names, OwnerEnd, OwnerRefusal, Received,
};
use crate::line::Line;
use crate::site::Site;

/// Lines and jobs that were left out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Skipped {
    /// Lines that are not a JSON object with the documented fields.
    pub lines: u64,
    /// Lines that VMs dropped because their reader was too slow.
    pub dropped: u64,
    /// Lines of jobs beyond the maximum number of jobs.
    pub excess: u64,
}

/// The jobs of a site and what became of them.
#[derive(Debug)]
pub struct Account {
    /// Names that the ids refer to.
    pub names: Names,
    /// VMs and shards.
    pub site: Site,
    /// Jobs by id.
    pub jobs: HashMap<CompactString, JobTrace>,
    /// What was left out.
    pub skipped: Skipped,
    max_jobs: usize,
}

impl Account {
    /// Creates an account of at most `max_jobs` jobs, which bounds its memory.
    pub fn new(max_jobs: usize) -> Account {
        Account {
            names: Names::default(),
            site: Site::default(),
            jobs: HashMap::default(),
            skipped: Skipped::default(),
            max_jobs,
        }
    }

    /// Adds a line. `file` names the VM if nothing stands before the line's first
    /// brace.
    pub fn add(&mut self, text: &str, file: &str) {
        let Ok(line) = Line::parse(text) else {
            self.skipped.lines += u64::from(!text.trim().is_empty());
            return;
        };
        let vm = self.names.id(Line::source(text).unwrap_or(file));
        match line.message.as_ref() {
            "started" => self.site.started(vm, line.domain.as_deref(), line.time),
            "stopping" => self.site.stopping(vm, line.time),
            "log lines dropped, their reader is too slow" => self.skipped.dropped += 1,
            _ => self.add_to_job(vm, &line),
        }
        if line.time.0 > 0 {
            self.site.saw(vm, line.time);
        }
    }

    /// Adds a line to its job.
    fn add_to_job(&mut self, vm: NameId, line: &Line<'_>) {
        let shard = line.shard.as_deref().map(|s| self.names.id(s));
        let message = line.message.as_ref();
        if let (Some(shard), true) = (shard, has_room(message)) {
            self.site.has_room(shard, line.time, line.room as f32);
        }
        let of_task = || line.task.as_deref().and_then(|t| t.split('.').next());
        let Some(id) = line.job.as_deref().or_else(of_task) else {
            return;
        };
        let queue = self.names.id(line.queue.as_deref().unwrap_or(""));
        let minion = self.names.id(line.minion.as_deref().unwrap_or(""));
        if !self.jobs.contains_key(id) && self.jobs.len() >= self.max_jobs {
            self.skipped.excess += 1;
            return;
        }
        let job = self.jobs.entry(id.into()).or_default();
        match message {
            "job received" => {
                let received = Received {
                    at: line.time,
                    vm,
                    queue,
                    tasks: line.tasks,
                    cores: line.cores as f32,
                    objective: line.objective_ms as u32,
                    patience: line.patience_ms as u32,
                };
                job.marks.resubmitted |= job.received.is_some();
                let earlier = job.received.filter(|r| r.at <= received.at);
                job.received = Some(earlier.unwrap_or(received));
            }
            "job answered" => job.answer(line),
            "job refused: no free capacity in time" => job.refusals.push(OwnerRefusal {
                at: line.time,
                shard: shard.unwrap_or_default(),
                room: line.room as f32,
                cores: line.cores as f32,
                waiting: line.waiting as f32,
                evacuated: line.evacuated,
            }),
            "job ended" => {
                let outcome = line.outcome.as_deref().and_then(Answer::parse);
                job.ended = outcome.map(|outcome| OwnerEnd {
                    shard: shard.unwrap_or_default(),
                    outcome,
                    expected: line.expected_ms as u32,
                    took: line.took_ms as u32,
                    waited: line.waited_ms as u32,
                    link: line.link_ms as u32,
                    run_ratio: line.run_ratio as f32,
                    last_ratio: line.last_ratio as f32,
                    minion,
                    failures: line.failures,
                });
            }
            _ => mark(&mut job.marks, message),
        }
    }
}

impl JobTrace {
    /// Takes the answer of a line. A caller that sends a job again may get several,
    /// of which a result counts most.
    fn answer(&mut self, line: &Line<'_>) {
        let Some(answer) = line.answer.as_deref().and_then(Answer::parse) else {
            return;
        };
        let done = |a: &Answered| a.answer == Answer::Completed;
        if !self.answered.as_ref().is_some_and(done) {
            self.answered = Some(Answered {
                answer,
                took: line.took_ms as u32,
            });
        }
    }
}

/// Returns whether lines with this message have the room of a shard as its owner
/// knows it.
fn has_room(message: &str) -> bool {
    matches!(
        message,
        "job ended" | "job refused: no free capacity in time"
    )
}

fn mark(marks: &mut Marks, message: &str) {
    match message {
        "job lost: no heartbeat from the owner" | "job lost: no answer from the owner" => {
            marks.owner_lost = true;
        }
        "owner could not be reached" => marks.unreachable = true,
        "job run again" => marks.repeated = true,
        "job cancelled: caller disconnected" => marks.caller_gone = true,
        "job cancelled: no heartbeat from the caller's VM" => marks.vm_gone = true,
        "run lost with its minion" => marks.run_lost = true,
        "run failed" | "hung run stopped" => marks.run_failed = true,
        "task given up: minions crashed under it"
        | "job failed: it has a task that was given up"
        | "job failed: a task of it was given up" => marks.given_up = true,
        "job rejected, invalid or not supported" => marks.rejected = true,
        _ => {}
    }
}
