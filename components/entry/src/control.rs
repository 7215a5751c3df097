//! The loops that keep a VM's beliefs up to date. They hold no job up: the
//! request path reads the snapshots that they publish.

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

use crate::beat::{ask_peers, beat_due, greet};
use crate::changes;
use crate::claimed::Applied;
use crate::core::Core;
use crate::digests;
use crate::levels;
use crate::message::CLAIMS_PATH;
use crate::message::ClaimsReply;
use crate::pass::ask;

/// How often heartbeats that are due are looked for.
const BEAT_LOOK: Duration = Duration::from_millis(50);

/// How often queues are served without a slot having been given back here.
const SERVE_LOOK: Duration = Duration::from_millis(5);

/// How often the platform's list is read.
const LIST_LOOK: Duration = Duration::from_millis(500);

/// The pause after the platform could not be reached.
const AWAY_PAUSE: Duration = Duration::from_millis(200);

/// How often claims that were not read back are looked for.
const EXPIRE_LOOK: Duration = Duration::from_millis(20);

/// How often it is decided whether to write the sheet again.
const RENEW_LOOK: Duration = Duration::from_secs(1);

/// The longest wait for a peer's claims.
const CLAIMS_WAIT: Duration = Duration::from_secs(3);

/// Starts all loops.
pub fn start<C: Connect, P: Policy>(core: &Arc<Core<C, P>>) {
    tokio::spawn(serve_queues(core.clone()));
    tokio::spawn(send_beats(core.clone()));
    tokio::spawn(digests::send_rounds(core.clone()));
    tokio::spawn(greet_seeds(core.clone()));
    tokio::spawn(read_list(core.clone()));
    tokio::spawn(read_sheets(core.clone()));
    tokio::spawn(apply_beliefs(core.clone()));
    tokio::spawn(renew_sheet(core.clone()));
    tokio::spawn(read_claims(core.clone()));
    tokio::spawn(expire_claims(core.clone()));
    tokio::spawn(levels::watch(core.clone()));
    tokio::spawn(changes::watch(core.clone()));
    let core = core.clone();
    tokio::spawn(async move { core.claimer.append_all(&core.platform).await });
}

async fn serve_queues<C: Connect, P: Policy>(core: Arc<Core<C, P>>) {
    let mut look = interval(SERVE_LOOK);
    look.set_missed_tick_behavior(MissedTickBehavior::Skip);
    loop {
        look.tick().await;
        core.dispatch.tick();
    }
}

async fn send_beats<C: Connect, P: Policy>(core: Arc<Core<C, P>>) {
    let mut look = interval(BEAT_LOOK);
    look.set_missed_tick_behavior(MissedTickBehavior::Skip);
    loop {
        look.tick().await;
        beat_due(&core);
        core.publish_view();
    }
}

/// Greets the settings' seeds until some peer is known.
async fn greet_seeds<C: Connect, P: Policy>(core: Arc<Core<C, P>>) {
    while core.view.load().peers.is_empty() {
        for &addr in &core.cfg.seeds {
            greet(&core, addr).await;
        }
        sleep(AWAY_PAUSE).await;
    }
}

async fn read_list<C: Connect, P: Policy>(core: Arc<Core<C, P>>) {
    loop {
        if let Ok(listing) = core.platform.list().await {
            core.take_listing(listing);
        }
        sleep(LIST_LOOK).await;
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
                let behind = core.sheets.apply(&chunk);
                if behind {
                    ask_peers(&core).await;
                    sleep(AWAY_PAUSE).await;
                }
            }
            Err(_) => {
                if !core.sheets.known() {
                    ask_peers(&core).await;
                }
                sleep(AWAY_PAUSE).await;
            }
        }
    }
}

async fn renew_sheet<C: Connect, P: Policy>(core: Arc<Core<C, P>>) {
    loop {
        sleep(RENEW_LOOK).await;
        let rank = core.view.load().rank;
        let (now, wall) = (core.now(), core.clock.wall());
        core.sheets.renew(&core.platform, now, wall, rank).await;
    }
}

async fn read_claims<C: Connect, P: Policy>(core: Arc<Core<C, P>>) {
    loop {
        let (from, _) = core.claimer.position();
        let was_away = core.claimer.away();
        // Without new records a long poll would show only at its end that the
        // log is back, and refuse callers until then.
        let wait = match was_away {
            true => Millis(0),
            false => core.cfg.log.read_wait,
        };
        let departed = core.view.load().departed.clone();
        match core.platform.read(Stream::Claims, from, wait).await {
            Ok(chunk) => match core.claimer.apply(&chunk) {
                Applied::Read { whole, .. } => {
                    if whole {
                        core.claimer.read_after(departed);
                    }
                    if was_away {
                        core.note(Note::new(EventKind::LogBack));
                    }
                }
                Applied::Gap => fill_claims(&core, chunk.first).await,
            },
            Err(_) => {
                core.claimer.lose_log();
                if !was_away {
                    core.note(Note::new(EventKind::LogAway));
                }
                sleep(AWAY_PAUSE).await;
            }
        }
    }
}

/// Asks peers for claims that the log has dropped. When every VM that is known
/// of has answered and none reaches back far enough, the oldest coverage or the
/// log's own bound holds, and reading goes on from there.
async fn fill_claims<C: Connect, P: Policy>(core: &Arc<Core<C, P>>, first: Offset) {
    if core.listing.load().is_none() {
        // Whom to ask is not known yet.
        sleep(AWAY_PAUSE).await;
        return;
    }
    let mut silent = false;
    let mut best: Option<Coverage> = None;
    let view = core.view.load_full();
    for peer in view.peers.iter().filter(|p| p.health != Health::Gone) {
        let answer = ask(&core.peers, peer.peers, CLAIMS_PATH, &(), CLAIMS_WAIT).await;
        match answer {
            Ok(ClaimsReply { coverage }) => {
                if core.claimer.import(&coverage) {
                    return;
                }
                best = older(best, coverage);
            }
            Err(_) => silent = true,
        }
    }
    if silent {
        sleep(AWAY_PAUSE).await;
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

/// Returns the coverage that reaches back further.
fn older(best: Option<Coverage>, other: Coverage) -> Option<Coverage> {
    match best {
        Some(best) if best.first <= other.first => Some(best),
        _ => Some(other),
    }
}

async fn expire_claims<C: Connect, P: Policy>(core: Arc<Core<C, P>>) {
    let mut look = interval(EXPIRE_LOOK);
    look.set_missed_tick_behavior(MissedTickBehavior::Skip);
    loop {
        look.tick().await;
        core.claimer.expire();
    }
}

/// What the tables of minions and quotas are made of.
#[derive(PartialEq)]
struct Beliefs {
    /// The sheet in force.
    sheet: Option<Offset>,
    /// The list of machines as last read. It is held, as the address of one
    /// that was dropped may be given to the next.
    listing: Arc<MachineList>,
    /// Minions that peers say are leaving.
    leaving: Arc<BTreeSet<MinionId>>,
    /// This VM's rank among all VMs, and their number.
    all: (usize, usize),
    /// This VM's rank among its domain's VMs, and their number.
    home: (usize, usize),
}

/// Brings minions, quotas and shares in line with the sheet, the list and the
/// peers, whenever one of them has changed.
async fn apply_beliefs<C: Connect, P: Policy>(core: Arc<Core<C, P>>) {
    let mut last = None;
    loop {
        let _ = tokio::time::timeout(BEAT_LOOK, core.sheets.changed()).await;
        let Some(listing) = core.listing.load_full() else {
            continue;
        };
        let now = read_beliefs(&core, &listing);
        if last.as_ref() != Some(&now) {
            apply(&core, &listing, &now);
            last = Some(now);
        }
    }
}

fn read_beliefs<C: Connect, P: Policy>(core: &Core<C, P>, listing: &Arc<MachineList>) -> Beliefs {
    let view = core.view.load();
    Beliefs {
        sheet: core.sheets.version(),
        listing: listing.clone(),
        leaving: view.leaving.clone(),
        all: (view.rank, view.live.max(1)),
        home: home_rank(&view),
    }
}

/// Returns this VM's rank among the live VMs of its domain, and their number.
fn home_rank(view: &View) -> (usize, usize) {
    let near = |p: &&PeerView| p.domain == view.me.domain && p.takes_work();
    let peers: Vec<_> = view.peers.iter().filter(near).collect();
    let ahead = peers.iter().filter(|p| p.id < view.me.id).count();
    (ahead, peers.len() + 1)
}

fn apply<C: Connect, P: Policy>(core: &Core<C, P>, listing: &MachineList, beliefs: &Beliefs) {
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
            services: allowed(&held.sheet, row),
            slots: row.slots,
            cores: row.cores,
            leaving: row.presence == Presence::Leaving || beliefs.leaving.contains(&row.id),
        })
        .collect();
    core.dispatch.fleet.update(&minions);
    core.dispatch.share_with(beliefs.home.0, beliefs.home.1);
    core.claimer.share_with(beliefs.all.1);
    set_quotas(core, &held.sheet, listing, beliefs);
}

/// Returns the services of a minion that the sheet gives any slot there.
fn allowed(sheet: &sheet::Sheet, row: &logstore::MinionRow) -> Vec<kernel::Service> {
    let given = |s: &&kernel::Service| {
        let slots = sheet.service_slots(s, &row.domain);
        slots.is_some_and(|n| n > Slots(0))
    };
    row.services.iter().filter(given).cloned().collect()
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
    beliefs: &Beliefs,
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
    core.dispatch.teams.update(&totals, share(beliefs.all));
    core.dispatch
        .home_teams
        .update(&locals, share(beliefs.home));
    let services: BTreeSet<_> = listing.minions.iter().flat_map(|m| &m.services).collect();
    let given = |s: &&kernel::Service| {
        let slots = sheet.service_slots(s, home)?;
        Some((crate::dispatch::as_team(s), slots))
    };
    let caps: Vec<_> = services.iter().filter_map(given).collect();
    core.dispatch.services.update(&caps, share(beliefs.home));
}
