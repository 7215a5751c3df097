//! The control loops of a VM. They never delay a job: the request path reads
//! the snapshots that they publish.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use jobs::Coverage;
use kernel::{Clock, Millis, MinionId, Offset, Slots, Team};
use limits::Share;
use logstore::{MachineList, Platform, Presence, Stream};
use membership::{Health, PeerView, View};
use routing::{MinionInfo, Policy};
use sheet::Subject;
use timeline::{EventKind, Note};
use tokio::time::{MissedTickBehavior, interval, sleep};
use wire::Connect;

use crate::changes;
use crate::claimed::Applied;
use crate::core::Core;
use crate::digests;
use crate::gauges;
use crate::heartbeat::{contact_seed, fetch_sheet, send_due_heartbeats};
use crate::message::CLAIMS_PATH;
use crate::message::ClaimsReply;
use crate::pass::call_peer;

/// Interval at which heartbeats that are due are sent.
const HEARTBEAT_TICK: Duration = Duration::from_millis(50);

/// Interval at which queues are served even if no slot was given back on this
/// VM.
const SERVE_TICK: Duration = Duration::from_millis(5);

/// Interval at which the platform's list of machines is read.
const LIST_PERIOD: Duration = Duration::from_millis(500);

/// Pause after the platform or a peer could not be reached.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Interval at which claims that were not read back in time are given up.
const EXPIRE_TICK: Duration = Duration::from_millis(20);

/// Interval at which the renewal of the sheet is considered.
const RENEW_PERIOD: Duration = Duration::from_secs(1);

/// Timeout of reading a peer's claims.
const CLAIMS_TIMEOUT: Duration = Duration::from_secs(3);

/// Starts all control loops.
pub fn start<C: Connect, P: Policy>(core: &Arc<Core<C, P>>) {
    tokio::spawn(serve_queues(core.clone()));
    tokio::spawn(send_heartbeats(core.clone()));
    tokio::spawn(digests::send_rounds(core.clone()));
    tokio::spawn(contact_seeds(core.clone()));
    tokio::spawn(read_list(core.clone()));
    tokio::spawn(read_sheets(core.clone()));
    tokio::spawn(apply_inputs(core.clone()));
    tokio::spawn(renew_sheet(core.clone()));
    tokio::spawn(read_claims(core.clone()));
    tokio::spawn(expire_claims(core.clone()));
    tokio::spawn(gauges::watch(core.clone()));
    tokio::spawn(changes::watch(core.clone()));
    let core = core.clone();
    tokio::spawn(async move { core.claimer.append_all(&core.platform).await });
}

async fn serve_queues<C: Connect, P: Policy>(core: Arc<Core<C, P>>) {
    let mut ticks = interval(SERVE_TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
    loop {
        ticks.tick().await;
        core.dispatch.tick();
    }
}

async fn send_heartbeats<C: Connect, P: Policy>(core: Arc<Core<C, P>>) {
    let mut ticks = interval(HEARTBEAT_TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
    loop {
        ticks.tick().await;
        send_due_heartbeats(&core);
        core.publish_view();
    }
}

/// Sends heartbeats to the seeds of the settings until some peer is known.
async fn contact_seeds<C: Connect, P: Policy>(core: Arc<Core<C, P>>) {
    while core.view.load().peers.is_empty() {
        for &addr in &core.cfg.seeds {
            contact_seed(&core, addr).await;
        }
        sleep(RETRY_PAUSE).await;
    }
}

async fn read_list<C: Connect, P: Policy>(core: Arc<Core<C, P>>) {
    loop {
        if let Ok(listing) = core.platform.list().await {
            core.set_listing(listing);
        }
        sleep(LIST_PERIOD).await;
    }
}

async fn read_sheets<C: Connect, P: Policy>(core: Arc<Core<C, P>>) {
    let wait = core.cfg.log.read_wait;
    loop {
        let answer = core
            .platform
            .read(Stream::Sheet, core.sheets.next(), wait)
            .await;
        match answer {
            Ok(chunk) => {
                let gap = core.sheets.apply(&chunk);
                if gap {
                    fetch_sheet(&core).await;
                    sleep(RETRY_PAUSE).await;
                }
            }
            Err(_) => {
                if !core.sheets.is_known() {
                    fetch_sheet(&core).await;
                }
                sleep(RETRY_PAUSE).await;
            }
        }
    }
}

async fn renew_sheet<C: Connect, P: Policy>(core: Arc<Core<C, P>>) {
    loop {
        sleep(RENEW_PERIOD).await;
        let rank = core.view.load().rank;
        let (now, wall) = (core.now(), core.clock.wall());
        core.sheets.renew(&core.platform, now, wall, rank).await;
    }
}

async fn read_claims<C: Connect, P: Policy>(core: Arc<Core<C, P>>) {
    loop {
        let (from, _) = core.claimer.position();
        let was_away = core.claimer.is_log_away();
        // While the log is away no long poll is used: without new records its
        // answer, which shows that the log is back, would come late, and
        // callers would be refused until then.
        let wait = match was_away {
            true => Millis(0),
            false => core.cfg.log.read_wait,
        };
        let departed = core.view.load().departed.clone();
        match core.platform.read(Stream::Claims, from, wait).await {
            Ok(chunk) => match core.claimer.apply(&chunk) {
                Applied::Read { complete, .. } => {
                    if complete {
                        core.claimer.set_departed_read(departed);
                    }
                    if was_away {
                        core.note(Note::new(EventKind::LogBack));
                    }
                }
                Applied::Gap => fetch_missing_claims(&core, chunk.first).await,
            },
            Err(_) => {
                core.claimer.set_log_away();
                if !was_away {
                    core.note(Note::new(EventKind::LogAway));
                }
                sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// Asks peers for the claims that the log has dropped. If all known VMs have
/// answered and none has every missing claim, the claims that reach back
/// furthest are taken over, if they reach further than the log, and reading
/// continues from there. Otherwise it continues at the oldest record of the
/// log.
async fn fetch_missing_claims<C: Connect, P: Policy>(core: &Arc<Core<C, P>>, first: Offset) {
    // Whether the list is known and whom it names come from one snapshot: with
    // an older snapshot nobody would be asked, and the claims would be skipped.
    let view = core.view.load_full();
    if !view.is_listed {
        sleep(RETRY_PAUSE).await;
        return;
    }
    let mut unanswered = false;
    let mut best: Option<Coverage> = None;
    for peer in view.peers.iter().filter(|p| p.health != Health::Gone) {
        let answer = call_peer(&core.peers, peer.peers, CLAIMS_PATH, &(), CLAIMS_TIMEOUT).await;
        match answer {
            Ok(ClaimsReply { coverage }) => {
                if core.claimer.import(&coverage) {
                    return;
                }
                best = further_back(best, coverage);
            }
            Err(_) => unanswered = true,
        }
    }
    if unanswered {
        sleep(RETRY_PAUSE).await;
        return;
    }
    match best {
        Some(coverage) if coverage.first < first && coverage.next > first => {
            core.claimer.skip_to(coverage.first);
            core.claimer.import(&coverage);
        }
        _ => core.claimer.skip_to(first),
    }
}

/// Returns the coverage that reaches further back.
fn further_back(best: Option<Coverage>, other: Coverage) -> Option<Coverage> {
    match best {
        Some(best) if best.first <= other.first => Some(best),
        _ => Some(other),
    }
}

async fn expire_claims<C: Connect, P: Policy>(core: Arc<Core<C, P>>) {
    let mut ticks = interval(EXPIRE_TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
    loop {
        ticks.tick().await;
        core.claimer.expire();
    }
}

/// Inputs from which the tables of minions and quotas are built.
#[derive(PartialEq)]
struct TableInputs {
    /// Offset of the sheet in force.
    sheet: Option<Offset>,
    /// List of machines as last read. The list is kept alive here, so that no
    /// later list can have the same address in memory.
    listing: Arc<MachineList>,
    /// Minions that are leaving, according to peers.
    leaving: Arc<BTreeSet<MinionId>>,
    /// This VM's rank among all VMs, and their number.
    rank: (usize, usize),
    /// This VM's rank among its domain's VMs, and their number.
    home_rank: (usize, usize),
}

/// Updates minions, quotas and shares whenever the sheet, the list of machines
/// or the set of peers has changed.
async fn apply_inputs<C: Connect, P: Policy>(core: Arc<Core<C, P>>) {
    let mut last = None;
    loop {
        let _ = tokio::time::timeout(HEARTBEAT_TICK, core.sheets.changed()).await;
        let Some(listing) = core.listing.load_full() else {
            continue;
        };
        let now = read_inputs(&core, &listing);
        if last.as_ref() != Some(&now) {
            update_tables(&core, &listing, &now);
            last = Some(now);
        }
    }
}

fn read_inputs<C: Connect, P: Policy>(
    core: &Core<C, P>,
    listing: &Arc<MachineList>,
) -> TableInputs {
    let view = core.view.load();
    TableInputs {
        sheet: core.sheets.version(),
        listing: listing.clone(),
        leaving: view.leaving.clone(),
        rank: (view.rank, view.live.max(1)),
        home_rank: home_rank(&view),
    }
}

/// Returns this VM's rank among the live VMs of its domain, and their number.
fn home_rank(view: &View) -> (usize, usize) {
    let same_domain = |p: &&PeerView| p.domain == view.me.domain && p.takes_work();
    let peers: Vec<_> = view.peers.iter().filter(same_domain).collect();
    let ahead = peers.iter().filter(|p| p.id < view.me.id).count();
    (ahead, peers.len() + 1)
}

fn update_tables<C: Connect, P: Policy>(
    core: &Core<C, P>,
    listing: &MachineList,
    inputs: &TableInputs,
) {
    let Some(held) = core.sheets.held() else {
        return;
    };
    let minions: Vec<_> = listing
        .minions
        .iter()
        .map(|row| MinionInfo {
            id: row.id.clone(),
            domain: row.domain.clone(),
            addr: row.addr,
            services: allowed_services(&held.sheet, row),
            slots: row.slots,
            cores: row.cores,
            leaving: row.presence == Presence::Leaving || inputs.leaving.contains(&row.id),
        })
        .collect();
    core.dispatch.fleet.update(&minions);
    core.dispatch
        .set_sharers(inputs.home_rank.0, inputs.home_rank.1);
    core.claimer.set_sharers(inputs.rank.1);
    set_quotas(core, &held.sheet, listing, inputs);
}

/// Returns the services of a minion to which the sheet gives slots in the
/// minion's domain.
fn allowed_services(sheet: &sheet::Sheet, row: &logstore::MinionRow) -> Vec<kernel::Service> {
    let has_slots = |s: &&kernel::Service| {
        let slots = sheet.service_slots(s, &row.domain);
        slots.is_some_and(|n| n > Slots(0))
    };
    row.services.iter().filter(has_slots).cloned().collect()
}

fn team_of(row: sheet::Row) -> Option<Team> {
    match row.key.subject {
        Subject::Team(team) => Some(team),
        Subject::Service(_) => None,
    }
}

fn set_quotas<C: Connect, P: Policy>(
    core: &Core<C, P>,
    sheet: &sheet::Sheet,
    listing: &MachineList,
    inputs: &TableInputs,
) {
    let share = |(rank, live)| Share {
        vm: core.me.vm.clone(),
        rank,
        live,
    };
    let home = &core.cfg.domain;
    let teams: BTreeSet<Team> = sheet.rows().filter_map(team_of).collect();
    let total = |t: &Team| Some((t.clone(), sheet.team_total(t)?));
    let local = |t: &Team| Some((t.clone(), sheet.team_quota(t, home)?));
    let totals: Vec<_> = teams.iter().filter_map(total).collect();
    let locals: Vec<_> = teams.iter().filter_map(local).collect();
    core.dispatch.teams.update(&totals, share(inputs.rank));
    core.dispatch
        .home_teams
        .update(&locals, share(inputs.home_rank));
    let services: BTreeSet<_> = listing.minions.iter().flat_map(|m| &m.services).collect();
    let given = |s: &&kernel::Service| {
        let slots = sheet.service_slots(s, home)?;
        Some((crate::dispatch::as_team(s), slots))
    };
    let caps: Vec<_> = services.iter().filter_map(given).collect();
    core.dispatch
        .services
        .update(&caps, share(inputs.home_rank));
}
