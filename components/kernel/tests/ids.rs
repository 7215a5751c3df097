//! Ids and units convert to text and back, and invalid texts are rejected.

use kernel::{IdError, Incarnation, JobKey, Millis, Ticket, VmId};
use proptest::prelude::*;

proptest! {
    #[test]
    fn ticket_round_trip(bits in 1u128.., serial in any::<u64>()) {
        let owner: Incarnation = format!("{bits:032x}").parse().unwrap();
        let ticket = Ticket { owner, serial };
        prop_assert_eq!(ticket.to_string().parse::<JobKey>().unwrap(), JobKey::Ticket(ticket));
    }

    #[test]
    fn key_round_trip(text in "\\PC{0,300}") {
        if let Ok(key) = text.parse::<JobKey>() {
            prop_assert_eq!(key.to_string(), text);
        }
    }
}

#[test]
fn leading_zero() {
    let text = format!("t1.{:032x}.01", 7);
    assert_eq!(text.parse::<JobKey>(), Err(IdError::Form));
}

#[test]
fn invalid_text() {
    assert_eq!("".parse::<VmId>(), Err(IdError::Empty));
    assert_eq!("a\"b".parse::<VmId>(), Err(IdError::Char { at: 1 }));
    assert_eq!("é".parse::<VmId>(), Err(IdError::Char { at: 0 }));
}

#[test]
fn span_units() {
    assert_eq!("3s".parse(), Ok(Millis(3000)));
    assert!("3".parse::<Millis>().is_err());
    assert!("3kg".parse::<Millis>().is_err());
}
