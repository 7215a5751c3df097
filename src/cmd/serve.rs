//! What `pomelopost` does: reads its settings, and serves until told to stop.

use crate::cli::Serve;
use crate::cmd::print;
use crate::error::CommandError;

/// Runs `pomelopost`.
///
/// # Errors
///
/// Tells every fault of the settings.
pub fn run(args: &Serve) -> Result<(), CommandError> {
    let Some(path) = &args.settings else {
        return print(&settings::sample());
    };
    settings::load(path).map_err(CommandError::Settings)?;
    match args.check {
        true => Ok(()),
        false => Err(CommandError::Part("entry")),
    }
}
