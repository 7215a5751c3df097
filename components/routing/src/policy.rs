//! The policies that pick a minion. One is chosen at start; the code is generic
//! over it.

/// The load of one minion, as a policy sees it.
#[derive(Debug, Clone, Copy)]
pub struct Load {
    /// The number of tasks of this VM on the minion.
    pub own: u32,
    /// The number of tasks of other VMs there, from their last digests.
    pub peers: u32,
    /// The number of slots in the fixed part of this VM.
    pub share: u32,
    /// The number of slots on soft lease to this VM. A peer that uses one of
    /// them risks a refusal.
    pub lease: u32,
    /// The number of tasks of this VM there in its last digest.
    pub reported: u32,
    /// The number of slots of the minion.
    pub slots: u32,
}

/// A rule that picks among the minions of a service.
pub trait Policy: Send + Sync + 'static {
    /// The name in the settings.
    const NAME: &'static str;

    /// The number of random open minions that are compared for each task.
    const CHOICES: usize;

    /// Whether outliers are ejected.
    const OUTLIERS: bool;

    /// Returns whether another task may go to the minion.
    fn open(&self, load: &Load) -> bool;

    /// Returns whether another task may go to the minion with little risk of a
    /// refusal. Such minions come first; others are used within the refusal
    /// budget.
    fn safe(&self, load: &Load) -> bool {
        self.open(load)
    }

    /// Returns the cost of the minion. The one with the lowest cost is picked.
    fn cost(&self, load: &Load) -> u32;
}

/// Picks any minion on which this VM has fewer tasks than there are slots.
#[derive(Debug, Clone, Copy, Default)]
pub struct Random;

impl Policy for Random {
    const NAME: &'static str = "random";
    const CHOICES: usize = 1;
    const OUTLIERS: bool = false;

    fn open(&self, load: &Load) -> bool {
        load.own < load.slots
    }

    fn cost(&self, _: &Load) -> u32 {
        0
    }
}

/// Picks the minion with the fewest tasks of this VM.
#[derive(Debug, Clone, Copy, Default)]
pub struct LeastOwn;

impl Policy for LeastOwn {
    const NAME: &'static str = "least";
    const CHOICES: usize = usize::MAX;
    const OUTLIERS: bool = false;

    fn open(&self, load: &Load) -> bool {
        load.own < load.slots
    }

    fn cost(&self, load: &Load) -> u32 {
        load.own
    }
}

/// Gives each VM of the domain a fixed part of the slots of every minion.
#[derive(Debug, Clone, Copy, Default)]
pub struct Split;

impl Policy for Split {
    const NAME: &'static str = "split";
    const CHOICES: usize = 2;
    const OUTLIERS: bool = false;

    fn open(&self, load: &Load) -> bool {
        load.own < load.share
    }

    fn cost(&self, load: &Load) -> u32 {
        load.own
    }
}

/// Counts the tasks of this VM and its peers. Slots on soft lease come first;
/// others that look free are tried within the refusal budget
/// (docs/design/routing.md#slots).
#[derive(Debug, Clone, Copy, Default)]
pub struct Balanced;

impl Policy for Balanced {
    const NAME: &'static str = "balanced";
    const CHOICES: usize = 3;
    const OUTLIERS: bool = true;

    fn open(&self, load: &Load) -> bool {
        load.own + load.peers < load.slots || load.own < load.lease
    }

    fn safe(&self, load: &Load) -> bool {
        load.own < load.lease
    }

    fn cost(&self, load: &Load) -> u32 {
        // Peers still count a slot that was freed since the last digest as in
        // use, so they won't try it.
        let seen = if load.own < load.reported {
            0
        } else {
            load.slots
        };
        seen + load.own + load.peers
    }
}
