//! Compares the routing policies on embedded fleets: real entry VMs over
//! loopback, with stand-ins for minions and the platform (docs/BENCH.md).

mod cases;
mod row;
mod site;

pub use cases::{
    Defect, TABLE_HEAD, burst, cancel_wave, domain_cut, faulty_minion, overload, steady_load,
};
pub use row::Row;
pub use site::{Scale, Site};
