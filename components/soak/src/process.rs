//! The process of a VM.

use std::fs::OpenOptions;
use std::path::{Path, PathBuf};
use std::process::Stdio;

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use tokio::process::{Child, Command};

use crate::error::SoakError;

/// The environment variable with the path of a VM's settings file.
const SETTINGS_VARIABLE: &str = "POMELOPOST_NODE_FILE";

/// A VM's program with its settings and logs, running or not. Dropping it kills
/// the running process.
#[derive(Debug)]
pub struct Process {
    program: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    starts: u32,
}

impl Process {
    /// Prepares a process that has not started.
    pub fn new(program: &Path, settings: PathBuf, log: PathBuf) -> Process {
        Process {
            program: program.to_owned(),
            settings,
            log,
            child: None,
            starts: 0,
        }
    }

    /// Returns the number of starts, which identifies the current incarnation.
    pub fn starts(&self) -> u32 {
        self.starts
    }

    /// Starts the process. Its logs are appended to those of previous processes.
    ///
    /// # Errors
    ///
    /// Fails when the log can't be opened or the program can't be started.
    pub fn start(&mut self) -> Result<(), SoakError> {
        let file = |path: &PathBuf| {
            let opened = OpenOptions::new().create(true).append(true).open(path);
            opened.map_err(|e| SoakError::File(path.clone(), e))
        };
        let child = Command::new(&self.program)
            .arg("--platform")
            .env(SETTINGS_VARIABLE, &self.settings)
            .stdin(Stdio::null())
            .stdout(file(&self.log)?)
            .stderr(file(&self.log)?)
            .kill_on_drop(true)
            .spawn();
        let child = child.map_err(|e| SoakError::Program(self.program.clone(), e))?;
        self.child = Some(child);
        self.starts += 1;
        Ok(())
    }

    /// Returns the id of the process, or `None` if its end has been noticed.
    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().and_then(Child::id)
    }

    /// Sends a signal. Does nothing if the process has ended.
    ///
    /// # Errors
    ///
    /// Fails when the system doesn't allow the signal.
    pub fn signal(&self, signal: Signal) -> Result<(), SoakError> {
        let Some(id) = self.id() else {
            return Ok(());
        };
        kill(Pid::from_raw(id as i32), signal).map_err(SoakError::Signal)
    }

    /// Returns whether the process is running.
    pub fn is_running(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_some_and(|c| matches!(c.try_wait(), Ok(None)))
    }

    /// Kills the process and waits for its end.
    pub async fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // This fails if the process has already ended.
            let _ = child.kill().await;
        }
    }
}
