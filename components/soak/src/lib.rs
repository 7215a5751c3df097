//! Injects random faults into a site of real VM processes from outside: by
//! signals, by relays between the processes and by faulty stand-ins. Violations
//! are found in what callers and minions record (docs/design/soak.md).

mod check;
mod error;
mod load;
mod plan;
mod play;
mod process;
mod records;
mod site;
mod vm;

pub use check::{Evacuation, Violation, check, check_evacuations};
pub use error::SoakError;
pub use plan::{Direction, Fault, Plan, Shape, Step};
pub use play::{Options, Report, play};
pub use records::{Attempt, JobRecords, Record};
pub use site::{Site, lasting_queue};
pub use vm::Vm;
