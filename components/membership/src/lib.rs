//! The membership component.
