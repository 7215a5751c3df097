//! `pomeloctl status`: the fleet as its VMs see it, and where they disagree.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;
use std::net::SocketAddr;

use clap::Args;
use serde_json::value::RawValue;

use crate::cmd::print;
use crate::error::{AskError, CommandError};
use crate::fleet::Fleet;
use crate::view::VmStatus;

/// How to show the fleet.
#[derive(Debug, Args)]
pub struct StatusArgs {
    /// Write each VM's status as a line of JSON.
    #[arg(long)]
    json: bool,
}

/// Where a VM shows its status.
const STATUS_PATH: &str = "/v1/status";

/// Runs `pomeloctl status`.
///
/// # Errors
///
/// Fails when no VM answers, and with exit code 1 when some VM did not answer
/// or a sheet's history contradicted itself.
pub async fn run(fleet: &Fleet, args: &StatusArgs) -> Result<(), CommandError> {
    if args.json {
        return raw(fleet).await;
    }
    let answers = fleet.get_all::<VmStatus>(STATUS_PATH).await;
    let lost = tell_lost(&answers);
    let mut vms: Vec<VmStatus> = answers.into_iter().flat_map(|(_, vm)| vm).collect();
    vms.sort_by(|a, b| a.vm.cmp(&b.vm));
    if vms.is_empty() {
        return Err(CommandError::Unreachable);
    }
    print(&text(&vms))?;
    match lost || vms.iter().any(|vm| vm.sheet_faults > 0) {
        true => Err(CommandError::Bad),
        false => Ok(()),
    }
}

async fn raw(fleet: &Fleet) -> Result<(), CommandError> {
    let answers = fleet.get_all::<Box<RawValue>>(STATUS_PATH).await;
    let lost = tell_lost(&answers);
    for (_, status) in answers {
        if let Ok(status) = status {
            print(&format!("{status}\n"))?;
        }
    }
    match lost {
        true => Err(CommandError::Bad),
        false => Ok(()),
    }
}

fn tell_lost<T>(answers: &[(SocketAddr, Result<T, AskError>)]) -> bool {
    let mut lost = false;
    for (addr, answer) in answers {
        if let Err(e) = answer {
            eprintln!("not reached: {addr}: {e}");
            lost = true;
        }
    }
    lost
}

/// Writes the tables for people.
pub fn text(vms: &[VmStatus]) -> String {
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

/// Lists minions out of normal use and who says so, since VMs may disagree.
fn minion_table(out: &mut String, vms: &[VmStatus]) -> std::fmt::Result {
    let mut odd: BTreeMap<(&str, &str), BTreeSet<&str>> = BTreeMap::new();
    for vm in vms {
        for minion in &vm.minions {
            let id = minion.id.as_str();
            if minion.mode != "normal" {
                let seen = odd.entry((id, minion.mode.as_str())).or_default();
                seen.insert(vm.vm.as_str());
            }
            if minion.leaving {
                odd.entry((id, "leaving"))
                    .or_default()
                    .insert(vm.vm.as_str());
            }
        }
    }
    for ((minion, mode), seen) in odd {
        writeln!(out, "minion {minion}: {mode}, {}", by(&seen, vms.len()))?;
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
    for (team, seen) in full {
        writeln!(out, "team {team}: at quota, {}", by(&seen, vms.len()))?;
    }
    Ok(())
}

fn peer_table(out: &mut String, vms: &[VmStatus]) -> std::fmt::Result {
    let mut doubted: BTreeMap<(&str, &str), BTreeSet<&str>> = BTreeMap::new();
    for vm in vms {
        for peer in vm.peers.iter().filter(|p| p.belief != "live") {
            let seen = doubted.entry((peer.vm.as_str(), &peer.belief)).or_default();
            seen.insert(vm.vm.as_str());
        }
    }
    for ((peer, belief), seen) in doubted {
        writeln!(out, "peer {peer}: {belief}, {}", by(&seen, vms.len()))?;
    }
    Ok(())
}

/// Tells who says so: all VMs, or these.
fn by(seen: &BTreeSet<&str>, all: usize) -> String {
    match seen.len() == all {
        true => "say all".to_owned(),
        false => {
            let names: Vec<_> = seen.iter().copied().collect();
            format!("says {}", names.join(", "))
        }
    }
}
