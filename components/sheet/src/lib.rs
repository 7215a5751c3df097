//! The sheet component.
