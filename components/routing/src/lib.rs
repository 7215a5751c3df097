//! The routing component.
