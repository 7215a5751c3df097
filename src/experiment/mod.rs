//! Compares the policies on embedded fleets: real entry VMs over loopback,
//! with stand-ins for minions and the platform (docs/BENCH.md).

mod cases;
mod row;
mod site;

pub use cases::{Bad, ROW_HEAD, burst, cut, loads, overload, wave, with_bad};
pub use row::Row;
pub use site::{Scale, Site};
