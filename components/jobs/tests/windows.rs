//! A ticket is used at most once, and never after it has dropped out of its window.

use jobs::{TicketState, Window, Windows};
use kernel::{Incarnation, Ticket};
use proptest::prelude::*;

fn incarnation(n: u128) -> Incarnation {
    format!("{n:032x}").parse().unwrap()
}

#[test]
fn used_once() {
    let windows = Windows::new(incarnation(1), 1000);
    let ticket = windows.mint(1)[0];
    assert_eq!(windows.take(ticket), Some(TicketState::Fresh));
    assert_eq!(windows.take(ticket), Some(TicketState::Used));
}

#[test]
fn forged_serial() {
    let windows = Windows::new(incarnation(1), 1000);
    let forged = Ticket {
        owner: incarnation(1),
        serial: 9,
    };
    assert_eq!(windows.take(forged), Some(TicketState::NeverMinted));
}

#[test]
fn too_old_refused() {
    let mut window = Window::new(128);
    let first = window.mint(1);
    window.mint(1000);
    assert_eq!(window.state(first), TicketState::TooOld);
    window.mark(first, false);
    assert_eq!(window.state(first), TicketState::TooOld);
}

#[test]
fn handed_over() {
    let old = Windows::new(incarnation(1), 1000);
    let tickets = old.mint(3);
    old.take(tickets[0]);
    let new = Windows::new(incarnation(2), 1000);
    let states = old.hand_over();
    new.adopt(states.clone());
    assert_eq!(old.take(tickets[1]), None);
    assert_eq!(new.take(tickets[0]), Some(TicketState::Used));
    assert_eq!(new.take(tickets[1]), Some(TicketState::Fresh));
    // Repeating the handover must not make a used ticket fresh.
    new.adopt(states);
    assert_eq!(new.take(tickets[1]), Some(TicketState::Used));
}

#[test]
fn closed_rejects_windows() {
    let first = Windows::new(incarnation(1), 1000);
    let second = Windows::new(incarnation(2), 1000);
    first.mint(1);
    second.hand_over();
    assert!(!second.adopt(first.hand_over()));
    assert!(!second.holds(incarnation(1)));
}

proptest! {
    #[test]
    fn fresh_once(steps in proptest::collection::vec((0u64..300, any::<bool>()), 1..400)) {
        let mut window = Window::new(128);
        let mut started = std::collections::BTreeSet::new();
        for (n, mint) in steps {
            if mint {
                window.mint(n % 20 + 1);
            } else if window.state(n) == TicketState::Fresh {
                window.mark(n, true);
                prop_assert!(started.insert(n), "{} started twice", n);
            }
        }
    }
}
