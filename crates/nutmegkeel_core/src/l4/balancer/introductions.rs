//! How a balancer makes itself known, and tells others which balancers there are.
//!
//! The load pattern: a whole fleet starts, and every process speaks to every other for the first time. Each needs one
//! list of addresses, whoever sends it; a list for each pair would fill the links while clients come back.

use std::net::Ipv4Addr;

use super::peers::{PEERS_PER_TICK, next_few};
use super::{Action, Balancer};
use crate::clock::Time;
use crate::l4::allowance::Allowance;
use crate::l4::message::{Message, Roster};
use crate::l4::placement::Telling;
use crate::l4::roster::{TELL_MS, Told};

/// A balancer that has run for longer has found the others, or hears of them by their own signs, in milliseconds.
const YOUNG_MS: u64 = 2_000;

/// Pause until a young balancer speaks again to others that have not answered, in milliseconds: processes of one start
/// are up within a few of these.
const INTRODUCE_MS: u64 = 100;

/// Addresses in one datagram: at four bytes each they fit beside the orders of evacuation, however large the fleet.
pub const ADDRESSES: usize = 256;

/// Lists of addresses to other balancers at once, and in a second: each needs one from anybody, so that these
/// are many lists for each when all start together.
const LISTS_AT_ONCE: u64 = 16;
const LISTS_TO_PEERS_PER_S: u64 = 4;

/// Lists of addresses to agents in a second at least.
const LISTS_PER_S: u64 = 16;

/// Lists that an agent may get in a second from all balancers together, where that is more.
const LISTS_PER_AGENT_S: usize = 4;

/// Digest noted for an agent that was told of no addresses.
const NO_LIST: u64 = 0;

/// What limits a balancer's introductions.
#[derive(Debug)]
pub(super) struct Introductions {
    /// When the balancer started, and when it last spoke to others that have not answered.
    opened: Time,
    spoke: Time,
    /// Lists of addresses that may be sent to balancers, and to agents.
    to_peers: Allowance,
    to_agents: Allowance,
}

impl Introductions {
    /// Those of a balancer that starts.
    pub(super) const fn open(now: Time) -> Self {
        let to_peers = Allowance::open(now, LISTS_AT_ONCE);
        let to_agents = Allowance::open(now, LISTS_PER_S);
        Self { opened: now, spoke: now, to_peers, to_agents }
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
    pub(super) fn list_for(&mut self, now: Time, peer: Ipv4Addr, roster: &Roster) -> Vec<Message> {
        let orders = self.ledger.revision();
        let outlook = self.outlook(now);
        let lacks_some = roster.digest != outlook.digest && roster.known <= outlook.count();
        let told = Told { at: now, digest: outlook.digest, orders };
        let before = self.told.get(&peer);
        let was_told = before.is_some_and(|before| before.covers(&told, TELL_MS));
        if !lacks_some || was_told || !roster.balancers.is_empty() {
            return Vec::new();
        }
        if !self.introductions.to_peers.take(now, LISTS_TO_PEERS_PER_S, LISTS_AT_ONCE) {
            return Vec::new();
        }
        self.told.insert(peer, told);
        self.own_list(now)
    }

    /// Tells an agent who the balancers are, or that this one lives, if it is time.
    ///
    /// Guards against a loss of power after which every balancer hands all addresses to every agent: one list
    /// is enough for an agent, whoever sends it, and those that get a sign instead speak again.
    pub(super) fn tell_agent(&mut self, now: Time, agent: Ipv4Addr, pause_ms: u64) -> Vec<Action> {
        let orders = self.ledger.revision();
        let digest = self.outlook(now).digest;
        let told = Told { at: now, digest, orders };
        let messages = match self.pool.telling(agent, told, pause_ms) {
            Telling::Nothing => return Vec::new(),
            Telling::Addresses if self.may_list_to_agent(now) => {
                self.pool.note_told(agent, told);
                self.own_list(now)
            }
            Telling::Sign => {
                self.pool.note_told(agent, told);
                vec![self.sign(now)]
            }
            Telling::Addresses => {
                self.pool.note_told(agent, Told { digest: NO_LIST, ..told });
                vec![self.sign(now)]
            }
        };
        messages.into_iter().map(|message| Action::Send(agent, message)).collect()
    }

    fn may_list_to_agent(&mut self, now: Time) -> bool {
        let outlook = self.outlook(now);
        let (agents, balancers) = (outlook.agents, outlook.balancers.len().max(1));
        let per_s =
            u64::try_from(LISTS_PER_AGENT_S * agents.div_ceil(balancers)).unwrap_or(u64::MAX);
        let per_s = per_s.max(LISTS_PER_S);
        self.introductions.to_agents.take(now, per_s, per_s)
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
