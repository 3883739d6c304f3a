//! How a balancer makes itself known, and tells others which balancers there are.
//!
//! The load pattern: a whole fleet starts, and every process speaks to every other for the first time. Each needs one
//! list of addresses, whoever sends it; a list for each pair would fill the links while clients come back.

use std::net::Ipv4Addr;

use super::peers::{PEERS_PER_TICK, next_few};
use super::{Action, Balancer};
use crate::clock::Time;
use crate::l4::health::ANNOUNCE_MS;
use crate::l4::message::{Message, Roster};
use crate::l4::placement::Notification;
use crate::l4::roster::{TELL_MS, TELL_NEAR_MS, Told};
use crate::placement::mix;

/// A balancer that has run for longer has found the others, or hears of them by their own signs, in milliseconds.
const YOUNG_MS: u64 = 2_000;

/// Pause until a young balancer speaks again to others that have not answered, in milliseconds: processes of one start
/// are up within a few of these.
const INTRODUCE_MS: u64 = 100;

/// Addresses in one datagram: at four bytes each they fit beside the orders of evacuation, however large the fleet.
pub const ADDRESSES: usize = 256;

/// Lists of addresses that one word of a process is answered with, from all who hear it together: one is enough, and
/// some may be lost.
const LISTS: usize = 4;

/// Balancers among which turns are taken to answer a later sign: more than hear it, because the next one comes soon.
const LATER_HEARERS: usize = 4 * PEERS_PER_TICK;

/// Time after which others are to answer a process with a list, in milliseconds: as long as between two of an agent's
/// announcements, so that each of them is answered.
const TURN_MS: u64 = ANNOUNCE_MS;

/// Digest noted for an agent that was told of no addresses.
const NO_LIST: u64 = 0;

/// What a balancer remembers of its introductions.
#[derive(Debug)]
pub(super) struct Introductions {
    /// When the balancer started, and when it last spoke to others that have not answered.
    opened: Time,
    spoke: Time,
}

impl Introductions {
    /// Those of a balancer that starts.
    pub(super) const fn open(now: Time) -> Self {
        Self { opened: now, spoke: now }
    }
}

impl Balancer {
    /// Speaks again to balancers that have not answered, while this one is young.
    ///
    /// Guards against processes that start together and miss each other's first word: the next round of signs may be
    /// seconds away, and until then the packets of clients are carried without them.
    pub(super) fn introduce_again(&mut self, now: Time) -> Vec<Action> {
        if now.since(self.introductions.opened) > YOUNG_MS
            || now.since(self.introductions.spoke) < INTRODUCE_MS
        {
            return Vec::new();
        }
        self.introductions.spoke = now;
        let is_silent = |peer: &Ipv4Addr| self.words.get(*peer).is_none();
        let silent: Vec<Ipv4Addr> = self.peers.iter().filter(is_silent).collect();
        if silent.is_empty() {
            return Vec::new();
        }
        let sign = self.sign(now);
        let turn = usize::try_from(now.millis() / INTRODUCE_MS).unwrap_or(0) * PEERS_PER_TICK;
        let told = next_few(&silent, turn, PEERS_PER_TICK);
        told.map(|peer| Action::Send(peer, sign.clone())).collect()
    }

    /// The addresses for a balancer that spoke, if it lacks some of them; empty if it does not.
    ///
    /// Guards against lists between all pairs: when all balancers start at once each hears of each other for the
    /// first time, and where both go on to differ, because one of them has not yet dropped a balancer that died,
    /// a list with every sign would cost ten times what the signs do. So the one that knows more tells, rarely
    /// for one view, and only a few others at a time.
    pub(super) fn list_for(
        &mut self,
        now: Time,
        peer: Ipv4Addr,
        roster: &Roster,
        is_new: bool,
    ) -> Vec<Message> {
        let orders = self.ledger.revision();
        let outlook = self.outlook(now);
        let lacks_some = roster.digest != outlook.digest && roster.known <= outlook.count();
        let told = Told { at: now, digest: outlook.digest, orders };
        let count = outlook.balancers.len();
        let before = self.told.get(&peer);
        let was_told = before.is_some_and(|before| before.covers(&told, TELL_MS));
        if !lacks_some || was_told || !roster.balancers.is_empty() {
            return Vec::new();
        }
        // Who speaks for the first time speaks to all. Later signs go to a few in turn, again and again.
        let hearers = if is_new { count } else { count.min(LATER_HEARERS) };
        if !self.is_turn(now, peer, hearers) {
            return Vec::new();
        }
        self.told.insert(peer, told);
        self.own_list(now)
    }

    /// Tells an agent who the balancers are, or that this one lives, if it is time.
    ///
    /// Guards against a loss of power after which every balancer hands all addresses to every agent: one list
    /// is enough for an agent, whoever sends it, and those that get a sign instead speak again in 0.3 s.
    pub(super) fn tell_agent(&mut self, now: Time, agent: Ipv4Addr, is_near: bool) -> Vec<Action> {
        let pause_ms = if is_near { TELL_NEAR_MS } else { TELL_MS };
        let orders = self.ledger.revision();
        let digest = self.outlook(now).digest;
        let told = Told { at: now, digest, orders };
        let telling = self.pool.notification(agent, told, pause_ms);
        let hearers =
            if telling == Notification::Addresses { self.hearers(now, is_near) } else { 0 };
        let messages = match telling {
            Notification::Nothing => return Vec::new(),
            Notification::Addresses if self.is_turn(now, agent, hearers) => {
                self.pool.record_sent(agent, told);
                self.own_list(now)
            }
            Notification::Heartbeat => {
                self.pool.record_sent(agent, told);
                vec![self.sign(now)]
            }
            Notification::Addresses => {
                self.pool.record_sent(agent, Told { digest: NO_LIST, ..told });
                vec![self.sign(now)]
            }
        };
        messages.into_iter().map(|message| Action::Send(agent, message)).collect()
    }

    /// Whether it is this balancer's turn to answer a process's word with a list, where so many hear that word.
    ///
    /// Guards against a process that never gets a list: whose turn it is changes for each process by itself, so that
    /// none is left out because others always speak before it.
    fn is_turn(&self, now: Time, to: Ipv4Addr, hearers: usize) -> bool {
        let pair = u64::from(self.identity.address.to_bits()) << 32 | u64::from(to.to_bits());
        let one_in = u64::try_from(hearers / LISTS).unwrap_or(u64::MAX).max(1);
        mix(pair ^ mix(now.millis() / TURN_MS)).is_multiple_of(one_in)
    }

    /// Balancers that hear an agent's word: those of its failure domain, or all if it is not of this one.
    fn hearers(&mut self, now: Time, is_near: bool) -> usize {
        let near = if is_near { self.domain_peers(now).len() + 1 } else { usize::MAX };
        near.min(self.outlook(now).balancers.len())
    }

    /// This balancer's word with the addresses of all that it knows, in datagrams of bounded length.
    fn own_list(&mut self, now: Time) -> Vec<Message> {
        let word = self.word(now);
        let balancers = self.outlook(now).balancers.clone();
        let part = |part: &[Ipv4Addr]| {
            Message::Roster(Roster { balancers: part.to_vec(), ..word.clone() })
        };
        balancers.chunks(ADDRESSES).map(part).collect()
    }
}
