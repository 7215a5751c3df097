//! Errors of the commands and their exit codes.

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

/// Reason why a request to a VM or the platform failed.
#[derive(Debug)]
pub enum RequestError {
    /// The call failed without an answer.
    Call(CallError),
    /// The answer has an unexpected status.
    Status(StatusCode),
    /// The answer is not the expected JSON.
    Json(serde_json::Error),
    /// The answer is not text.
    Text(std::string::FromUtf8Error),
    /// The answer lacks the expected metrics.
    Metrics,
}

impl fmt::Display for RequestError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RequestError::Call(e) => write!(f, "{e}"),
            RequestError::Status(status) => write!(f, "answered {status}"),
            RequestError::Json(e) => write!(f, "answered invalid JSON: {e}"),
            RequestError::Text(e) => write!(f, "answered invalid text: {e}"),
            RequestError::Metrics => write!(f, "answered without the expected metrics"),
        }
    }
}

impl std::error::Error for RequestError {}

/// Reason why a command failed.
#[derive(Debug)]
pub enum CommandError {
    /// The settings have faults.
    Settings(Vec<SettingsFault>),
    /// An environment variable is not set.
    Variable(&'static str),
    /// The VM failed to serve on the platform.
    Platform(platform::ServeError),
    /// The command line names neither a VM nor the platform.
    NoFleet,
    /// The platform did not return its machine list.
    List(SocketAddr, RequestError),
    /// None of the VMs could be reached.
    Unreachable,
    /// A request to a VM failed.
    Request(SocketAddr, RequestError),
    /// A file can't be read or written.
    File(PathBuf, io::Error),
    /// Standard output or input failed.
    Io(io::Error),
    /// The logger could not be installed.
    Logs(log::SetLoggerError),
    /// A section of the configuration has no parser installed; this is a bug in
    /// the program.
    MissingPart(&'static str),
    /// The trace is malformed.
    Trace(PathBuf, replay::TraceError),
    /// The embedded fleet could not start.
    Launch(replay::LaunchError),
    /// A run that injects faults into processes could not be played.
    Soak(soak::SoakError),
    /// The sheet has faults.
    Sheet(PathBuf, Vec<sheet::RowFault>),
    /// The command needs the platform's address.
    NoPlatform,
    /// A record can't be written.
    Json(serde_json::Error),
    /// The log did not accept the change.
    Append(logstore::AppendError),
    /// The log can't be read.
    Read(logstore::ReadError),
    /// The published change of the sheet was refused.
    Refused(sheet::Refusal),
    /// The change did not appear in the log before the timeout.
    Undecided,
    /// The VM could not start.
    Start(entry::StartError),
    /// Metrics could not be sent.
    Statsd(metrics::SendError),
    /// A second signal interrupted the planned stop.
    Interrupted,
    /// The page of a report could not be written.
    Report(losses::ReportError),
    /// A measurement could not be made.
    Slope(SlopeError),
    /// A background task panicked or was cancelled.
    Task(JoinError),
    /// The command ran to its end, but its result, which it has printed, is a
    /// failure.
    Failed,
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
            CommandError::List(addr, e) => write!(f, "list of VMs from {addr}: {e}"),
            CommandError::Unreachable => write!(f, "no VM could be reached"),
            CommandError::Request(addr, e) => write!(f, "{addr}: {e}"),
            CommandError::File(path, e) => write!(f, "{}: {e}", path.display()),
            CommandError::Io(e) => write!(f, "{e}"),
            CommandError::Logs(e) => write!(f, "logs: {e}"),
            CommandError::MissingPart(name) => write!(f, "no configuration of {name} is installed"),
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
            CommandError::Interrupted => write!(f, "stopped at once by a second signal"),
            CommandError::Report(e) => write!(f, "{e}"),
            CommandError::Slope(e) => write!(f, "{e}"),
            CommandError::Task(e) => write!(f, "{e}"),
            CommandError::Failed => Ok(()),
        }
    }
}

impl std::error::Error for CommandError {}

/// Prints an error to standard error and returns the exit code.
pub fn exit_code(result: Result<(), CommandError>) -> ExitCode {
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
