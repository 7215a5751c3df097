//! The operators' tool.

use std::process::ExitCode;

use clap::Parser;
use pomelopost::cli::Ctl;
use pomelopost::cmd;
use pomelopost::error::exit;

#[tokio::main]
async fn main() -> ExitCode {
    exit(cmd::run(Ctl::parse()).await)
}
