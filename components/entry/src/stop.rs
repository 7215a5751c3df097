//! The planned stop: the VM takes no new jobs, finishes those in flight, hands
//! tickets and outcomes to a successor, announces the successor, and only then
//! ends (docs/design/planned-stop.md).

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use jobs::Reason;
use kernel::{Incarnation, Millis};
use routing::Policy;
use timeline::{EventKind, Note};
use tokio::time::{Instant, sleep};
use wire::Connect;

use crate::core::{Core, Stage};
use crate::heartbeat::send_all_heartbeats;
use crate::message::{HANDOVER_PATH, Handover, HandoverReply};
use crate::pass::{PeerError, call_peer};

/// Interval at which to check whether jobs and releases are finished.
const POLL_PERIOD: Duration = Duration::from_millis(10);

/// Timeout of a successor's answer to a handover.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(3);

/// Maximum number of times that a handover is sent to one successor.
const MAX_TRIES: usize = 5;

/// Pause before a handover is resent.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Longest time to wait until all claims are released.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(1);

/// Runs the planned stop of a VM. Jobs that have not ended within `wait` are
/// aborted and answered as failed.
pub async fn stop<C: Connect, P: Policy>(core: &Arc<Core<C, P>>, wait: Millis) {
    core.note(Note::new(EventKind::VmStopping));
    core.set_stage(Stage::Stopping);
    core.members().leave(core.now());
    core.publish_view();
    send_all_heartbeats(core).await;
    finish_jobs(core, Instant::now() + wait.duration()).await;
    flush_releases(core).await;
    hand_over(core).await;
    core.set_stage(Stage::Stopped);
    send_all_heartbeats(core).await;
    core.note(Note::new(EventKind::VmStopped));
}

async fn finish_jobs<C: Connect, P: Policy>(core: &Core<C, P>, deadline: Instant) {
    while !core.table.running().is_empty() || core.passing.count() > 0 {
        if Instant::now() > deadline {
            core.passing.abort();
            for run in core.table.running() {
                run.abort(Reason::Stopping);
            }
        }
        sleep(POLL_PERIOD).await;
    }
}

async fn flush_releases<C: Connect, P: Policy>(core: &Core<C, P>) {
    let deadline = Instant::now() + RELEASE_TIMEOUT;
    while core.claimer.has_releases() && !core.claimer.is_log_away() && Instant::now() < deadline {
        sleep(POLL_PERIOD).await;
    }
}

/// Hands ticket windows and kept outcomes to the first peer that takes them.
/// Once a peer may have received them no other peer is tried, so that no ticket
/// has two owners.
async fn hand_over<C: Connect, P: Policy>(core: &Core<C, P>) {
    let peers = successors(core);
    if peers.is_empty() {
        return;
    }
    let handover = Handover {
        from: core.me.vm.clone(),
        windows: core.windows.hand_over(),
        kept: core.table.kept(),
    };
    for (incarnation, addr) in peers {
        match offer(core, addr, &handover).await {
            OfferResult::Taken => return announce_successor(core, incarnation),
            OfferResult::Lost => return,
            OfferResult::Refused => {}
        }
    }
}

/// Returns the peers that can take over, those of this domain first.
pub fn successors<C: Connect, P: Policy>(core: &Core<C, P>) -> Vec<(Incarnation, SocketAddr)> {
    let view = core.view.load();
    let mut peers: Vec<_> = view.peers.iter().filter(|p| p.takes_work()).collect();
    peers.sort_by_key(|p| p.domain != core.cfg.domain);
    let named = peers.iter().filter_map(|p| Some((p.incarnation?, p.peers)));
    named.collect()
}

/// Result of offering a handover to a peer.
enum OfferResult {
    /// The peer has taken over and answers for the windows now.
    Taken,
    /// The peer has taken over nothing.
    Refused,
    /// No answer arrived, so the peer may have taken over.
    Lost,
}

/// Offers a handover to a peer, and resends it while no answer arrives.
async fn offer<C: Connect, P: Policy>(
    core: &Core<C, P>,
    addr: SocketAddr,
    handover: &Handover,
) -> OfferResult {
    let mut maybe_taken = false;
    for _ in 0..MAX_TRIES {
        let answer = call_peer(&core.peers, addr, HANDOVER_PATH, handover, HANDOVER_TIMEOUT).await;
        match answer {
            Ok(HandoverReply::Taken) => return OfferResult::Taken,
            Ok(HandoverReply::Stopping) if !maybe_taken => return OfferResult::Refused,
            Ok(HandoverReply::Stopping) => return OfferResult::Lost,
            Err(PeerError::Call(e)) if !e.maybe_sent() => {}
            Err(_) => maybe_taken = true,
        }
        sleep(RETRY_PAUSE).await;
    }
    match maybe_taken {
        true => OfferResult::Lost,
        false => OfferResult::Refused,
    }
}

/// Announces the successor to all peers through membership.
fn announce_successor<C: Connect, P: Policy>(core: &Core<C, P>, successor: Incarnation) {
    core.members().hand_over(core.now(), successor);
    core.publish_view();
    let vm = core.vm_name(successor);
    core.note(Note::new(EventKind::VmHandover(vm)));
}
