//! The entry VM.

use std::process::ExitCode;

use clap::Parser;
use pomelopost::cli::Serve;
use pomelopost::cmd::serve;
use pomelopost::error::exit;

fn main() -> ExitCode {
    exit(serve::run(&Serve::parse()))
}
