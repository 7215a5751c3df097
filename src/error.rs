//! What a command can fail with, and its exit code.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use hyper::StatusCode;
use settings::SettingsFault;
use slopes::SlopeError;
use tokio::task::JoinError;
use wire::CallError;

/// Why a VM or the platform could not be asked.
#[derive(Debug)]
pub enum AskError {
    /// No answer came.
    Call(CallError),
    /// The answer has another status than expected.
    Status(StatusCode),
    /// The answer is not the JSON expected.
    Json(serde_json::Error),
}

impl fmt::Display for AskError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            AskError::Call(e) => write!(f, "{e}"),
            AskError::Status(status) => write!(f, "answered {status}"),
            AskError::Json(e) => write!(f, "answered unreadable JSON: {e}"),
        }
    }
}

impl std::error::Error for AskError {}

/// Why a command failed.
#[derive(Debug)]
pub enum CommandError {
    /// The settings have faults.
    Settings(Vec<SettingsFault>),
    /// A variable of the environment is not set.
    Variable(&'static str),
    /// The VM can't serve on the platform.
    Platform(platform::ServeError),
    /// The command line names neither a VM nor the platform.
    NoFleet,
    /// The platform could not tell which VMs there are.
    List(SocketAddr, AskError),
    /// None of the VMs could be reached.
    Unreachable,
    /// A VM could not be asked.
    Ask(SocketAddr, AskError),
    /// A file can't be read.
    File(PathBuf, io::Error),
    /// Standard output or input failed.
    Io(io::Error),
    /// The logs could not be set up.
    Logs(log::SetLoggerError),
    /// A part of the configuration is not there, which is a fault of the
    /// program.
    Part(&'static str),
    /// The trace is malformed.
    Trace(PathBuf, replay::TraceError),
    /// The embedded fleet could not start.
    Launch(replay::LaunchError),
    /// A run of faults on processes can't be made.
    Soak(soak::SoakError),
    /// The sheet has faults.
    Sheet(PathBuf, Vec<sheet::RowFault>),
    /// The command needs the platform's address.
    NoPlatform,
    /// A record can't be written.
    Json(serde_json::Error),
    /// The log did not take the change.
    Append(logstore::AppendError),
    /// The log can't be read.
    Read(logstore::ReadError),
    /// The change was refused.
    Refused(sheet::Refusal),
    /// The change was not found in the log in time.
    Undecided,
    /// The VM could not start.
    Start(entry::StartError),
    /// Metrics can't be sent.
    Statsd(metrics::SendError),
    /// A second signal cut the planned stop short.
    Cut,
    /// A measurement could not be made.
    Slope(SlopeError),
    /// A part of the program panicked.
    Task(JoinError),
    /// The command did its work, and the result is not the good one; it has
    /// been printed.
    Bad,
}

impl CommandError {
    /// Returns the exit code: 2 for bad settings or arguments, else 1.
    pub fn code(&self) -> ExitCode {
        match self {
            CommandError::Settings(_)
            | CommandError::Variable(_)
            | CommandError::Platform(platform::ServeError::Settings(_))
            | CommandError::NoFleet
            | CommandError::NoPlatform
            | CommandError::Sheet(..)
            | CommandError::File(..)
            | CommandError::Trace(..) => ExitCode::from(2),
            _ => ExitCode::FAILURE,
        }
    }
}

impl fmt::Display for CommandError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CommandError::Settings(faults) => {
                let lines: Vec<_> = faults.iter().map(SettingsFault::to_string).collect();
                f.write_str(&lines.join("\n"))
            }
            CommandError::Variable(name) => write!(f, "{name} is not set"),
            CommandError::Platform(e) => write!(f, "{e}"),
            CommandError::NoFleet => write!(f, "expected --vm or --platform"),
            CommandError::List(addr, e) => write!(f, "list of VMs at {addr}: {e}"),
            CommandError::Unreachable => write!(f, "no VM could be reached"),
            CommandError::Ask(addr, e) => write!(f, "{addr}: {e}"),
            CommandError::File(path, e) => write!(f, "{}: {e}", path.display()),
            CommandError::Io(e) => write!(f, "{e}"),
            CommandError::Logs(e) => write!(f, "logs: {e}"),
            CommandError::Part(name) => write!(f, "no configuration of {name} is installed"),
            CommandError::Trace(path, e) => write!(f, "{}: {e}", path.display()),
            CommandError::Launch(e) => write!(f, "{e}"),
            CommandError::Soak(e) => write!(f, "{e}"),
            CommandError::Sheet(path, faults) => faults
                .iter()
                .try_for_each(|fault| writeln!(f, "{}: {fault}", path.display())),
            CommandError::NoPlatform => write!(f, "expected --platform"),
            CommandError::Json(e) => write!(f, "{e}"),
            CommandError::Append(e) => write!(f, "{e}"),
            CommandError::Read(e) => write!(f, "{e}"),
            CommandError::Refused(refusal) => write!(f, "refused: {refusal}"),
            CommandError::Undecided => {
                write!(f, "undecided: the change was not found in the log in time")
            }
            CommandError::Start(e) => write!(f, "{e}"),
            CommandError::Statsd(e) => write!(f, "{e}"),
            CommandError::Cut => write!(f, "stopped at once by a second signal"),
            CommandError::Slope(e) => write!(f, "{e}"),
            CommandError::Task(e) => write!(f, "{e}"),
            CommandError::Bad => Ok(()),
        }
    }
}

impl std::error::Error for CommandError {}

/// Tells an error on standard error and returns its exit code.
pub fn exit(result: Result<(), CommandError>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            let text = e.to_string();
            if !text.is_empty() {
                eprintln!("{text}");
            }
            e.code()
        }
    }
}
