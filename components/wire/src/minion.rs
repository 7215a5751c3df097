//! How a task reaches a minion: a POST whose headers carry the task's identity
//! and whose body is the caller's payload. A minion that could not start the
//! task answers 503 with [`STARTED_HEADER`] `no`; any other status but 200
//! means that the task started and failed.

/// Where a minion takes tasks.
pub const TASK_PATH: &str = "/v1/tasks";

/// The job's key.
pub const JOB_HEADER: &str = "pomelopost-job";

/// The task's id within its job.
pub const TASK_HEADER: &str = "pomelopost-task";

/// The service that the task is for.
pub const SERVICE_HEADER: &str = "pomelopost-service";

/// The incarnation of the VM that sent the task.
pub const INCARNATION_HEADER: &str = "pomelopost-incarnation";

/// The milliseconds left until the job's deadline.
pub const DEADLINE_HEADER: &str = "pomelopost-deadline-ms";

/// `no` on an answer whose task provably never started.
pub const STARTED_HEADER: &str = "pomelopost-started";
