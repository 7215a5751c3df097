//! Types that all parts of pomelopost share: ids, units, clocks, hash maps and the
//! registry of plug-ins. The kernel contains no feature and depends on none; see
//! `docs/ARCHITECTURE.md`.

mod clock;
mod hash;
mod ids;
mod kind;
mod registry;
mod text;
mod units;

pub use clock::{BootClock, Clock, ManualClock, SystemClock};
pub use hash::{HashMap, HashSet, HashState, fix_hash_seed, key_hash};
pub use ids::{
    Domain, IdError, Incarnation, JobKey, MinionId, Place, Service, TaskId, Team, Ticket, VmId,
};
pub use registry::{Fault, Key, Kind, Parts, Plugin, Section, plugins};
pub use units::{
    BitRate, Cores, Epoch, Fence, Gpus, LeaseTime, Mebibytes, MilliCores, Millis, Offset,
    RunNumber, Sequence, Slots, Timestamp, UnitError,
};
