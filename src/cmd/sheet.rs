//! `pomeloctl sheet`: checks, shows and publishes the planners' CSV.

use std::fs;
use std::path::{Path, PathBuf};
use std::time::Duration;

use bytes::Bytes;
use clap::{Args, Subcommand};
use kernel::{Clock, Millis, Offset, SystemClock};
use logstore::{AppendError, HttpPlatform, Platform, Stream};
use rand::SeedableRng;
use rand_xoshiro::Xoshiro256PlusPlus;
use sheet::{Base, Body, Change, ChangeId, Operator, Sheet, SheetLog, SheetRecord};
use tokio::time::{Instant, sleep};
use wire::{Client, PoolLimits, TcpConnect};

use crate::cmd::print;
use crate::error::CommandError;
use crate::fleet::{Fleet, FleetArgs};
use crate::view::VmStatus;

/// Subcommands of `pomeloctl sheet`.
#[derive(Debug, Subcommand)]
pub enum SheetCommand {
    /// List every fault of a sheet with its line and column.
    Check {
        /// CSV file of the sheet.
        file: PathBuf,
    },
    /// Show a sheet as the system reads it.
    Show {
        /// CSV file of the sheet.
        file: PathBuf,
    },
    /// Publish a sheet and wait until it is in force on every live VM.
    Publish(PublishArgs),
}

/// Arguments of `pomeloctl sheet publish`.
#[derive(Debug, Args)]
pub struct PublishArgs {
    /// CSV file of the sheet.
    file: PathBuf,
    /// Name of the operator who publishes.
    #[arg(long, env = "USER", default_value = "operator")]
    by: Operator,
    /// Timeout for the sheet to be in force on every VM.
    #[arg(long, default_value = "30s", value_name = "SPAN")]
    patience: Millis,
}

/// Client of the platform's log.
type Log = HttpPlatform<TcpConnect>;

/// Pause between two polls of the log or of the VMs.
const POLL_PERIOD: Duration = Duration::from_millis(100);

/// Runs `pomeloctl sheet`.
///
/// # Errors
///
/// Fails with exit code 2 when the sheet has faults, and with 1 when it was
/// refused, could not be published or is not in force on every VM in time.
pub async fn run(fleet: &FleetArgs, command: SheetCommand) -> Result<(), CommandError> {
    match command {
        SheetCommand::Check { file } => read_sheet(&file).map(drop),
        SheetCommand::Show { file } => print(&read_sheet(&file)?.to_csv()),
        SheetCommand::Publish(args) => publish(fleet, &args).await,
    }
}

fn read_sheet(file: &Path) -> Result<Sheet, CommandError> {
    let bytes = fs::read(file).map_err(|e| CommandError::File(file.to_path_buf(), e))?;
    Sheet::parse_bytes(&bytes).map_err(|faults| CommandError::Sheet(file.to_path_buf(), faults))
}

async fn publish(fleet: &FleetArgs, args: &PublishArgs) -> Result<(), CommandError> {
    let sheet = read_sheet(&args.file)?;
    let addr = fleet.platform.ok_or(CommandError::NoPlatform)?;
    let deadline = Instant::now() + args.patience.duration();
    let client = Client::new(TcpConnect, PoolLimits::default());
    let log = HttpPlatform::new(client, addr, fleet.wait);
    let mut history = SheetLog::new();
    read_to_end(&log, &mut history).await?;
    let id = append(&log, &history, &sheet, &args.by).await?;
    let offset = find_change(&log, &mut history, id, deadline).await?;
    print(&format!("accepted at offset {offset}\n"))?;
    wait_in_force(&Fleet::discover(fleet).await?, offset, deadline).await
}

/// Appends the change. A lost answer is not an error: the caller looks for the
/// change in the log by its id, and never appends it again.
async fn append(
    log: &Log,
    history: &SheetLog,
    sheet: &Sheet,
    by: &Operator,
) -> Result<ChangeId, CommandError> {
    let id = ChangeId::draw(&mut Xoshiro256PlusPlus::from_os_rng());
    let record = SheetRecord::Change(Change {
        id,
        by: by.clone(),
        base: history.version().map_or(Base::Empty, Base::At),
        at: SystemClock::new().wall(),
        body: Body::encode(history.held().map(|h| &*h.sheet), sheet),
    });
    let text = record.to_json().map_err(CommandError::Json)?;
    match log.append(Stream::Sheet, Bytes::from(text)).await {
        Ok(_) | Err(AppendError::Unknown) => Ok(id),
        Err(refused) => Err(CommandError::Append(refused)),
    }
}

/// Applies the rest of the log, up to its end.
async fn read_to_end(log: &Log, history: &mut SheetLog) -> Result<(), CommandError> {
    loop {
        let read = log.read(Stream::Sheet, history.next(), Millis(0)).await;
        let chunk = read.map_err(CommandError::Read)?;
        history.skip_trimmed(chunk.first);
        for record in &chunk.records {
            history.apply(record.offset, &record.data);
        }
        if history.next() >= chunk.end {
            return Ok(());
        }
    }
}

/// Reads the log until it contains the change, and returns the offset at which
/// the change was accepted.
async fn find_change(
    log: &Log,
    history: &mut SheetLog,
    id: ChangeId,
    deadline: Instant,
) -> Result<Offset, CommandError> {
    while Instant::now() < deadline {
        // The log may be unavailable for a while; the next poll reads it again.
        let _ = read_to_end(log, history).await;
        if let Some(outcome) = history.outcome(id) {
            return match &outcome.refusal {
                None => Ok(outcome.offset),
                Some(refusal) => Err(CommandError::Refused(refusal.clone())),
            };
        }
        sleep(POLL_PERIOD).await;
    }
    Err(CommandError::Undecided)
}

/// Waits until the change is in force on every VM; prints the VMs that lag when
/// the deadline passes.
async fn wait_in_force(
    fleet: &Fleet,
    offset: Offset,
    deadline: Instant,
) -> Result<(), CommandError> {
    loop {
        let answers = fleet.get_all::<VmStatus>("/v1/status").await;
        let in_force = |vm: &VmStatus| vm.sheet >= Some(offset);
        let lagging = answers
            .iter()
            .filter(|(_, vm)| !vm.as_ref().is_ok_and(in_force));
        let lagging: Vec<String> = lagging.map(|(addr, _)| addr.to_string()).collect();
        if lagging.is_empty() {
            return print(&format!("in force on all {} VMs\n", answers.len()));
        }
        if Instant::now() > deadline {
            print(&format!("not in force on {}\n", lagging.join(", ")))?;
            return Err(CommandError::Failed);
        }
        sleep(POLL_PERIOD).await;
    }
}
