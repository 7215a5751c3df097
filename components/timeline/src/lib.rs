//! The timeline component.
