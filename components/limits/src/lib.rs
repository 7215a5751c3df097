//! The limits component.
