//! `pomelopost`: runs one entry VM.

use std::process::ExitCode;

use clap::Parser;
use pomelopost::cli::Serve;
use pomelopost::cmd::serve;
use pomelopost::error::exit_code;

fn main() -> ExitCode {
    exit_code(serve::run(&Serve::parse()))
}
