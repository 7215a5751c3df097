//! The settings component.
