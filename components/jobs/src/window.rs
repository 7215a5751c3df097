//! Windows of tickets: which serials an incarnation has minted and which of
//! them have been used. A window holds one bit a ticket, so that what must be
//! remembered to refuse a second start doesn't grow for ever.

use std::collections::VecDeque;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

use kernel::{HashMap, Incarnation, Ticket};
use serde::{Deserialize, Serialize};

/// The tickets in one word of a window's bits.
const WORD: u64 = 64;

/// What a window knows of a serial.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Judged {
    /// It was minted and never used.
    Fresh,
    /// Its job was accepted.
    Used,
    /// It is older than the window, so nothing is known of it any more.
    Past,
    /// It was never minted.
    NeverMinted,
}

/// The part of a window that a successor takes over.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WindowState {
    /// The incarnation that minted the tickets.
    pub owner: Incarnation,
    /// The first serial that the window still holds; a multiple of 64.
    pub floor: u64,
    /// The next serial to mint.
    pub next: u64,
    /// One bit a serial from `floor` on, set once used.
    pub bits: Vec<u64>,
}

/// One incarnation's tickets.
#[derive(Debug, Clone)]
pub struct Window {
    /// The first serial held; a multiple of 64.
    floor: u64,
    /// The next serial to mint.
    next: u64,
    /// The used bits from `floor` on.
    bits: VecDeque<u64>,
    /// The most words of bits.
    words: usize,
}

impl Window {
    /// Makes an empty window that holds up to `span` tickets.
    pub fn new(span: u64) -> Window {
        Window {
            floor: 0,
            next: 1,
            bits: VecDeque::from([0]),
            words: (span / WORD + 1) as usize,
        }
    }

    /// Mints `count` tickets and answers the first serial. The oldest fall out
    /// of the window.
    pub fn mint(&mut self, count: u64) -> u64 {
        let first = self.next;
        self.next += count;
        while self.floor + self.bits.len() as u64 * WORD < self.next {
            self.bits.push_back(0);
        }
        while self.bits.len() > self.words {
            self.bits.pop_front();
            self.floor += WORD;
        }
        first
    }

    /// Tells what is known of a serial.
    pub fn judge(&self, serial: u64) -> Judged {
        if serial == 0 || serial >= self.next {
            return Judged::NeverMinted;
        }
        match self.word(serial) {
            None => Judged::Past,
            Some(i) if self.bits[i] & mask(serial) != 0 => Judged::Used,
            Some(_) => Judged::Fresh,
        }
    }

    /// Marks a serial used or unused. A serial outside the window is left as it
    /// is, which refuses it.
    pub fn mark(&mut self, serial: u64, used: bool) {
        let Some(i) = self.word(serial) else {
            return;
        };
        if used {
            self.bits[i] |= mask(serial);
        } else {
            self.bits[i] &= !mask(serial);
        }
    }

    fn word(&self, serial: u64) -> Option<usize> {
        let at = serial.checked_sub(self.floor)? / WORD;
        (at < self.bits.len() as u64).then_some(at as usize)
    }
}

fn mask(serial: u64) -> u64 {
    1 << (serial % WORD)
}

/// The windows that this VM answers for: its own, and those that VMs which
/// stopped as planned have left to it.
#[derive(Debug)]
pub struct Windows {
    /// This VM's incarnation.
    me: Incarnation,
    /// The most tickets a window holds.
    span: u64,
    /// The windows by the incarnation that minted.
    all: Mutex<HashMap<Incarnation, Window>>,
    /// True once they were handed over; changed under the lock only.
    closed: AtomicBool,
}

impl Windows {
    /// Makes an empty window of `span` tickets for this VM.
    pub fn new(me: Incarnation, span: u64) -> Windows {
        let mut all = HashMap::default();
        all.insert(me, Window::new(span));
        Windows {
            me,
            span,
            all: Mutex::new(all),
            closed: AtomicBool::new(false),
        }
    }

    /// Mints tickets. It answers none once the windows have been handed over.
    pub fn mint(&self, count: u64) -> Vec<Ticket> {
        let mut all = self.lock();
        let Some(window) = all.get_mut(&self.me) else {
            return Vec::new();
        };
        let first = window.mint(count);
        let ticket = |serial| Ticket {
            owner: self.me,
            serial,
        };
        (first..first + count).map(ticket).collect()
    }

    /// Tells whether this VM answers for an incarnation's tickets.
    pub fn holds(&self, owner: Incarnation) -> bool {
        self.lock().contains_key(&owner)
    }

    /// Marks a ticket used if it is fresh, and tells what it was before;
    /// `None` for a ticket that this VM doesn't answer for.
    pub fn take(&self, ticket: Ticket) -> Option<Judged> {
        let mut all = self.lock();
        let window = all.get_mut(&ticket.owner)?;
        let judged = window.judge(ticket.serial);
        if judged == Judged::Fresh {
            window.mark(ticket.serial, true);
        }
        Some(judged)
    }

    /// Tells what is known of a ticket; `None` for one that this VM doesn't
    /// answer for.
    pub fn judge(&self, ticket: Ticket) -> Option<Judged> {
        let all = self.lock();
        let window = all.get(&ticket.owner)?;
        Some(window.judge(ticket.serial))
    }

    /// Makes a ticket fresh again whose job was refused before it was accepted.
    pub fn give_back(&self, ticket: Ticket) {
        if let Some(window) = self.lock().get_mut(&ticket.owner) {
            window.mark(ticket.serial, false);
        }
    }

    /// Takes all windows out, for a successor. From here on this VM answers
    /// for none, so that no ticket ever has two owners.
    pub fn hand_over(&self) -> Vec<WindowState> {
        let mut all = self.lock();
        self.closed.store(true, Ordering::SeqCst);
        let windows = std::mem::take(&mut *all);
        drop(all);
        let state = |(owner, w): (Incarnation, Window)| WindowState {
            owner,
            floor: w.floor,
            next: w.next,
            bits: w.bits.into(),
        };
        windows.into_iter().map(state).collect()
    }

    /// Takes over the windows of a VM that has stopped. It answers false, and
    /// takes none, if this VM has handed its own over meanwhile.
    pub fn adopt(&self, states: Vec<WindowState>) -> bool {
        let mut all = self.lock();
        if self.closed.load(Ordering::SeqCst) {
            return false;
        }
        for state in states {
            let window = Window {
                floor: state.floor,
                next: state.next,
                bits: state.bits.into(),
                words: (self.span / WORD + 1) as usize,
            };
            all.entry(state.owner).or_insert(window);
        }
        true
    }

    /// Returns the incarnations whose tickets this VM answers for.
    pub fn owners(&self) -> Vec<Incarnation> {
        self.lock().keys().copied().collect()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Incarnation, Window>> {
        self.all.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
