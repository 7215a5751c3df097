//! Entries of the register that another writer has left under a minion's id.

mod common;

use common::{cores, job, minion};
use kernel::Timestamp;
use schedule::{
    Admission, Fence, LeaseTime, Listing, MilliCores, MinionInfo, Resources, ScheduleConfig,
    Scheduler,
};

fn at(ms: u64) -> Timestamp {
    Timestamp(ms * 1_000)
}

/// Returns a list of the minion's only process.
fn list(clock: u64) -> Listing {
    Listing {
        clock: LeaseTime(clock),
        born: 1,
        running: Vec::new(),
        ended: Vec::new(),
    }
}

/// Returns a scheduler that holds the minion.
fn holding(info: &MinionInfo) -> Scheduler {
    let mut scheduler = Scheduler::new(ScheduleConfig::default());
    scheduler.register(info.clone(), Fence(5));
    scheduler.listed(&info.id, Fence(5), list(1_000), at(10));
    scheduler
}

/// Guards against sums of capacities that don't fit into their type: a VM built with
/// checks ends, another one refuses jobs that it could run.
#[test]
fn large_capacity() {
    let mut info = minion("m-00", 32);
    info.capacity.cpu = MilliCores(u32::MAX);
    let mut scheduler = holding(&info);
    let other = minion("m-01", 32);
    scheduler.register(other.clone(), Fence(9));
    scheduler.listed(&other.id, Fence(9), list(1_000), at(12));
    let mut spec = job(1, 1, 1, 200);
    spec.steps[0].need = Resources {
        cpu: MilliCores(0),
        ..cores(1)
    };
    let need = spec.steps[0].need;
    assert_eq!(scheduler.submit(at(20), spec), Admission::Taken);
    assert!(scheduler.room_for(&need, at(21)) > 4_000_000.0);
}
