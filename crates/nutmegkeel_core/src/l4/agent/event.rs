//! What happens to an agent, and what it wants done.

use std::net::Ipv4Addr;

use crate::l4::checkpoint::Checkpoint;
use crate::l4::decision::Decision;
use crate::l4::fetch::Holder;
use crate::l4::flow::{Flow, Head};
use crate::l4::message::{Message, Offer, Roster};
use crate::l4::route::Urgency;
use crate::l4::server::{Heartbeat, Incarnation};

/// What happens to an agent.
#[derive(Clone, Debug)]
pub enum Event {
    /// A balancer sent an opening.
    Open {
        /// The balancer.
        from: Ipv4Addr,
        /// The packet.
        head: Head,
        /// What the balancer says of it.
        offer: Offer,
    },
    /// A balancer sent another packet of a client.
    Carry {
        /// The balancer.
        from: Ipv4Addr,
        /// The packet.
        head: Head,
        /// Whether the balancer knows that the flow is here.
        known: bool,
    },
    /// A balancer asks for a flow.
    Locate(Ipv4Addr, Flow),
    /// The backend server sent a packet to a client.
    FromServer(Head),
    /// The backend server handed a client's packet back.
    Bounced(Head),
    /// The backend server sent a heartbeat.
    Heartbeat(Heartbeat),
    /// The backend server said that it ends.
    Deregistered(Incarnation),
    /// A balancer spoke.
    Roster(Ipv4Addr, Roster),
    /// A balancer said that the store has a list of this host's flows with this number.
    Written(u64),
    /// The store's list of balancers was read.
    Listed(Vec<Ipv4Addr>),
    /// A copy of the configuration of this version was fetched from a balancer.
    Fetched(u64),
    /// The list of flows that this process's predecessor left was read; none if there is no list.
    Recovered(Option<Checkpoint>),
    /// The process was told to stop.
    Leave,
    /// Time passed.
    Tick,
}

/// What the shell must do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Hand the packet at hand to the backend server, with this number in it.
    ToServer(u32),
    /// Keep the packet at hand behind those kept of its flow.
    Keep(Head),
    /// Hand the kept packets of this flow to the backend server.
    Release(Flow),
    /// Forget the kept packets of this flow.
    Forget(Flow),
    /// Send the packet at hand to the client.
    ToClient,
    /// Send a message with the packet at hand behind it.
    Return(Ipv4Addr, Message),
    /// Send a message.
    Send(Ipv4Addr, Message),
    /// Send a reset to the client.
    Reset {
        /// The flow.
        flow: Flow,
        /// Sequence number for it.
        seq: u32,
    },
    /// Write the list of open flows to the store.
    Save(Checkpoint),
    /// Fetch a copy of the configuration from this balancer.
    Fetch(Holder),
    /// Count a request whose answer began after this many milliseconds.
    CountAnswer(u64),
    /// Count a request that waited for a slot.
    CountWait {
        /// How urgent it is.
        urgency: Urgency,
        /// How long it waited, in milliseconds.
        waited_ms: u64,
    },
    /// Write a line.
    Log(Decision),
}
