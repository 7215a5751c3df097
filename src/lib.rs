//! The program.
