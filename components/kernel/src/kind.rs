//! Checks of settings' values, and the descriptions of valid ones that operators
//! see.

use std::fmt;
use std::net::SocketAddr;

use crate::registry::Kind;
use crate::{Millis, UnitError};

impl Kind {
    /// Returns whether a text is a valid value of this kind.
    pub fn accepts(&self, text: &str) -> bool {
        match *self {
            Kind::Text => !text.is_empty(),
            Kind::Flag => text.parse::<bool>().is_ok(),
            Kind::Count(min, max) => {
                let count = text.parse::<u64>();
                count.is_ok_and(|n| (min..=max).contains(&n))
            }
            Kind::Span(min, max) => {
                let span: Result<Millis, UnitError> = text.parse();
                span.is_ok_and(|s| (min..=max).contains(&s.0))
            }
            Kind::Address => is_address(text),
            Kind::Addresses => text.split(',').all(|part| is_address(part.trim())),
            Kind::Word(words) => words.contains(&text),
        }
    }
}

fn is_address(text: &str) -> bool {
    text.parse::<SocketAddr>().is_ok()
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Kind::Text => write!(f, "a text that is not empty"),
            Kind::Flag => write!(f, "true or false"),
            Kind::Count(min, max) => write!(f, "a whole number from {min} to {max}"),
            Kind::Span(min, max) => write!(
                f,
                "a length of time from {min}ms to {max}ms with its unit, such as 250ms, 3s or 5m"
            ),
            Kind::Address => write!(f, "an IP number and port, such as 10.0.0.7:7400"),
            Kind::Addresses => write!(
                f,
                "IP numbers and ports with commas between them, such as 10.0.0.7:7400, 10.0.1.7:7400"
            ),
            Kind::Word(words) => write!(f, "one of {}", words.join(", ")),
        }
    }
}
