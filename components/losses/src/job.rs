//! What the lines of all VMs say of one job.

use compact_str::CompactString;
use kernel::{HashMap, Millis};

use crate::time::WallMillis;

/// Index of a name in [`Names`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct NameId(u32);

/// Names of VMs, shards, queues and minions, each kept once.
#[derive(Debug, Clone, Default)]
pub struct Names {
    ids: HashMap<CompactString, NameId>,
    names: Vec<CompactString>,
}

impl Names {
    /// Returns the id of a name.
    pub fn id(&mut self, name: &str) -> NameId {
        if let Some(id) = self.ids.get(name) {
            return *id;
        }
        let id = NameId(self.names.len() as u32);
        self.ids.insert(name.into(), id);
        self.names.push(name.into());
        id
    }

    /// Returns the name with this id.
    pub fn get(&self, id: NameId) -> &str {
        self.names.get(id.0 as usize).map_or("", |n| n.as_str())
    }
}

/// How the VM that took a job answered it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answer {
    /// The job is done.
    Completed,
    /// A task failed as often as it may.
    Failed,
    /// The job has not run.
    Refused(Millis),
    /// The job may have run, and its result is lost.
    Lost,
    /// The job ran and could not end before its caller left.
    Expired,
}

impl Answer {
    /// Parses the field `answer` or `outcome` of a line.
    pub fn parse(text: &str) -> Option<Answer> {
        match text {
            "Completed" => Some(Answer::Completed),
            "Failed" => Some(Answer::Failed),
            "Lost" => Some(Answer::Lost),
            "Expired" => Some(Answer::Expired),
            _ => {
                let digits = |c: char| c.is_ascii_digit();
                let refused = text.strip_prefix("Refused")?;
                let from = refused.find(digits)?;
                let number = refused[from..].split(|c| !digits(c)).next()?;
                Some(Answer::Refused(Millis(number.parse().ok()?)))
            }
        }
    }
}

/// How a job came in.
#[derive(Debug, Clone, Copy)]
pub struct Received {
    /// Time at which the VM had read it.
    pub at: WallMillis,
    /// VM that took it from its caller.
    pub vm: NameId,
    /// Queue that it belongs to.
    pub queue: NameId,
    /// Number of its tasks.
    pub tasks: u32,
    /// Cores that the tasks of its first step need together.
    pub cores: f32,
    /// Latency objective in milliseconds.
    pub objective: u32,
    /// Time in milliseconds for which the caller waits.
    pub patience: u32,
}

/// The answer to a job's caller.
#[derive(Debug, Clone, Copy)]
pub struct Answered {
    /// What the caller was told.
    pub answer: Answer,
    /// Time in milliseconds since the job was received.
    pub took: u32,
}

/// A refusal by the owner of a shard.
#[derive(Debug, Clone, Copy)]
pub struct OwnerRefusal {
    /// Time of the refusal on the owner's clock.
    pub at: WallMillis,
    /// Shard that the job was offered to.
    pub shard: NameId,
    /// Free cores there that tasks of the job's size could use.
    pub room: f32,
    /// Cores of all minions that accept work there.
    pub cores: f32,
    /// Core milliseconds in the queue there.
    pub waiting: f32,
    /// Whether the shard's domain was being evacuated.
    pub evacuated: bool,
}

/// The end of a job at the owner of a shard.
#[derive(Debug, Clone, Copy)]
pub struct OwnerEnd {
    /// Shard that ran the job.
    pub shard: NameId,
    /// How it ended.
    pub outcome: Answer,
    /// Expected time in milliseconds, once all tasks can start.
    pub expected: u32,
    /// Time in milliseconds at the owner.
    pub took: u32,
    /// Time in milliseconds until the last start.
    pub waited: u32,
    /// Time in milliseconds that the last start order waited for the VM's link.
    pub link: u32,
    /// Mean ratio of actual over estimated run time of all runs but the last.
    pub run_ratio: f32,
    /// That ratio of the run that ended last.
    pub last_ratio: f32,
    /// Minion of that run.
    pub minion: NameId,
    /// Number of runs that failed.
    pub failures: u32,
}

/// Events of a job that have no figures.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Marks {
    /// Its owner was lost, or its answer.
    pub owner_lost: bool,
    /// Its owner could not be reached.
    pub unreachable: bool,
    /// It was run again after a loss.
    pub repeated: bool,
    /// Its caller disconnected.
    pub caller_gone: bool,
    /// Its owner received no heartbeat from the VM that took it.
    pub vm_gone: bool,
    /// A run was lost with its minion.
    pub run_lost: bool,
    /// A run failed or was stopped because it hung.
    pub run_failed: bool,
    /// A task was given up because minions crashed under it.
    pub given_up: bool,
    /// The submission was invalid or asked for what is not supported.
    pub rejected: bool,
    /// The caller submitted it again.
    pub resubmitted: bool,
}

/// Everything known of one job.
#[derive(Debug, Clone, Default)]
pub struct JobTrace {
    /// How it came in first; `None` if no VM has a line of that.
    pub received: Option<Received>,
    /// The answer to its caller.
    pub answered: Option<Answered>,
    /// Refusals of owners, in the order of the lines.
    pub refusals: Vec<OwnerRefusal>,
    /// The last end at an owner.
    pub ended: Option<OwnerEnd>,
    /// Events without figures.
    pub marks: Marks,
}
