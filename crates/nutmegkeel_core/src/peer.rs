//! What every process does with its peers: membership, and the configuration that rides along.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::clock::Time;
use crate::configuration::{Book, Entry, Revision};
use crate::member::{Health, Instance, Record, Role, Rumor};
use crate::membership::{self, Membership, Pace};

/// Peers that an entry is pushed to at once when it is new here.
const PUSHED_TO: usize = 3;
/// Entries in one message at most, so that it fits a datagram.
const ENTRIES: usize = 6;
/// Least time between two fetches of configuration, in milliseconds.
const FETCH_EVERY_MS: u64 = 200;

/// A message between processes. Each one tells the sender's configuration revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The greatest revision known to the sender.
    pub revision: Revision,
    /// The message itself.
    pub body: Body,
}

/// Kinds of messages between processes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// About who lives.
    Membership(membership::Message),
    /// Send me the entries after this revision.
    Fetch(Revision),
    /// Entries of the configuration.
    Entries(Vec<Entry>),
    /// An operator wants this run of the receiver to leave.
    Drain(Instance),
}

/// What the driver does for a peer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Action {
    /// Send to the process at this address.
    Send(SocketAddr, Message),
    /// Send to any balancer, by the fabric's address.
    Join(Message),
    /// The belief about a process changed.
    Changed(Rumor),
    /// A run of a process is over.
    Gone(SocketAddr, Instance),
    /// A newer entry of the configuration is in force here.
    InForce(Entry),
    /// A later run has this process's address: it must stop.
    Superseded,
    /// An operator wants this process to leave.
    Drain,
}

/// One process among its peers.
#[derive(Debug)]
pub struct Peer {
    membership: Membership,
    book: Book,
    balancers: BTreeSet<SocketAddr>,
    neighbours: BTreeSet<SocketAddr>,
    revisions: BTreeMap<SocketAddr, Revision>,
    next_fetch: Time,
}

impl Peer {
    /// A peer that knows only itself.
    #[must_use]
    pub fn open(me: Record, pace: Pace, seed: u64) -> Self {
        Self {
            membership: Membership::open(me, pace, seed),
            book: Book::default(),
            balancers: BTreeSet::new(),
            neighbours: BTreeSet::new(),
            revisions: BTreeMap::new(),
            next_fetch: Time::ZERO,
        }
    }

    /// The view of others.
    #[must_use]
    pub const fn membership(&self) -> &Membership {
        &self.membership
    }

    /// The view of others, to change this process's own record.
    pub const fn membership_mut(&mut self) -> &mut Membership {
        &mut self.membership
    }

    /// The configuration in force here.
    #[must_use]
    pub const fn book(&self) -> &Book {
        &self.book
    }

    /// Balancers other than this process that take packets from the fabric.
    #[must_use]
    pub const fn balancers(&self) -> &BTreeSet<SocketAddr> {
        &self.balancers
    }

    /// Those of [`Peer::balancers`] that are in this process's failure domain.
    #[must_use]
    pub const fn neighbours(&self) -> &BTreeSet<SocketAddr> {
        &self.neighbours
    }

    /// The configuration revision that another balancer told last, if it told one.
    #[must_use]
    pub fn revision_of(&self, balancer: SocketAddr) -> Option<Revision> {
        self.revisions.get(&balancer).copied()
    }

    /// The greatest configuration revision that another balancer told.
    #[must_use]
    pub fn newest_told(&self) -> Revision {
        self.revisions.values().max().copied().unwrap_or_default()
    }

    /// Asks a run of another process to leave.
    #[must_use]
    pub fn ask_to_leave(&self, address: SocketAddr, instance: Instance) -> Action {
        Action::Send(address, self.message(Body::Drain(instance)))
    }

    /// Time passes.
    pub fn tick(&mut self, now: Time) -> Vec<Action> {
        let actions = self.membership.tick(now);
        self.wrap(actions)
    }

    /// A message arrived from the process at `from`.
    pub fn receive(&mut self, now: Time, from: SocketAddr, message: Message) -> Vec<Action> {
        let mut actions = match message.body {
            Body::Membership(body) => {
                let actions = self.membership.receive(now, from, body);
                self.wrap(actions)
            }
            Body::Fetch(since) => self.entries_for(from, since),
            Body::Entries(entries) => self.learn(entries),
            // A drain that was meant for an earlier run at this address concerns nobody here.
            Body::Drain(instance) if instance == self.membership.me().instance => {
                vec![Action::Drain]
            }
            Body::Drain(_) => Vec::new(),
        };
        if self.balancers.contains(&from) {
            self.revisions.insert(from, message.revision);
        }
        if message.revision > self.book.revision() && now >= self.next_fetch {
            self.next_fetch = now.after(FETCH_EVERY_MS);
            let fetch = Body::Fetch(self.book.revision());
            actions.push(Action::Send(from, self.message(fetch)));
        }
        actions
    }

    /// The data path heard from a process.
    pub fn heard(&mut self, now: Time, address: SocketAddr, instance: Instance) -> Vec<Action> {
        let actions = self.membership.heard(now, address, instance);
        self.wrap(actions)
    }

    /// The data path met silence.
    pub fn doubt(&mut self, now: Time, address: SocketAddr) -> Vec<Action> {
        let actions = self.membership.doubt(now, address);
        self.wrap(actions)
    }

    /// Words of a planned stop.
    pub fn farewell(&mut self) -> Vec<Action> {
        let actions = self.membership.farewell();
        self.wrap(actions)
    }

    /// Entries from the platform, a peer or an accepted write. New ones go on to a few peers at
    /// once, so that a change spreads even if the platform is down straight after it was accepted.
    pub fn learn(&mut self, entries: Vec<Entry>) -> Vec<Action> {
        let new: Vec<Entry> =
            entries.into_iter().filter(|entry| self.book.learn(entry.clone())).collect();
        let mut actions: Vec<Action> = new.iter().cloned().map(Action::InForce).collect();
        for part in new.chunks(ENTRIES) {
            for peer in self.membership.some(PUSHED_TO) {
                let message = self.message(Body::Entries(part.to_vec()));
                actions.push(Action::Send(peer, message));
            }
        }
        actions
    }

    fn entries_for(&self, to: SocketAddr, since: Revision) -> Vec<Action> {
        self.book
            .newer(since)
            .chunks(ENTRIES)
            .map(|part| Action::Send(to, self.message(Body::Entries(part.to_vec()))))
            .collect()
    }

    const fn message(&self, body: Body) -> Message {
        Message { revision: self.book.revision(), body }
    }

    fn wrap(&mut self, actions: Vec<membership::Action>) -> Vec<Action> {
        for action in &actions {
            if let membership::Action::Changed(rumor) = action {
                self.note(rumor);
            }
        }
        actions.into_iter().map(|action| self.wrap_one(action)).collect()
    }

    fn note(&mut self, rumor: &Rumor) {
        if rumor.record.role != Role::Balancer {
            return;
        }
        let address = rumor.record.address;
        self.balancers.remove(&address);
        self.revisions.remove(&address);
        self.neighbours.remove(&address);
        if rumor.health == Health::Dead || !rumor.record.phase.takes_new() {
            return;
        }
        self.balancers.insert(address);
        if rumor.record.domain == self.membership.me().domain {
            self.neighbours.insert(address);
        }
    }

    fn wrap_one(&self, action: membership::Action) -> Action {
        match action {
            membership::Action::Send(to, body) => {
                Action::Send(to, self.message(Body::Membership(body)))
            }
            membership::Action::Join(body) => Action::Join(self.message(Body::Membership(body))),
            membership::Action::Changed(rumor) => Action::Changed(rumor),
            membership::Action::Gone(address, instance) => Action::Gone(address, instance),
            membership::Action::Superseded => Action::Superseded,
        }
    }
}
