//! The standins component.
