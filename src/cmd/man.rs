//! `pomeloctl man`: man pages of the tool and of every subcommand.

use clap::CommandFactory;
use clap_mangen::Man;

use crate::cli::Ctl;
use crate::cmd::print;
use crate::error::CommandError;

/// Writes the man pages to standard output, one after the other.
///
/// # Errors
///
/// Fails when standard output can't be written.
pub fn run() -> Result<(), CommandError> {
    let mut command = Ctl::command();
    command.build();
    let mut out = Vec::new();
    render_pages(&command, &mut out)?;
    print(&String::from_utf8_lossy(&out))
}

fn render_pages(command: &clap::Command, out: &mut Vec<u8>) -> Result<(), CommandError> {
    Man::new(command.clone())
        .render(out)
        .map_err(CommandError::Io)?;
    for sub in command.get_subcommands().filter(|s| s.get_name() != "help") {
        render_pages(sub, out)?;
    }
    Ok(())
}
