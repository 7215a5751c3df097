//! `pomeloctl`: the operators' command-line tool.

use std::process::ExitCode;

use clap::Parser;
use pomelopost::cli::Ctl;
use pomelopost::cmd;
use pomelopost::error::exit_code;

#[tokio::main]
async fn main() -> ExitCode {
    exit_code(cmd::run(Ctl::parse()).await)
}
