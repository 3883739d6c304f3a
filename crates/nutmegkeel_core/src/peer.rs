//! Communication of a process with its peers: membership and the spread of the configuration.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::clock::Time;
use crate::configuration::{Entry, Revision, Table};
use crate::member::{Health, Instance, Record, Role, Rumor};
use crate::membership::{self, Membership, Timing};

/// Number of peers to which a new entry is sent at once.
const PUSH_FANOUT: usize = 3;
/// Maximum number of entries in one message, so that it fits into a datagram.
const MAX_ENTRIES: usize = 6;
/// Minimum interval between two fetches of the configuration, in milliseconds.
const FETCH_INTERVAL_MS: u64 = 200;

/// A message between processes. Each one carries the configuration revision of its sender.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The highest revision that the sender holds.
    pub revision: Revision,
    /// Content of the message.
    pub body: Body,
}

/// Kinds of messages between processes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// See [`membership::Message`].
    Membership(membership::Message),
    /// Asks for the entries after this revision.
    Fetch(Revision),
    /// Entries of the configuration.
    Entries(Vec<Entry>),
    /// An operator drains this instance of the receiver.
    Drain(Instance),
}

/// Output of a peer, carried out by its driver.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Action {
    /// Send to the process at this address.
    Send(SocketAddr, Message),
    /// Send to the address of the fabric, which delivers to any balancer.
    Join(Message),
    /// The record or health of a process changed.
    Changed(Rumor),
    /// An instance of a process ended.
    Gone(SocketAddr, Instance),
    /// A newer entry of the configuration is in force at this process.
    InForce(Entry),
    /// A later instance runs at the address of this process, so this process must stop.
    Superseded,
    /// An operator drains this process.
    Drain,
}

/// State of a process that concerns its peers.
#[derive(Debug)]
pub struct Peer {
    membership: Membership,
    configuration: Table,
    balancers: BTreeSet<SocketAddr>,
    domain_balancers: BTreeSet<SocketAddr>,
    revisions: BTreeMap<SocketAddr, Revision>,
    next_fetch: Time,
}

impl Peer {
    /// Creates a peer that knows only itself.
    #[must_use]
    pub fn open(me: Record, timing: Timing, seed: u64) -> Self {
        Self {
            membership: Membership::open(me, timing, seed),
            configuration: Table::default(),
            balancers: BTreeSet::new(),
            domain_balancers: BTreeSet::new(),
            revisions: BTreeMap::new(),
            next_fetch: Time::ZERO,
        }
    }

    /// Returns the membership view.
    #[must_use]
    pub const fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Returns the membership view, to change the record of this process.
    pub const fn membership_mut(&mut self) -> &mut Membership {
        &mut self.membership
    }

    /// Returns the configuration in force at this process.
    #[must_use]
    pub const fn configuration(&self) -> &Table {
        &self.configuration
    }

    /// Returns the other balancers that receive packets from the fabric.
    #[must_use]
    pub const fn balancers(&self) -> &BTreeSet<SocketAddr> {
        &self.balancers
    }

    /// Returns those of [`Peer::balancers`] that are in the failure domain of this process.
    #[must_use]
    pub const fn domain_balancers(&self) -> &BTreeSet<SocketAddr> {
        &self.domain_balancers
    }

    /// Returns the configuration revision in the last message of another balancer, if there was
    /// one.
    #[must_use]
    pub fn revision_of(&self, balancer: SocketAddr) -> Option<Revision> {
        self.revisions.get(&balancer).copied()
    }

    /// Returns the highest configuration revision in the last messages of the other balancers.
    #[must_use]
    pub fn newest_reported(&self) -> Revision {
        self.revisions.values().max().copied().unwrap_or_default()
    }

    /// Returns the message that drains an instance of another process.
    #[must_use]
    pub fn drain(&self, address: SocketAddr, instance: Instance) -> Action {
        Action::Send(address, self.message(Body::Drain(instance)))
    }

    /// Handles the passage of time, see [`Membership::tick`].
    pub fn tick(&mut self, now: Time) -> Vec<Action> {
        let actions = self.membership.tick(now);
        self.wrap(actions)
    }

    /// Handles a message from the process at `from`.
    pub fn receive(&mut self, now: Time, from: SocketAddr, message: Message) -> Vec<Action> {
        let mut actions = match message.body {
            Body::Membership(body) => {
                let actions = self.membership.receive(now, from, body);
                self.wrap(actions)
            }
            Body::Fetch(since) => self.entries_for(from, since),
            Body::Entries(entries) => self.apply_entries(entries),
            // A drain for an earlier instance at this address is ignored.
            Body::Drain(instance) if instance == self.membership.me().instance => {
                vec![Action::Drain]
            }
            Body::Drain(_) => Vec::new(),
        };
        if self.balancers.contains(&from) {
            self.revisions.insert(from, message.revision);
        }
        if message.revision > self.configuration.revision() && now >= self.next_fetch {
            self.next_fetch = now.after(FETCH_INTERVAL_MS);
            let fetch = Body::Fetch(self.configuration.revision());
            actions.push(Action::Send(from, self.message(fetch)));
        }
        actions
    }

    /// Handles a packet on the data path from a process, which proves that it is alive.
    pub fn confirm_alive(
        &mut self,
        now: Time,
        address: SocketAddr,
        instance: Instance,
    ) -> Vec<Action> {
        let actions = self.membership.confirm_alive(now, address, instance);
        self.wrap(actions)
    }

    /// Probes a process that did not answer on the data path.
    pub fn probe_now(&mut self, now: Time, address: SocketAddr) -> Vec<Action> {
        let actions = self.membership.probe_now(now, address);
        self.wrap(actions)
    }

    /// Sends the record of this process to a few peers at once.
    pub fn push_record(&mut self) -> Vec<Action> {
        let actions = self.membership.push_record();
        self.wrap(actions)
    }

    /// Applies entries from the platform, a peer or an accepted write.
    ///
    /// New entries are sent to a few peers at once, so that a change spreads even if the platform
    /// becomes unavailable right after it accepted the change.
    pub fn apply_entries(&mut self, entries: Vec<Entry>) -> Vec<Action> {
        let new: Vec<Entry> =
            entries.into_iter().filter(|entry| self.configuration.apply(entry.clone())).collect();
        let mut actions: Vec<Action> = new.iter().cloned().map(Action::InForce).collect();
        for part in new.chunks(MAX_ENTRIES) {
            for peer in self.membership.sample(PUSH_FANOUT) {
                let message = self.message(Body::Entries(part.to_vec()));
                actions.push(Action::Send(peer, message));
            }
        }
        actions
    }

    fn entries_for(&self, to: SocketAddr, since: Revision) -> Vec<Action> {
        self.configuration
            .newer(since)
            .chunks(MAX_ENTRIES)
            .map(|part| Action::Send(to, self.message(Body::Entries(part.to_vec()))))
            .collect()
    }

    const fn message(&self, body: Body) -> Message {
        Message { revision: self.configuration.revision(), body }
    }

    fn wrap(&mut self, actions: Vec<membership::Action>) -> Vec<Action> {
        for action in &actions {
            if let membership::Action::Changed(rumor) = action {
                self.record_balancer(rumor);
            }
        }
        actions.into_iter().map(|action| self.wrap_one(action)).collect()
    }

    fn record_balancer(&mut self, rumor: &Rumor) {
        if rumor.record.role != Role::Balancer {
            return;
        }
        let address = rumor.record.address;
        self.balancers.remove(&address);
        self.revisions.remove(&address);
        self.domain_balancers.remove(&address);
        if rumor.health == Health::Dead || !rumor.record.phase.takes_new() {
            return;
        }
        self.balancers.insert(address);
        if rumor.record.domain == self.membership.me().domain {
            self.domain_balancers.insert(address);
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
