//! `pomeloctl experiment`: the policies side by side on embedded fleets.

use clap::Args;
use kernel::Millis;
use routing::PolicyKind;

use crate::cmd::print;
use crate::error::CommandError;
use crate::experiment::{Bad, ROW_HEAD, Row, Scale, burst, cut, loads, overload, wave, with_bad};

/// The policies, the baselines first.
const POLICIES: [PolicyKind; 4] = [
    PolicyKind::Random,
    PolicyKind::Least,
    PolicyKind::Split,
    PolicyKind::Balanced,
];

/// The load at which single minions are out of order.
const FAULT_LOAD: f64 = 0.7;

/// What to compare, and at which size.
#[derive(Debug, Args)]
pub struct ExperimentArgs {
    /// Loads as parts of all slots, with commas between.
    #[arg(long, value_delimiter = ',', default_value = "0.5,0.7,0.9,1.2")]
    loads: Vec<f64>,
    /// The policies, with commas between; all by default.
    #[arg(long, value_delimiter = ',')]
    policies: Vec<PolicyKind>,
    /// The entry VMs of each of the three failure domains.
    #[arg(long, default_value_t = 3)]
    home_vms: u32,
    /// The minions of each failure domain.
    #[arg(long, default_value_t = 16)]
    minions: u32,
    /// For how long each load is measured.
    #[arg(long, default_value = "10s", value_name = "SPAN")]
    span: Millis,
    /// For how long each fleet is warmed up before.
    #[arg(long, default_value = "3s", value_name = "SPAN")]
    warm: Millis,
    /// Leave the faults, bursts and overloads out.
    #[arg(long)]
    no_faults: bool,
    /// Seeds the loads; all policies get the same arrivals.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

/// Runs `pomeloctl experiment`: tables in Markdown on standard output.
///
/// # Errors
///
/// Fails when a fleet can't start or can't be asked.
pub async fn run(args: &ExperimentArgs) -> Result<(), CommandError> {
    let scale = Scale {
        vms: args.home_vms,
        minions: args.minions,
        span: args.span,
        warm: args.warm,
        seed: args.seed,
    };
    let policies = match args.policies.as_slice() {
        [] => POLICIES.to_vec(),
        some => some.to_vec(),
    };
    print(ROW_HEAD)?;
    for &load in &args.loads {
        let mut rows = Vec::new();
        for &policy in &policies {
            rows.push(tell(loads(&scale, policy, load).await?)?);
        }
        ratios(&rows)?;
    }
    if args.no_faults {
        return Ok(());
    }
    for bad in [Bad::Fails, Bad::Slow] {
        for &policy in &policies {
            tell(with_bad(&scale, policy, FAULT_LOAD, bad).await?)?;
        }
    }
    if let Some(&policy) = policies.last() {
        let full = tell(overload(&scale, policy, 1.0).await?)?;
        let double = tell(overload(&scale, policy, 2.0).await?)?;
        let part = double.goodput() / full.goodput();
        for row in burst(&scale, policy).await? {
            tell(row)?;
        }
        for row in cut(&scale, policy).await? {
            tell(row)?;
        }
        print(&format!("\nGoodput at 200% over 100%: {part:.2}\n\n"))?;
        print(&format!("{}\n", wave(&scale, policy).await?))?;
    }
    Ok(())
}

fn tell(row: Row) -> Result<Row, CommandError> {
    print(&format!("{row}\n"))?;
    Ok(row)
}

/// Prints the p99 of each policy over that of the last one, as a line that the
/// table skips.
fn ratios(rows: &[Row]) -> Result<(), CommandError> {
    let Some((last, others)) = rows.split_last() else {
        return Ok(());
    };
    let base = last.report.ratio.p99.max(f64::EPSILON);
    let over = |row: &Row| format!("{:.2}", row.report.ratio.p99 / base);
    let list: Vec<_> = others.iter().map(over).collect();
    eprintln!(
        "{}: p99 over the last policy's: {}",
        last.case,
        list.join(", ")
    );
    Ok(())
}
