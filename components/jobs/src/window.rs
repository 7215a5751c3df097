//! Windows of tickets: which serials an incarnation has minted and which of them
//! were used. A window has one bit per ticket and a bounded size, so the memory
//! needed to refuse a second start does not grow without limit.

use std::collections::VecDeque;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

use kernel::{HashMap, Incarnation, Ticket};
use serde::{Deserialize, Serialize};

/// Number of tickets per word of a window's bits.
const WORD_BITS: u64 = 64;

/// State of a ticket in its window.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TicketState {
    /// The ticket was minted and not used yet.
    Fresh,
    /// The ticket's job was accepted.
    Used,
    /// The ticket is older than the window, so it is not known whether it was used.
    TooOld,
    /// The ticket was never minted.
    NeverMinted,
}

/// State of a window, as handed over to a successor.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WindowState {
    /// Incarnation that minted the tickets.
    pub owner: Incarnation,
    /// First serial in the window; a multiple of 64.
    pub floor: u64,
    /// Next serial to mint.
    pub next: u64,
    /// One bit per serial from `floor` on, set when the ticket is used.
    pub bits: Vec<u64>,
}

/// Window over the tickets of one incarnation.
#[derive(Debug, Clone)]
pub struct Window {
    /// First serial in the window; a multiple of 64.
    floor: u64,
    /// Next serial to mint.
    next: u64,
    /// One bit per serial from `floor` on, set when the ticket is used.
    bits: VecDeque<u64>,
    /// Maximum number of words of bits.
    max_words: usize,
}

impl Window {
    /// Creates an empty window of about `span` tickets.
    pub fn new(span: u64) -> Window {
        Window {
            floor: 0,
            next: 1,
            bits: VecDeque::from([0]),
            max_words: (span / WORD_BITS + 1) as usize,
        }
    }

    /// Mints `count` tickets and returns the first serial. The oldest tickets may
    /// drop out of the window.
    pub fn mint(&mut self, count: u64) -> u64 {
        let first = self.next;
        self.next += count;
        while self.floor + self.bits.len() as u64 * WORD_BITS < self.next {
            self.bits.push_back(0);
        }
        while self.bits.len() > self.max_words {
            self.bits.pop_front();
            self.floor += WORD_BITS;
        }
        first
    }

    /// Returns the state of a serial.
    pub fn state(&self, serial: u64) -> TicketState {
        if serial == 0 || serial >= self.next {
            return TicketState::NeverMinted;
        }
        match self.word_index(serial) {
            None => TicketState::TooOld,
            Some(i) if self.bits[i] & bit_mask(serial) != 0 => TicketState::Used,
            Some(_) => TicketState::Fresh,
        }
    }

    /// Marks a serial as used or unused. It has no effect on a serial outside the
    /// window, which stays refused.
    pub fn mark(&mut self, serial: u64, used: bool) {
        let Some(i) = self.word_index(serial) else {
            return;
        };
        if used {
            self.bits[i] |= bit_mask(serial);
        } else {
            self.bits[i] &= !bit_mask(serial);
        }
    }

    fn word_index(&self, serial: u64) -> Option<usize> {
        let at = serial.checked_sub(self.floor)? / WORD_BITS;
        (at < self.bits.len() as u64).then_some(at as usize)
    }
}

fn bit_mask(serial: u64) -> u64 {
    1 << (serial % WORD_BITS)
}

/// Windows that this VM owns: its own one, and those that VMs handed over to it
/// in their planned stops.
#[derive(Debug)]
pub struct Windows {
    /// Incarnation of this VM.
    me: Incarnation,
    /// Approximate number of tickets per window.
    span: u64,
    /// Windows by the incarnation that minted the tickets.
    windows: Mutex<HashMap<Incarnation, Window>>,
    /// Whether the windows were handed over; changed under the lock only.
    closed: AtomicBool,
}

impl Windows {
    /// Creates an empty window of about `span` tickets for this VM.
    pub fn new(me: Incarnation, span: u64) -> Windows {
        let mut windows = HashMap::default();
        windows.insert(me, Window::new(span));
        Windows {
            me,
            span,
            windows: Mutex::new(windows),
            closed: AtomicBool::new(false),
        }
    }

    /// Mints tickets; none once the windows have been handed over.
    pub fn mint(&self, count: u64) -> Vec<Ticket> {
        let mut windows = self.lock();
        let Some(window) = windows.get_mut(&self.me) else {
            return Vec::new();
        };
        let first = window.mint(count);
        let ticket = |serial| Ticket {
            owner: self.me,
            serial,
        };
        (first..first + count).map(ticket).collect()
    }

    /// Returns whether this VM owns the window of an incarnation.
    pub fn holds(&self, owner: Incarnation) -> bool {
        self.lock().contains_key(&owner)
    }

    /// Marks a ticket as used if it is fresh. Returns its previous state, or
    /// `None` if this VM does not own the ticket's window.
    pub fn take(&self, ticket: Ticket) -> Option<TicketState> {
        let mut windows = self.lock();
        let window = windows.get_mut(&ticket.owner)?;
        let state = window.state(ticket.serial);
        if state == TicketState::Fresh {
            window.mark(ticket.serial, true);
        }
        Some(state)
    }

    /// Returns the state of a ticket; `None` if this VM does not own the ticket's
    /// window.
    pub fn state(&self, ticket: Ticket) -> Option<TicketState> {
        let windows = self.lock();
        let window = windows.get(&ticket.owner)?;
        Some(window.state(ticket.serial))
    }

    /// Marks a ticket as unused whose job was refused before it was accepted.
    pub fn mark_unused(&self, ticket: Ticket) {
        if let Some(window) = self.lock().get_mut(&ticket.owner) {
            window.mark(ticket.serial, false);
        }
    }

    /// Removes and returns all windows, for a successor. From here on this VM owns
    /// none, so that a ticket never has two owners.
    pub fn hand_over(&self) -> Vec<WindowState> {
        let mut windows = self.lock();
        self.closed.store(true, Ordering::SeqCst);
        let taken = std::mem::take(&mut *windows);
        drop(windows);
        let state = |(owner, w): (Incarnation, Window)| WindowState {
            owner,
            floor: w.floor,
            next: w.next,
            bits: w.bits.into(),
        };
        taken.into_iter().map(state).collect()
    }

    /// Adds the windows of a VM in its planned stop. Returns false, and adds none,
    /// if this VM has handed over its own windows in the meantime.
    pub fn adopt(&self, states: Vec<WindowState>) -> bool {
        let mut windows = self.lock();
        if self.closed.load(Ordering::SeqCst) {
            return false;
        }
        for state in states {
            let window = Window {
                floor: state.floor,
                next: state.next,
                bits: state.bits.into(),
                max_words: (self.span / WORD_BITS + 1) as usize,
            };
            windows.entry(state.owner).or_insert(window);
        }
        true
    }

    /// Returns the incarnations whose windows this VM owns.
    pub fn owners(&self) -> Vec<Incarnation> {
        self.lock().keys().copied().collect()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Incarnation, Window>> {
        self.windows.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
