//! How a minion is picked. The policy is chosen at start and monomorphised.

/// What a policy knows of one minion.
#[derive(Debug, Clone, Copy)]
pub struct Load {
    /// Tasks of this VM there.
    pub own: u32,
    /// Tasks of other VMs there, as last heard.
    pub peers: u32,
    /// This VM's fixed part of the slots.
    pub share: u32,
    /// Slots on soft lease to this VM, which no peer takes but at its own
    /// risk.
    pub lease: u32,
    /// Tasks of this VM there as peers were last told.
    pub reported: u32,
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

    /// Whether another task may go there with little risk of a refusal. Such
    /// minions come first; the others are used within the refusal budget.
    fn safe(&self, load: &Load) -> bool {
        self.open(load)
    }

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

/// Own and peers' tasks together. Slots on soft lease come first, and others
/// that look free are tried within the refusal budget
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
        // A slot freed since the last digest looks taken to peers, so none of
        // them risks it.
        let seen = if load.own < load.reported {
            0
        } else {
            load.slots
        };
        seen + load.own + load.peers
    }
}
