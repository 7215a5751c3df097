//! The planned stop: take no new jobs, finish those in flight, leave tickets
//! and answers to a successor, say so, and only then go
//! (docs/design/planned-stop.md).

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use jobs::Reason;
use kernel::{Incarnation, Millis};
use routing::Policy;
use timeline::{EventKind, Note};
use tokio::time::{Instant, sleep};
use wire::Connect;

use crate::beat::beat_all;
use crate::core::{Core, Stage};
use crate::message::{HANDOVER_PATH, HandOver, HandOverReply};
use crate::pass::{PeerError, ask};

/// How often the jobs in flight are looked at.
const LOOK: Duration = Duration::from_millis(10);

/// The longest wait for a successor's answer.
const HANDOVER_WAIT: Duration = Duration::from_secs(3);

/// How often a hand-over is sent to a successor that may have got it.
const TRIES: usize = 5;

/// The pause between two tries.
const PAUSE: Duration = Duration::from_millis(200);

/// The longest wait for claims to be released.
const RELEASE_WAIT: Duration = Duration::from_secs(1);

/// Stops a VM as planned. Jobs that have not ended within `wait` are cut off
/// and answered as failed.
pub async fn stop<C: Connect, P: Policy>(core: &Arc<Core<C, P>>, wait: Millis) {
    core.note(Note::new(EventKind::VmStopping));
    core.set_stage(Stage::Stopping);
    core.members().leave(core.now());
    core.publish_view();
    beat_all(core).await;
    finish_jobs(core, Instant::now() + wait.duration()).await;
    flush_releases(core).await;
    hand_over(core).await;
    core.set_stage(Stage::Stopped);
    beat_all(core).await;
    core.note(Note::new(EventKind::VmStopped));
}

async fn finish_jobs<C: Connect, P: Policy>(core: &Core<C, P>, until: Instant) {
    while !core.table.running().is_empty() || core.passing.count() > 0 {
        if Instant::now() > until {
            core.passing.cut();
            for run in core.table.running() {
                run.cut(Reason::Stopping);
            }
        }
        sleep(LOOK).await;
    }
}

async fn flush_releases<C: Connect, P: Policy>(core: &Core<C, P>) {
    let until = Instant::now() + RELEASE_WAIT;
    while core.claimer.releasing() && !core.claimer.away() && Instant::now() < until {
        sleep(LOOK).await;
    }
}

/// Leaves windows and answers to the first peer that takes them. Once a peer
/// may have got them no other is asked, so that no ticket has two owners.
async fn hand_over<C: Connect, P: Policy>(core: &Core<C, P>) {
    let peers = successors(core);
    if peers.is_empty() {
        return;
    }
    let left = HandOver {
        from: core.me.vm.clone(),
        windows: core.windows.hand_over(),
        kept: core.table.kept(),
    };
    for (incarnation, addr) in peers {
        match offer(core, addr, &left).await {
            Offered::Taken => return name_successor(core, incarnation),
            Offered::Lost => return,
            Offered::Refused => {}
        }
    }
}

/// Returns the peers that could take over, those of this domain first.
pub fn successors<C: Connect, P: Policy>(core: &Core<C, P>) -> Vec<(Incarnation, SocketAddr)> {
    let view = core.view.load();
    let mut peers: Vec<_> = view.peers.iter().filter(|p| p.takes_work()).collect();
    peers.sort_by_key(|p| p.domain != core.cfg.domain);
    let named = peers.iter().filter_map(|p| Some((p.incarnation?, p.peers)));
    named.collect()
}

/// What became of an offer.
enum Offered {
    /// The peer answers for the windows now.
    Taken,
    /// The peer has taken nothing.
    Refused,
    /// Nobody knows.
    Lost,
}

async fn offer<C: Connect, P: Policy>(
    core: &Core<C, P>,
    addr: SocketAddr,
    left: &HandOver,
) -> Offered {
    let mut exposed = false;
    for _ in 0..TRIES {
        let answer = ask(&core.peers, addr, HANDOVER_PATH, left, HANDOVER_WAIT).await;
        match answer {
            Ok(HandOverReply::Taken) => return Offered::Taken,
            Ok(HandOverReply::Stopping) if !exposed => return Offered::Refused,
            Ok(HandOverReply::Stopping) => return Offered::Lost,
            Err(PeerError::Call(e)) if !e.maybe_sent() => {}
            Err(_) => exposed = true,
        }
        sleep(PAUSE).await;
    }
    match exposed {
        true => Offered::Lost,
        false => Offered::Refused,
    }
}

fn name_successor<C: Connect, P: Policy>(core: &Core<C, P>, successor: Incarnation) {
    core.members().hand_over(core.now(), successor);
    core.publish_view();
    let vm = core.name_of(successor);
    core.note(Note::new(EventKind::VmHandover(vm)));
}
