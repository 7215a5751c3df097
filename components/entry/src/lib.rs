//! The entry component.
