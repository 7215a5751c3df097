//! `pomeloctl experiment`: compares the routing policies on embedded fleets.

use clap::Args;
use kernel::Millis;
use routing::PolicyKind;

use crate::cmd::print;
use crate::error::CommandError;
use crate::experiment::{
    Defect, Row, Scale, TABLE_HEAD, burst, cancel_wave, domain_cut, faulty_minion, overload,
    steady_load,
};

/// Policies to compare, baselines first.
const POLICIES: [PolicyKind; 4] = [
    PolicyKind::Random,
    PolicyKind::Least,
    PolicyKind::Split,
    PolicyKind::Balanced,
];

/// Load during the cases with one faulty minion, as a fraction of all slots.
const FAULT_LOAD: f64 = 0.7;

/// Arguments of `pomeloctl experiment`.
#[derive(Debug, Args)]
pub struct ExperimentArgs {
    /// Loads to measure, as fractions of all slots, separated by commas.
    #[arg(long, value_delimiter = ',', default_value = "0.5,0.7,0.9,1.2")]
    loads: Vec<f64>,
    /// Policies to compare, separated by commas; all by default.
    #[arg(long, value_delimiter = ',')]
    policies: Vec<PolicyKind>,
    /// Number of entry VMs in each of the three failure domains.
    #[arg(long, default_value_t = 3)]
    home_vms: u32,
    /// Number of minions in each failure domain.
    #[arg(long, default_value_t = 16)]
    minions: u32,
    /// Duration of each measured load.
    #[arg(long, default_value = "10s", value_name = "SPAN")]
    span: Millis,
    /// Duration of the warm-up of each fleet before its first load.
    #[arg(long, default_value = "3s", value_name = "SPAN")]
    warm: Millis,
    /// Skip the faults, bursts and overloads.
    #[arg(long)]
    no_faults: bool,
    /// Seed of the loads; all policies get the same arrivals.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

/// Runs `pomeloctl experiment`: prints Markdown tables to standard output.
///
/// # Errors
///
/// Fails when a fleet can't start or a VM does not answer.
pub async fn run(args: &ExperimentArgs) -> Result<(), CommandError> {
    let scale = Scale {
        vms: args.home_vms,
        minions: args.minions,
        span: args.span,
        warm_up: args.warm,
        seed: args.seed,
    };
    let policies = match args.policies.as_slice() {
        [] => POLICIES.to_vec(),
        some => some.to_vec(),
    };
    print(TABLE_HEAD)?;
    for &load in &args.loads {
        let mut rows = Vec::new();
        for &policy in &policies {
            rows.push(print_row(steady_load(&scale, policy, load).await?)?);
        }
        print_ratios(&rows)?;
    }
    if args.no_faults {
        return Ok(());
    }
    for defect in [Defect::FailsAll, Defect::Slow] {
        for &policy in &policies {
            print_row(faulty_minion(&scale, policy, FAULT_LOAD, defect).await?)?;
        }
    }
    if let Some(&policy) = policies.last() {
        let full = print_row(overload(&scale, policy, 1.0).await?)?;
        let double = print_row(overload(&scale, policy, 2.0).await?)?;
        let ratio = double.goodput() / full.goodput();
        for row in burst(&scale, policy).await? {
            print_row(row)?;
        }
        for row in domain_cut(&scale, policy).await? {
            print_row(row)?;
        }
        print(&format!("\nGoodput at 200% over 100%: {ratio:.2}\n\n"))?;
        print(&format!("{}\n", cancel_wave(&scale, policy).await?))?;
    }
    Ok(())
}

fn print_row(row: Row) -> Result<Row, CommandError> {
    print(&format!("{row}\n"))?;
    Ok(row)
}

/// Prints the p99 of each policy divided by that of the last one. The line goes
/// to standard error, outside the table.
fn print_ratios(rows: &[Row]) -> Result<(), CommandError> {
    let Some((last, others)) = rows.split_last() else {
        return Ok(());
    };
    let base = last.report.ratio.p99.max(f64::EPSILON);
    let ratio = |row: &Row| format!("{:.2}", row.report.ratio.p99 / base);
    let ratios: Vec<_> = others.iter().map(ratio).collect();
    eprintln!(
        "{}: p99 relative to the last policy: {}",
        last.case,
        ratios.join(", ")
    );
    Ok(())
}
