//! Events that an agent handles, and the actions that it requests.

use std::net::Ipv4Addr;

use crate::clock::Time;
use crate::l4::checkpoint::Checkpoint;
use crate::l4::decision::Decision;
use crate::l4::fetch::Holder;
use crate::l4::flow::{Flow, Head};
use crate::l4::message::{Gossip, Message, MissingRoute, Offer};
use crate::l4::route::Urgency;
use crate::l4::server::{Heartbeat, Incarnation};
use crate::port::Finding;

/// An event for an agent.
#[derive(Clone, Debug)]
pub enum Event {
    /// A balancer sent an opening.
    Open {
        /// The balancer.
        from: Ipv4Addr,
        /// The packet.
        head: Head,
        /// The balancer's information about the opening.
        offer: Offer,
    },
    /// A balancer forwarded another packet of a client.
    Carry {
        /// The balancer.
        from: Ipv4Addr,
        /// The packet.
        head: Head,
        /// Whether the balancer knows that the flow is here.
        known: bool,
    },
    /// A balancer whose configuration has no route for the flow forwarded a packet of a client.
    CarryWithoutRoute {
        /// The balancer.
        from: Ipv4Addr,
        /// The packet.
        head: Head,
        /// What the balancer knows.
        missing: MissingRoute,
    },
    /// A balancer asks whether the flow is here.
    Locate(Ipv4Addr, Flow),
    /// The backend server sent a packet to a client.
    FromServer(Head),
    /// The backend server returned a client's packet.
    Bounced(Head),
    /// The backend server sent a heartbeat.
    Heartbeat(Heartbeat),
    /// A check of the backend server's port has ended.
    ServerPortChecked(Finding),
    /// The backend server deregistered.
    Deregistered(Incarnation),
    /// A balancer sent its state.
    Gossip(Ipv4Addr, Gossip),
    /// A balancer reported that the store has a checkpoint of this host with this number.
    FlowsSaved(u64),
    /// The list of balancers was read from the store.
    Listed(Vec<Ipv4Addr>),
    /// A copy of the configuration of this version was fetched from a balancer.
    Fetched(u64),
    /// The predecessor's checkpoint was read; `None` if there is none.
    Recovered(Option<Checkpoint>),
    /// The process received a request to stop.
    Leave,
    /// A tick is due.
    Tick,
}

impl Event {
    /// Returns the head of the client's packet that a balancer sent, if this is one.
    pub(super) const fn client_head(&self) -> Option<&Head> {
        match self {
            Self::Open { head, .. }
            | Self::Carry { head, .. }
            | Self::CarryWithoutRoute { head, .. } => Some(head),
            _ => None,
        }
    }
}

/// An action that the caller must perform. The packet at hand is the one that came with the event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Pass the packet at hand to the backend server, with this probe number in it.
    ToServer(u32),
    /// Keep the packet at hand, after those already kept of its flow.
    Keep(Head),
    /// Pass the kept packets of this flow to the backend server.
    Release(Flow),
    /// Drop the kept packets of this flow.
    Forget(Flow),
    /// Send the packet at hand to the client.
    ToClient,
    /// Send a message, followed by the packet at hand.
    Return(Ipv4Addr, Message),
    /// Send a message.
    Send(Ipv4Addr, Message),
    /// Send a reset to the client.
    Reset {
        /// The flow.
        flow: Flow,
        /// Sequence number of the reset.
        seq: u32,
    },
    /// Check the port of the backend server, and report the result with the time of this request.
    CheckServerPort {
        /// When the check was requested.
        asked_at: Time,
    },
    /// Write a checkpoint to the store.
    Save(Checkpoint),
    /// Fetch a copy of the configuration from this balancer.
    Fetch(Holder),
    /// Count a request whose answer began after this many milliseconds.
    CountAnswer(u64),
    /// Count a request that waited for a slot.
    CountWait {
        /// Urgency of the request.
        urgency: Urgency,
        /// Waiting time, in milliseconds.
        waited_ms: u64,
    },
    /// Write a log line.
    Log(Decision),
}
