//! `pomeloctl job`: submits, shows and cancels single jobs.

use std::fs;
use std::io::Read;
use std::path::{Path, PathBuf};
use std::time::Duration;

use bytes::Bytes;
use clap::Subcommand;
use compact_str::CompactString;
use hyper::Method;
use hyper::header::HeaderValue;
use kernel::{JobKey, Millis};
use wire::Reply;

use crate::cmd::print;
use crate::error::CommandError;
use crate::fleet::{Fleet, request};
use crate::load::fetch_tickets;
use crate::view::Answer;

/// Subcommands of `pomeloctl job`.
#[derive(Debug, Subcommand)]
pub enum JobCommand {
    /// Submit a job and wait for its answer; exit with 1 unless it is complete.
    Submit {
        /// File with the JSON of the submission, or - for standard input.
        file: PathBuf,
        /// Key of the job; by default a ticket is fetched.
        #[arg(long)]
        key: Option<JobKey>,
        /// Timeout for the answer.
        #[arg(long, default_value = "60s", value_name = "SPAN")]
        patience: Millis,
    },
    /// Show the state or outcome of a job.
    Show {
        /// Key of the job.
        key: JobKey,
    },
    /// Cancel a job.
    Cancel {
        /// Key of the job.
        key: JobKey,
    },
}

/// Timeout for a look-up or a cancellation.
const LOOKUP_TIMEOUT: Duration = Duration::from_secs(10);

/// Runs `pomeloctl job`.
///
/// # Errors
///
/// Fails when no VM answers, and when a submitted job is not complete.
pub async fn run(fleet: &Fleet, command: JobCommand) -> Result<(), CommandError> {
    match command {
        JobCommand::Submit {
            file,
            key,
            patience,
        } => submit(fleet, &file, key, patience).await,
        JobCommand::Show { key } => send_job_request(fleet, Method::GET, &key).await,
        JobCommand::Cancel { key } => send_job_request(fleet, Method::DELETE, &key).await,
    }
}

async fn submit(
    fleet: &Fleet,
    file: &Path,
    key: Option<JobKey>,
    patience: Millis,
) -> Result<(), CommandError> {
    let body = read_input(file).map_err(|e| CommandError::File(file.to_path_buf(), e))?;
    let key = match key {
        Some(key) => key.into(),
        None => fetch_ticket(fleet).await?,
    };
    eprintln!("key {key}");
    let build = || {
        let mut req = request(Method::POST, "/v1/jobs", body.clone());
        if let Ok(key) = HeaderValue::from_str(&key) {
            req.headers_mut().insert(entry::KEY_HEADER, key);
        }
        req
    };
    let reply = fleet.send_any(build, patience.duration()).await?;
    print_reply(&reply)?;
    let answer: Result<Answer, _> = serde_json::from_slice(&reply.body);
    match answer.is_ok_and(|a| a.is_complete()) {
        true => Ok(()),
        false => Err(CommandError::Failed),
    }
}

/// Fetches a ticket from the first VM that mints one.
async fn fetch_ticket(fleet: &Fleet) -> Result<CompactString, CommandError> {
    for vm in fleet.vms() {
        if let Ok(mut tickets) = fetch_tickets(fleet, *vm, 1).await {
            return tickets.pop().ok_or(CommandError::Unreachable);
        }
    }
    Err(CommandError::Unreachable)
}

async fn send_job_request(fleet: &Fleet, method: Method, key: &JobKey) -> Result<(), CommandError> {
    let path = format!("/v1/jobs/{key}");
    let build = || request(method.clone(), &path, Bytes::new());
    let reply = fleet.send_any(build, LOOKUP_TIMEOUT).await?;
    print_reply(&reply)?;
    match reply.status.is_success() {
        true => Ok(()),
        false => Err(CommandError::Failed),
    }
}

fn print_reply(reply: &Reply) -> Result<(), CommandError> {
    print(&format!("{}\n", String::from_utf8_lossy(&reply.body)))
}

fn read_input(file: &Path) -> std::io::Result<Bytes> {
    if file == Path::new("-") {
        let mut all = Vec::new();
        std::io::stdin().read_to_end(&mut all)?;
        return Ok(Bytes::from(all));
    }
    fs::read(file).map(Bytes::from)
}
