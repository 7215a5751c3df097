//! What goes into heartbeats, and what is taken from them.

use kernel::{Incarnation, Millis, Offset, Timestamp, VmId};
use rand::Rng;

use crate::beat::{
    Beat, DepartedNews, MAX_DEPARTED_NEWS, MAX_MINION_NEWS, MAX_VM_NEWS, Sync, VmNews,
};
use crate::event::Target;
use crate::membership::Membership;
use crate::peer::Peer;
use crate::view::Health;
use crate::vm::{Generation, Presence, Vm};

/// What a hop adds to the age of hearsay.
const HOP_AGE: Millis = Millis(50);

/// The age from which hearsay is not passed on.
const NEWS_MAX_AGE: Millis = Millis(60_000);

impl<R: Rng> Membership<R> {
    /// Writes the heartbeat for a target.
    pub fn beat<N>(&mut self, now: Timestamp, target: &Target, note: N) -> Beat<N> {
        self.write(now, &target.id, None, note)
    }

    /// Writes the answer to a heartbeat.
    pub fn reply<N>(&mut self, now: Timestamp, asker: &Vm, note: N) -> Beat<N> {
        self.write(now, &asker.id, Some(asker), note)
    }

    fn write<N>(&mut self, now: Timestamp, to: &VmId, asker: Option<&Vm>, note: N) -> Beat<N> {
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
        Beat {
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

    /// Picks the VMs to tell of: a later life of the receiver's own id first,
    /// then the least told.
    fn vm_news(&mut self, now: Timestamp, to: &VmId, asker: Option<&Vm>) -> Vec<VmNews> {
        let mut order: Vec<(bool, u32, VmId)> = Vec::new();
        for peer in self.peers.iter() {
            let own = peer.id == *to;
            let same = asker.is_none_or(|vm| peer.incarnation() == Some(vm.incarnation));
            let old = peer.silence(now, Timestamp(0)) > NEWS_MAX_AGE;
            let gone = self.health(peer, now) == Health::Gone;
            let useless = peer.last_sign().is_none() || old || gone;
            if (own && same) || (!own && useless) {
                continue;
            }
            order.push((!own, peer.told, peer.id.clone()));
        }
        order.sort();
        order.truncate(MAX_VM_NEWS);
        let mut news = Vec::with_capacity(order.len());
        for (_, _, id) in &order {
            let Some(peer) = self.peers.get_mut(id) else {
                continue;
            };
            peer.told = peer.told.saturating_add(1);
            news.extend(peer.vm().map(|vm| VmNews {
                vm,
                presence: peer.presence,
                age: peer.silence(now, Timestamp(0)),
            }));
        }
        news
    }

    /// Takes all that a heartbeat or its answer says.
    pub(crate) fn hear<N>(&mut self, now: Timestamp, beat: &Beat<N>) {
        if beat.from.id == self.me.id {
            self.meet_own(now, &beat.from, beat.presence);
            return;
        }
        if self.meet(now, &beat.from, true) {
            self.note_state(now, beat);
        } else {
            self.counters.stale_beats += 1;
        }
        let mut fresh = false;
        if let Some(successor) = beat.successor {
            fresh |= self.part_with(now, beat.from.incarnation, Some(successor));
        }
        for news in beat.vms.iter().take(MAX_VM_NEWS) {
            self.hear_vm(now, news);
        }
        for news in beat.leaving.news.iter().take(MAX_MINION_NEWS) {
            fresh |= self.leaving.hear(now, news);
        }
        for news in beat.departed.news.iter().take(MAX_DEPARTED_NEWS) {
            fresh |= self.depart(now, *news);
        }
        if fresh {
            self.hasten(now);
        }
    }

    /// Notes what a peer says of itself.
    fn note_state<N>(&mut self, now: Timestamp, beat: &Beat<N>) {
        let Some(peer) = self.peers.get_mut(&beat.from.id) else {
            return;
        };
        peer.heard = Some(now);
        peer.fails = 0;
        if peer.presence != beat.presence {
            peer.told = 0;
        }
        peer.presence = beat.presence;
        let dropped = raise(&mut peer.sheet, beat.sheet) | raise(&mut peer.claims, beat.claims);
        self.counters.offset_drops += u64::from(dropped);
        peer.leaving_digest = beat.leaving.digest;
        peer.departed_digest = beat.departed.digest;
    }

    fn hear_vm(&mut self, now: Timestamp, news: &VmNews) {
        if news.vm.id == self.me.id {
            self.meet_own(now, &news.vm, news.presence);
            return;
        }
        if !self.meet(now, &news.vm, false) {
            return;
        }
        let Some(peer) = self.peers.get_mut(&news.vm.id) else {
            return;
        };
        let age = Millis(news.age.0.saturating_add(HOP_AGE.0));
        let at = Timestamp(now.0.saturating_sub(age.micros()));
        if Some(at) > peer.last_sign() {
            peer.presence = news.presence;
        }
        peer.rumored = peer.rumored.max(Some(at));
    }

    /// Meets a VM, directly or by hearsay. It answers whether the life met is
    /// the one believed in now.
    fn meet(&mut self, now: Timestamp, vm: &Vm, direct: bool) -> bool {
        if self.departed.contains(vm.incarnation) {
            return false;
        }
        let known = self.peers.get(&vm.id);
        let fresh = known.is_some_and(|p| self.health(p, now) == Health::Live);
        let new = || Peer::new(now, vm.id.clone(), vm.domain.clone(), vm.callers, vm.peers);
        let peer = self.peers.entry(&vm.id, new);
        match peer.life {
            Some((generation, own)) if own == vm.incarnation => {
                if direct || vm.generation > generation {
                    peer.become_life(vm);
                }
                return true;
            }
            Some((generation, own)) if !vm.is_after(generation, own) => return false,
            // Hearsay does not do away with a life that is heard itself.
            Some(_) if fresh && !direct => return false,
            _ => {}
        }
        let before = peer.vm();
        let presence = peer.presence;
        peer.become_life(vm);
        peer.due = now;
        if let Some(old) = before {
            self.replace(now, &old, presence);
        }
        true
    }

    /// Meets another life of this VM's own id. A process that has just started
    /// goes ahead of an earlier one whose clock was ahead; any other yields to a
    /// later one.
    fn meet_own(&mut self, now: Timestamp, vm: &Vm, presence: Presence) {
        let me = (self.me.generation, self.me.incarnation);
        if vm.incarnation == self.me.incarnation || self.departed.contains(vm.incarnation) {
            return;
        }
        if vm.is_after(me.0, me.1) {
            // One that is stopping does not outbid the life that follows it.
            if !self.is_young(now) || self.presence == Presence::Leaving {
                self.replaced = true;
                return;
            }
            self.me.generation = Generation(vm.generation.0.saturating_add(1));
        }
        self.replace(now, vm, presence);
    }

    /// Notes that another life has replaced one. A life that was stopping may
    /// still name a successor.
    fn replace(&mut self, now: Timestamp, old: &Vm, presence: Presence) {
        match presence {
            Presence::Leaving => self.parting.add(old, now.after(self.config.absent_after)),
            Presence::Live => {
                self.part_with(now, old.incarnation, None);
            }
        }
    }

    /// Notes what this VM itself has found to be gone.
    pub(crate) fn part_with(
        &mut self,
        now: Timestamp,
        incarnation: Incarnation,
        successor: Option<Incarnation>,
    ) -> bool {
        let left = self.config.forget_after;
        self.depart(
            now,
            DepartedNews {
                incarnation,
                successor,
                left,
            },
        )
    }

    /// Notes that an incarnation is gone. It answers whether that is news.
    fn depart(&mut self, now: Timestamp, news: DepartedNews) -> bool {
        if news.incarnation == self.me.incarnation {
            self.replaced |= self.successor.is_none();
            return false;
        }
        if news.successor.is_some() {
            self.parting.remove(news.incarnation);
        } else if self.parting.contains(news.incarnation) {
            return false;
        }
        self.departed.add(now, news)
    }
}

/// Raises an offset. It answers whether the new one is lower, which no life of
/// a VM ever reports.
fn raise(held: &mut Option<Offset>, new: Option<Offset>) -> bool {
    let dropped = new < *held;
    *held = new.max(*held);
    dropped
}
