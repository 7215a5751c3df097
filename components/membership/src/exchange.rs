//! Builds heartbeats, and applies received ones.

use kernel::{Incarnation, Millis, Offset, Timestamp, VmId};
use rand::Rng;

use crate::event::Target;
use crate::heartbeat::{
    DepartedNews, Heartbeat, MAX_DEPARTED_NEWS, MAX_MINION_NEWS, MAX_VM_NEWS, Sync, VmNews,
};
use crate::membership::Membership;
use crate::peer::Peer;
use crate::view::Health;
use crate::vm::{Generation, Presence, Vm};

/// Time that each hop adds to the age of gossip about a VM.
const HOP_AGE: Millis = Millis(50);

/// Maximum age of gossip about a VM that is passed on.
const MAX_GOSSIP_AGE: Millis = Millis(60_000);

impl<R: Rng> Membership<R> {
    /// Builds the heartbeat for a target.
    pub fn heartbeat<N>(&mut self, now: Timestamp, target: &Target, note: N) -> Heartbeat<N> {
        self.build_heartbeat(now, &target.id, None, note)
    }

    /// Builds the answer to a heartbeat.
    pub fn reply<N>(&mut self, now: Timestamp, asker: &Vm, note: N) -> Heartbeat<N> {
        self.build_heartbeat(now, &asker.id, Some(asker), note)
    }

    fn build_heartbeat<N>(
        &mut self,
        now: Timestamp,
        to: &VmId,
        asker: Option<&Vm>,
        note: N,
    ) -> Heartbeat<N> {
        let peer = self.peers.get(to);
        let known = peer.map(|p| (p.leaving_digest, p.departed_digest));
        let (their_leaving, their_departed) = known.unwrap_or_default();
        let domain = peer.map_or(&self.me.domain, |p| &p.domain).clone();
        let digest = self.leaving.digest();
        let same = their_leaving == digest;
        let leaving = Sync {
            digest,
            news: self.leaving.batch(now, MAX_MINION_NEWS, &domain, same),
        };
        let mut departed = Sync {
            digest: self.departed.digest(),
            news: Vec::new(),
        };
        if their_departed != departed.digest {
            departed.news = self.departed.batch(now, MAX_DEPARTED_NEWS);
        }
        if let Some(own) = asker.and_then(|vm| self.departed.get(now, vm.incarnation)) {
            departed.news.truncate(MAX_DEPARTED_NEWS - 1);
            departed.news.push(own);
        }
        Heartbeat {
            from: self.me.clone(),
            presence: self.presence,
            successor: self.successor.map(|(s, _)| s),
            sheet: self.sheet,
            claims: self.claims,
            vms: self.vm_news(now, to, asker),
            leaving,
            departed,
            note,
        }
    }

    /// Picks the VMs for the gossip: another process with the receiver's own id
    /// first, then the VMs that were sent least often.
    fn vm_news(&mut self, now: Timestamp, to: &VmId, asker: Option<&Vm>) -> Vec<VmNews> {
        let mut order: Vec<(bool, u32, VmId)> = Vec::new();
        for peer in self.peers.iter() {
            let own = peer.id == *to;
            let same = asker.is_none_or(|vm| peer.incarnation() == Some(vm.incarnation));
            let is_old = peer.silence(now, Timestamp(0)) > MAX_GOSSIP_AGE;
            let gone = self.health(peer, now) == Health::Gone;
            let unusable = peer.last_seen().is_none() || is_old || gone;
            if (own && same) || (!own && unusable) {
                continue;
            }
            order.push((!own, peer.gossip_count, peer.id.clone()));
        }
        order.sort();
        order.truncate(MAX_VM_NEWS);
        let mut news = Vec::with_capacity(order.len());
        for (_, _, id) in &order {
            let Some(peer) = self.peers.get_mut(id) else {
                continue;
            };
            peer.gossip_count = peer.gossip_count.saturating_add(1);
            news.extend(peer.vm().map(|vm| VmNews {
                vm,
                presence: peer.presence,
                age: peer.silence(now, Timestamp(0)),
            }));
        }
        news
    }

    /// Applies all parts of a heartbeat or of its answer.
    pub(crate) fn apply_heartbeat<N>(&mut self, now: Timestamp, heartbeat: &Heartbeat<N>) {
        if heartbeat.from.id == self.me.id {
            self.observe_own_id(now, &heartbeat.from, heartbeat.presence);
            return;
        }
        if self.observe_process(now, &heartbeat.from, true) {
            self.apply_peer_state(now, heartbeat);
        } else {
            self.counters.stale_heartbeats += 1;
        }
        let mut changed = false;
        if let Some(successor) = heartbeat.successor {
            changed |= self.mark_departed(now, heartbeat.from.incarnation, Some(successor));
        }
        for news in heartbeat.vms.iter().take(MAX_VM_NEWS) {
            self.apply_vm_news(now, news);
        }
        for news in heartbeat.leaving.news.iter().take(MAX_MINION_NEWS) {
            changed |= self.leaving.apply_news(now, news);
        }
        for news in heartbeat.departed.news.iter().take(MAX_DEPARTED_NEWS) {
            changed |= self.apply_departure(now, *news);
        }
        if changed {
            self.expedite(now);
        }
    }

    /// Records the state that a peer reports of itself.
    fn apply_peer_state<N>(&mut self, now: Timestamp, heartbeat: &Heartbeat<N>) {
        let Some(peer) = self.peers.get_mut(&heartbeat.from.id) else {
            return;
        };
        peer.last_heartbeat = Some(now);
        peer.failures = 0;
        if peer.presence != heartbeat.presence {
            peer.gossip_count = 0;
        }
        peer.presence = heartbeat.presence;
        let dropped = raise_offset(&mut peer.sheet, heartbeat.sheet)
            | raise_offset(&mut peer.claims, heartbeat.claims);
        self.counters.offset_drops += u64::from(dropped);
        peer.leaving_digest = heartbeat.leaving.digest;
        peer.departed_digest = heartbeat.departed.digest;
    }

    fn apply_vm_news(&mut self, now: Timestamp, news: &VmNews) {
        if news.vm.id == self.me.id {
            self.observe_own_id(now, &news.vm, news.presence);
            return;
        }
        if !self.observe_process(now, &news.vm, false) {
            return;
        }
        let Some(peer) = self.peers.get_mut(&news.vm.id) else {
            return;
        };
        let age = Millis(news.age.0.saturating_add(HOP_AGE.0));
        let at = Timestamp(now.0.saturating_sub(age.micros()));
        if Some(at) > peer.last_seen() {
            peer.presence = news.presence;
        }
        peer.last_gossip = peer.last_gossip.max(Some(at));
    }

    /// Records a process of a peer VM, learned from its own message or by gossip.
    /// Returns whether it is the VM's current process as far as this VM knows.
    fn observe_process(&mut self, now: Timestamp, vm: &Vm, direct: bool) -> bool {
        if self.departed.contains(vm.incarnation) {
            return false;
        }
        let known = self.peers.get(&vm.id);
        let is_live = known.is_some_and(|p| self.health(p, now) == Health::Live);
        let new = || Peer::new(now, vm.id.clone(), vm.domain.clone(), vm.callers, vm.peers);
        let peer = self.peers.entry(&vm.id, new);
        match peer.process {
            Some((generation, own)) if own == vm.incarnation => {
                if direct || vm.generation > generation {
                    peer.set_process(vm);
                }
                return true;
            }
            Some((generation, own)) if !vm.is_after(generation, own) => return false,
            // Gossip does not replace a process that sends messages itself.
            Some(_) if is_live && !direct => return false,
            _ => {}
        }
        let previous = peer.vm();
        let presence = peer.presence;
        peer.set_process(vm);
        peer.due = now;
        if let Some(old) = previous {
            self.replace_process(now, &old, presence);
        }
        true
    }

    /// Records another process with this VM's own id. If that one has the higher
    /// generation, a process that has just started raises its own above it, since
    /// the clock of an earlier process may have been ahead; otherwise this process
    /// yields.
    fn observe_own_id(&mut self, now: Timestamp, vm: &Vm, presence: Presence) {
        let me = (self.me.generation, self.me.incarnation);
        if vm.incarnation == self.me.incarnation || self.departed.contains(vm.incarnation) {
            return;
        }
        if vm.is_after(me.0, me.1) {
            // A stopping process does not raise its generation above the one that
            // follows it.
            if !self.is_starting(now) || self.presence == Presence::Leaving {
                self.replaced = true;
                return;
            }
            self.me.generation = Generation(vm.generation.0.saturating_add(1));
        }
        self.replace_process(now, vm, presence);
    }

    /// Records that a process was replaced by another one of the same VM id. A
    /// process in its planned stop may still name a successor.
    fn replace_process(&mut self, now: Timestamp, old: &Vm, presence: Presence) {
        match presence {
            Presence::Leaving => self.stopping.add(old, now.after(self.config.absent_after)),
            Presence::Live => {
                self.mark_departed(now, old.incarnation, None);
            }
        }
    }

    /// Records an incarnation that this VM itself has found to be gone. Returns
    /// whether peers should be notified.
    pub(crate) fn mark_departed(
        &mut self,
        now: Timestamp,
        incarnation: Incarnation,
        successor: Option<Incarnation>,
    ) -> bool {
        let left = self.config.forget_after;
        self.apply_departure(
            now,
            DepartedNews {
                incarnation,
                successor,
                left,
            },
        )
    }

    /// Records that an incarnation is gone. Returns whether peers should be
    /// notified.
    fn apply_departure(&mut self, now: Timestamp, news: DepartedNews) -> bool {
        if news.incarnation == self.me.incarnation {
            self.replaced |= self.successor.is_none();
            return false;
        }
        if news.successor.is_some() {
            self.stopping.remove(news.incarnation);
        } else if self.stopping.contains(news.incarnation) {
            return false;
        }
        self.departed.add(now, news)
    }
}

/// Raises an offset to `new`. Returns whether `new` is lower, which a process
/// must never report.
fn raise_offset(held: &mut Option<Offset>, new: Option<Offset>) -> bool {
    let dropped = new < *held;
    *held = new.max(*held);
    dropped
}
