//! `pomeloctl status`: shows the fleet as its VMs see it, and where they
//! disagree.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;
use std::net::SocketAddr;

use clap::Args;
use serde_json::value::RawValue;

use crate::cmd::print;
use crate::error::{CommandError, RequestError};
use crate::fleet::Fleet;
use crate::view::VmStatus;

/// Arguments of `pomeloctl status`.
#[derive(Debug, Args)]
pub struct StatusArgs {
    /// Write the status of each VM as a line of JSON.
    #[arg(long)]
    json: bool,
}

/// HTTP path of the status of a VM.
const STATUS_PATH: &str = "/v1/status";

/// Runs `pomeloctl status`.
///
/// # Errors
///
/// Fails with exit code 1 when a VM did not answer, or when a VM found a
/// contradiction in the sheet's history.
pub async fn run(fleet: &Fleet, args: &StatusArgs) -> Result<(), CommandError> {
    if args.json {
        return print_json(fleet).await;
    }
    let answers = fleet.get_all::<VmStatus>(STATUS_PATH).await;
    let unreachable = report_unreachable(&answers);
    let mut vms: Vec<VmStatus> = answers.into_iter().flat_map(|(_, vm)| vm).collect();
    vms.sort_by(|a, b| a.vm.cmp(&b.vm));
    if vms.is_empty() {
        return Err(CommandError::Unreachable);
    }
    print(&format_tables(&vms))?;
    match unreachable || vms.iter().any(|vm| vm.sheet_faults > 0) {
        true => Err(CommandError::Failed),
        false => Ok(()),
    }
}

async fn print_json(fleet: &Fleet) -> Result<(), CommandError> {
    let answers = fleet.get_all::<Box<RawValue>>(STATUS_PATH).await;
    let unreachable = report_unreachable(&answers);
    for (_, status) in answers {
        if let Ok(status) = status {
            print(&format!("{status}\n"))?;
        }
    }
    match unreachable {
        true => Err(CommandError::Failed),
        false => Ok(()),
    }
}

fn report_unreachable<T>(answers: &[(SocketAddr, Result<T, RequestError>)]) -> bool {
    let mut unreachable = false;
    for (addr, answer) in answers {
        if let Err(e) = answer {
            eprintln!("not reached: {addr}: {e}");
            unreachable = true;
        }
    }
    unreachable
}

/// Formats the status of the VMs as tables.
pub fn format_tables(vms: &[VmStatus]) -> String {
    let mut out = String::new();
    // Writing to a string can't fail.
    let _ = vm_table(&mut out, vms);
    let _ = service_table(&mut out, vms);
    let _ = minion_table(&mut out, vms);
    let _ = quota_table(&mut out, vms);
    let _ = peer_table(&mut out, vms);
    out
}

fn vm_table(out: &mut String, vms: &[VmStatus]) -> std::fmt::Result {
    let newest = vms.iter().filter_map(|vm| vm.sheet).max();
    let width = vms.iter().map(|vm| vm.vm.as_str().len()).max().unwrap_or(0);
    writeln!(
        out,
        "{:width$}  stage     ready  sheet       log      jobs",
        "vm"
    )?;
    for vm in vms {
        let sheet = vm.sheet.map_or("none".to_owned(), |at| at.to_string());
        let lag = if vm.sheet < newest { " lags" } else { "" };
        writeln!(
            out,
            "{:width$}  {:8}  {:5}  {:10}  {:7}  {}",
            vm.vm.as_str(),
            vm.stage,
            if vm.ready { "yes" } else { "no" },
            format!("{sheet}{lag}"),
            vm.log,
            vm.running,
        )?;
    }
    Ok(())
}

fn service_table(out: &mut String, vms: &[VmStatus]) -> std::fmt::Result {
    let mut sums: BTreeMap<&str, (usize, usize)> = BTreeMap::new();
    for service in vms.iter().flat_map(|vm| &vm.services) {
        let sum = sums.entry(service.service.as_str()).or_default();
        sum.0 += service.held;
        sum.1 += service.waiting;
    }
    for (service, (held, waiting)) in sums {
        writeln!(
            out,
            "service {service}: {held} slots held, {waiting} tasks waiting"
        )?;
    }
    Ok(())
}

/// Lists the minions that are not in normal use, and the VMs that report them,
/// since VMs may disagree.
fn minion_table(out: &mut String, vms: &[VmStatus]) -> std::fmt::Result {
    let mut unusual: BTreeMap<(&str, &str), BTreeSet<&str>> = BTreeMap::new();
    for vm in vms {
        for minion in &vm.minions {
            let id = minion.id.as_str();
            if minion.mode != "normal" {
                let reporters = unusual.entry((id, minion.mode.as_str())).or_default();
                reporters.insert(vm.vm.as_str());
            }
            if minion.leaving {
                unusual
                    .entry((id, "leaving"))
                    .or_default()
                    .insert(vm.vm.as_str());
            }
        }
    }
    for ((minion, mode), reporters) in unusual {
        writeln!(
            out,
            "minion {minion}: {mode}, {}",
            format_reporters(&reporters, vms.len())
        )?;
    }
    Ok(())
}

fn quota_table(out: &mut String, vms: &[VmStatus]) -> std::fmt::Result {
    let mut full: BTreeMap<&str, BTreeSet<&str>> = BTreeMap::new();
    for vm in vms {
        for team in vm.teams.iter().filter(|t| t.held >= t.limit) {
            full.entry(&team.team).or_default().insert(vm.vm.as_str());
        }
    }
    for (team, reporters) in full {
        writeln!(
            out,
            "team {team}: at quota, {}",
            format_reporters(&reporters, vms.len())
        )?;
    }
    Ok(())
}

fn peer_table(out: &mut String, vms: &[VmStatus]) -> std::fmt::Result {
    let mut doubted: BTreeMap<(&str, &str), BTreeSet<&str>> = BTreeMap::new();
    for vm in vms {
        for peer in vm.peers.iter().filter(|p| p.belief != "live") {
            let reporters = doubted.entry((peer.vm.as_str(), &peer.belief)).or_default();
            reporters.insert(vm.vm.as_str());
        }
    }
    for ((peer, belief), reporters) in doubted {
        writeln!(
            out,
            "peer {peer}: {belief}, {}",
            format_reporters(&reporters, vms.len())
        )?;
    }
    Ok(())
}

/// Formats the VMs that report something: all of them, or a list.
fn format_reporters(reporters: &BTreeSet<&str>, all: usize) -> String {
    match reporters.len() == all {
        true => "say all".to_owned(),
        false => {
            let names: Vec<_> = reporters.iter().copied().collect();
            format!("says {}", names.join(", "))
        }
    }
}
