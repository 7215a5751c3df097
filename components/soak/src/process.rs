//! A VM's process.

use std::fs::OpenOptions;
use std::path::{Path, PathBuf};
use std::process::Stdio;

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use tokio::process::{Child, Command};

use crate::error::SoakError;

/// The variable that names a VM's settings file.
const SETTINGS_VARIABLE: &str = "POMELOPOST_NODE_FILE";

/// A VM's program with its settings and logs, running or not. A process that
/// runs is killed with it.
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

    /// Returns how often it was started, which tells its lives apart.
    pub fn starts(&self) -> u32 {
        self.starts
    }

    /// Starts it; its logs are added to those of its former lives.
    ///
    /// # Errors
    ///
    /// Fails when the log can't be opened or the program not started.
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

    /// Sends a signal; nothing happens to a process that has ended.
    ///
    /// # Errors
    ///
    /// Fails when the system refuses.
    pub fn signal(&self, signal: Signal) -> Result<(), SoakError> {
        let Some(id) = self.child.as_ref().and_then(Child::id) else {
            return Ok(());
        };
        kill(Pid::from_raw(id as i32), signal).map_err(SoakError::Signal)
    }

    /// Tells whether it runs.
    pub fn runs(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_some_and(|c| matches!(c.try_wait(), Ok(None)))
    }

    /// Kills it and waits for its end.
    pub async fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // It fails if the process has ended by itself.
            let _ = child.kill().await;
        }
    }
}
