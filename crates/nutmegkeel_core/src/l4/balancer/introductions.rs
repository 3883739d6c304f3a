//! Introduces a balancer to others and distributes the addresses of the balancers.
//!
//! Matters when a whole fleet starts and all processes exchange their first messages. Each process
//! needs one list of addresses, from any sender; a list for each pair would saturate the links
//! while clients reconnect.

use std::net::Ipv4Addr;

use super::peers::{PEERS_PER_TICK, next_few};
use super::{Action, Balancer};
use crate::clock::Time;
use crate::l4::health::ANNOUNCE_MS;
use crate::l4::message::{Gossip, Message};
use crate::l4::placement::Notification;
use crate::l4::roster::{LOCAL_SEND_INTERVAL_MS, SEND_INTERVAL_MS, Sent};
use crate::placement::mix;

/// Run time after which a balancer has found the others, or will receive their regular messages, in
/// milliseconds.
const INTRODUCTION_PERIOD_MS: u64 = 2_000;

/// Interval at which a recently started balancer sends to peers that have not answered, in
/// milliseconds. Processes that start together are ready within a few such intervals.
const INTRODUCTION_INTERVAL_MS: u64 = 100;

/// Addresses per datagram. At four bytes each, they fit next to the evacuation orders, independent
/// of the fleet's size.
pub const ADDRESSES_PER_DATAGRAM: usize = 256;

/// Number of address lists that all receivers together send in reply to one message. One is enough,
/// and some may be lost.
const EXPECTED_LISTS: usize = 4;

/// Number of balancers that share the replies to a message that is not the first of its sender.
/// Larger than the number of receivers, because the next message follows soon.
const LATER_RECEIVERS: usize = 4 * PEERS_PER_TICK;

/// Time for which the same balancers reply to a process with a list, in milliseconds. Equal to the
/// interval of an agent's announcements, so that each of them is answered.
const TURN_MS: u64 = ANNOUNCE_MS;

/// Digest recorded for an agent that was sent no addresses.
const NO_ADDRESSES: u64 = 0;

/// Introduction state of a balancer.
#[derive(Debug)]
pub(super) struct Introductions {
    /// When the balancer started, and when it last sent to peers that have not answered.
    started_at: Time,
    sent_at: Time,
}

impl Introductions {
    /// Creates the state of a balancer that starts.
    pub(super) const fn open(now: Time) -> Self {
        Self { started_at: now, sent_at: now }
    }
}

impl Balancer {
    /// Sends again to peers that have not answered, while this balancer is recently started.
    ///
    /// Guards against processes that start together and miss each other's first message: the next
    /// round of gossip may be seconds away, and until then packets of clients are handled without
    /// them.
    pub(super) fn repeat_introduction(&mut self, now: Time) -> Vec<Action> {
        if now.since(self.introductions.started_at) > INTRODUCTION_PERIOD_MS
            || now.since(self.introductions.sent_at) < INTRODUCTION_INTERVAL_MS
        {
            return Vec::new();
        }
        self.introductions.sent_at = now;
        let is_silent = |peer: &Ipv4Addr| self.peer_states.get(*peer).is_none();
        let silent: Vec<Ipv4Addr> = self.peers.iter().filter(is_silent).collect();
        if silent.is_empty() {
            return Vec::new();
        }
        let heartbeat = self.heartbeat(now);
        let turn =
            usize::try_from(now.millis() / INTRODUCTION_INTERVAL_MS).unwrap_or(0) * PEERS_PER_TICK;
        let receivers = next_few(&silent, turn, PEERS_PER_TICK);
        receivers.map(|peer| Action::Send(peer, heartbeat.clone())).collect()
    }

    /// Returns the addresses for a balancer that sent its state, if it lacks some of them;
    /// otherwise nothing.
    ///
    /// Guards against lists between all pairs. When all balancers start at once, each receives the
    /// first message of each other one. Two views may also keep differing, because one side has not
    /// yet removed a dead balancer; a list with every message would then cost ten times as much as
    /// the messages without lists. So only the balancer that knows more sends a list, rarely for
    /// the same view, and only to a few others at a time.
    pub(super) fn addresses_for(
        &mut self,
        now: Time,
        peer: Ipv4Addr,
        gossip: &Gossip,
        is_new: bool,
    ) -> Vec<Message> {
        let orders = self.latest_orders.revision();
        let snapshot = self.snapshot(now);
        let lacks_some = gossip.digest != snapshot.digest && gossip.known <= snapshot.count();
        let sent = Sent { at: now, digest: snapshot.digest, orders };
        let count = snapshot.balancers.len();
        let before = self.sent.get(&peer);
        let was_sent = before.is_some_and(|before| before.covers(&sent, SEND_INTERVAL_MS));
        if !lacks_some || was_sent || !gossip.balancers.is_empty() {
            return Vec::new();
        }
        // A first message goes to all balancers. Later ones go to a few at a time, repeatedly.
        let receivers = if is_new { count } else { count.min(LATER_RECEIVERS) };
        if !self.is_turn(now, peer, receivers) {
            return Vec::new();
        }
        self.sent.insert(peer, sent);
        self.address_lists(now)
    }

    /// Sends an agent the balancers, or this balancer's own state only, if a message is due.
    ///
    /// Guards against a power loss after which every balancer sends all addresses to every agent.
    /// One list is enough for an agent, from any sender, and an agent that got none announces
    /// itself again in 0.3 s.
    pub(super) fn notify_agent(
        &mut self,
        now: Time,
        agent: Ipv4Addr,
        is_local: bool,
    ) -> Vec<Action> {
        let pause_ms = if is_local { LOCAL_SEND_INTERVAL_MS } else { SEND_INTERVAL_MS };
        let orders = self.latest_orders.revision();
        let digest = self.snapshot(now).digest;
        let sent = Sent { at: now, digest, orders };
        let notification = self.pool.notification(agent, sent, pause_ms);
        let receivers =
            if notification == Notification::Addresses { self.receivers(now, is_local) } else { 0 };
        let messages = match notification {
            Notification::Nothing => return Vec::new(),
            Notification::Addresses if self.is_turn(now, agent, receivers) => {
                self.pool.record_sent(agent, sent);
                self.address_lists(now)
            }
            Notification::Heartbeat => {
                self.pool.record_sent(agent, sent);
                vec![self.heartbeat(now)]
            }
            Notification::Addresses => {
                self.pool.record_sent(agent, Sent { digest: NO_ADDRESSES, ..sent });
                vec![self.heartbeat(now)]
            }
        };
        messages.into_iter().map(|message| Action::Send(agent, message)).collect()
    }

    /// Returns whether this balancer is due to reply with a list to a message that `receivers`
    /// balancers receive.
    ///
    /// Guards against a process that never gets a list: the replying balancers change for each
    /// process independently, so that none is left out because others always send first.
    fn is_turn(&self, now: Time, to: Ipv4Addr, receivers: usize) -> bool {
        let pair = u64::from(self.identity.address.to_bits()) << 32 | u64::from(to.to_bits());
        let one_in = u64::try_from(receivers / EXPECTED_LISTS).unwrap_or(u64::MAX).max(1);
        mix(pair ^ mix(now.millis() / TURN_MS)).is_multiple_of(one_in)
    }

    /// Returns the number of balancers that receive an agent's announcement: those of this failure
    /// domain if the agent is in it, otherwise all.
    fn receivers(&mut self, now: Time, is_local: bool) -> usize {
        let local = if is_local { self.domain_peers(now).len() + 1 } else { usize::MAX };
        local.min(self.snapshot(now).balancers.len())
    }

    /// Returns this balancer's state with all addresses that it knows, in datagrams of bounded
    /// length.
    fn address_lists(&mut self, now: Time) -> Vec<Message> {
        let gossip = self.own_gossip(now);
        let balancers = self.snapshot(now).balancers.clone();
        let part = |part: &[Ipv4Addr]| {
            Message::Gossip(Gossip { balancers: part.to_vec(), ..gossip.clone() })
        };
        balancers.chunks(ADDRESSES_PER_DATAGRAM).map(part).collect()
    }
}
