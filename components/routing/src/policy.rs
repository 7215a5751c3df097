//! How a minion is picked. The policy is chosen at start and monomorphised.

/// What a policy knows of one minion.
#[derive(Debug, Clone, Copy)]
pub struct Load {
    /// Tasks of this VM there.
    pub own: u32,
    /// Tasks of other VMs there, as last heard.
    pub peers: u32,
    /// This VM's part of the slots, when the VMs of the domain split them.
    pub share: u32,
    /// The slots of the minion.
    pub slots: u32,
}

/// Picks among the minions of a service.
pub trait Policy: Send + Sync + 'static {
    /// The word in the settings.
    const NAME: &'static str;

    /// How many open minions, drawn at random, are compared for each task.
    const CHOICES: usize;

    /// Whether outliers are ejected.
    const OUTLIERS: bool;

    /// Whether another task may go to the minion.
    fn open(&self, load: &Load) -> bool;

    /// What the comparison minimises.
    fn cost(&self, load: &Load) -> u32;
}

/// Any minion that this VM has not filled by itself.
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

/// The minion with the fewest tasks of this VM.
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

/// Each VM of the domain has a fixed part of every minion's slots.
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

/// Own and peers' tasks together, with slots beyond the own part taken only
/// where peers leave room (docs/design/routing.md).
#[derive(Debug, Clone, Copy, Default)]
pub struct Balanced {
    /// Slots that stay free for peers where this VM is beyond its own part.
    pub margin: u32,
}

impl Policy for Balanced {
    const NAME: &'static str = "balanced";
    const CHOICES: usize = 3;
    const OUTLIERS: bool = true;

    fn open(&self, load: &Load) -> bool {
        let margin = if load.own < load.share {
            0
        } else {
            self.margin
        };
        load.own + load.peers + margin < load.slots
    }

    fn cost(&self, load: &Load) -> u32 {
        load.own + load.peers
    }
}
