//! `pomeloctl man`: the man page, with every subcommand.

use clap::CommandFactory;
use clap_mangen::Man;

use crate::cli::Ctl;
use crate::cmd::print;
use crate::error::CommandError;

/// Writes the man pages to standard output, one behind the other.
///
/// # Errors
///
/// Fails when standard output does.
pub fn run() -> Result<(), CommandError> {
    let mut command = Ctl::command();
    command.build();
    let mut out = Vec::new();
    pages(&command, &mut out)?;
    print(&String::from_utf8_lossy(&out))
}

fn pages(command: &clap::Command, out: &mut Vec<u8>) -> Result<(), CommandError> {
    Man::new(command.clone())
        .render(out)
        .map_err(CommandError::Io)?;
    for sub in command.get_subcommands().filter(|s| s.get_name() != "help") {
        pages(sub, out)?;
    }
    Ok(())
}
