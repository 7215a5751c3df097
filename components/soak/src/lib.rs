//! Random faults on real VM processes, injected from outside: signals, relays
//! between the processes, and stand-ins that misbehave. What callers and
//! minions see decides whether a rule was broken (docs/design/soak.md).

mod book;
mod check;
mod error;
mod load;
mod plan;
mod play;
mod process;
mod site;
mod vm;

pub use book::{Attempt, Book, Record};
pub use check::{Fault, check};
pub use error::SoakError;
pub use plan::{Plan, Shape, Step, Trouble, Way};
pub use play::{Options, Report, play};
pub use site::{Site, lasting_queue};
pub use vm::Vm;
