//! The jobs component.
