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

/// What to do with a sheet.
#[derive(Debug, Subcommand)]
pub enum SheetCommand {
    /// List every fault of a sheet by line and column.
    Check {
        /// The CSV file.
        file: PathBuf,
    },
    /// Show a sheet as the system reads it.
    Show {
        /// The CSV file.
        file: PathBuf,
    },
    /// Publish a sheet and wait until each live VM has it in force.
    Publish(PublishArgs),
}

/// What to publish.
#[derive(Debug, Args)]
pub struct PublishArgs {
    /// The CSV file.
    file: PathBuf,
    /// The operator's name.
    #[arg(long, env = "USER", default_value = "operator")]
    by: Operator,
    /// The longest wait until every VM has it in force.
    #[arg(long, default_value = "30s", value_name = "SPAN")]
    patience: Millis,
}

/// The log as the operators' tool uses it.
type Log = HttpPlatform<TcpConnect>;

/// The pause between two looks at the VMs.
const LOOK: Duration = Duration::from_millis(100);

/// Runs `pomeloctl sheet`.
///
/// # Errors
///
/// Fails with exit code 2 when the sheet has faults, and with 1 when it was
/// refused, could not be published or is not in force everywhere in time.
pub async fn run(fleet: &FleetArgs, command: SheetCommand) -> Result<(), CommandError> {
    match command {
        SheetCommand::Check { file } => read(&file).map(drop),
        SheetCommand::Show { file } => print(&read(&file)?.to_csv()),
        SheetCommand::Publish(args) => publish(fleet, &args).await,
    }
}

fn read(file: &Path) -> Result<Sheet, CommandError> {
    let bytes = fs::read(file).map_err(|e| CommandError::File(file.to_path_buf(), e))?;
    Sheet::parse_bytes(&bytes).map_err(|faults| CommandError::Sheet(file.to_path_buf(), faults))
}

async fn publish(fleet: &FleetArgs, args: &PublishArgs) -> Result<(), CommandError> {
    let sheet = read(&args.file)?;
    let addr = fleet.platform.ok_or(CommandError::NoPlatform)?;
    let until = Instant::now() + args.patience.duration();
    let client = Client::new(TcpConnect, PoolLimits::default());
    let log = HttpPlatform::new(client, addr, fleet.wait);
    let mut known = SheetLog::new();
    read_on(&log, &mut known).await?;
    let id = append(&log, &known, &sheet, &args.by).await?;
    let offset = find(&log, &mut known, id, until).await?;
    print(&format!("accepted at offset {offset}\n"))?;
    wait_in_force(&Fleet::find(fleet).await?, offset, until).await
}

/// Appends the change. A lost answer is no failure: the change is looked for in
/// the log by its id, and never appended again.
async fn append(
    log: &Log,
    known: &SheetLog,
    sheet: &Sheet,
    by: &Operator,
) -> Result<ChangeId, CommandError> {
    let id = ChangeId::draw(&mut Xoshiro256PlusPlus::from_os_rng());
    let record = SheetRecord::Change(Change {
        id,
        by: by.clone(),
        base: known.version().map_or(Base::Empty, Base::At),
        at: SystemClock::new().wall(),
        body: Body::encode(known.held().map(|h| &*h.sheet), sheet),
    });
    let text = record.to_json().map_err(CommandError::Json)?;
    match log.append(Stream::Sheet, Bytes::from(text)).await {
        Ok(_) | Err(AppendError::Unknown) => Ok(id),
        Err(refused) => Err(CommandError::Append(refused)),
    }
}

/// Reads the log up to its end.
async fn read_on(log: &Log, known: &mut SheetLog) -> Result<(), CommandError> {
    loop {
        let read = log.read(Stream::Sheet, known.next(), Millis(0)).await;
        let chunk = read.map_err(CommandError::Read)?;
        known.skip_trimmed(chunk.first);
        for record in &chunk.records {
            known.apply(record.offset, &record.data);
        }
        if known.next() >= chunk.end {
            return Ok(());
        }
    }
}

/// Reads on until the change is found and judged.
async fn find(
    log: &Log,
    known: &mut SheetLog,
    id: ChangeId,
    until: Instant,
) -> Result<Offset, CommandError> {
    while Instant::now() < until {
        // The log may be away for a while; the change is looked for again.
        let _ = read_on(log, known).await;
        if let Some(outcome) = known.outcome(id) {
            return match &outcome.refusal {
                None => Ok(outcome.offset),
                Some(refusal) => Err(CommandError::Refused(refusal.clone())),
            };
        }
        sleep(LOOK).await;
    }
    Err(CommandError::Undecided)
}

/// Waits until every VM has the change in force, and names those that lag.
async fn wait_in_force(fleet: &Fleet, offset: Offset, until: Instant) -> Result<(), CommandError> {
    loop {
        let answers = fleet.get_all::<VmStatus>("/v1/status").await;
        let has = |vm: &VmStatus| vm.sheet >= Some(offset);
        let late = answers.iter().filter(|(_, vm)| !vm.as_ref().is_ok_and(has));
        let late: Vec<String> = late.map(|(addr, _)| addr.to_string()).collect();
        if late.is_empty() {
            return print(&format!("in force on all {} VMs\n", answers.len()));
        }
        if Instant::now() > until {
            print(&format!("not in force on {}\n", late.join(", ")))?;
            return Err(CommandError::Bad);
        }
        sleep(LOOK).await;
    }
}
