//! The replay component.
