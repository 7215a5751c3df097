//! The HTTP protocol between entry VMs and minions. A task is sent as a POST
//! whose headers identify the task and whose body is the caller's payload. A
//! minion that could not start the task answers 503 with [`STARTED_HEADER`] set
//! to `no`. Any other status except 200 means that the task started and failed.

/// Path at which a minion accepts tasks.
pub const TASK_PATH: &str = "/v1/tasks";

/// Header with the job's key.
pub const JOB_HEADER: &str = "pomelopost-job";

/// Header with the task's id within its job.
pub const TASK_HEADER: &str = "pomelopost-task";

/// Header with the service that the task is for.
pub const SERVICE_HEADER: &str = "pomelopost-service";

/// Header with the incarnation of the VM that sent the task.
pub const INCARNATION_HEADER: &str = "pomelopost-incarnation";

/// Header with the milliseconds left until the job's deadline.
pub const DEADLINE_HEADER: &str = "pomelopost-deadline-ms";

/// Response header, set to `no` when the task provably never started.
pub const STARTED_HEADER: &str = "pomelopost-started";
