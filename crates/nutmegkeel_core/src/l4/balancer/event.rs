//! What happens to a balancer, and what it wants done.

use std::net::Ipv4Addr;

use crate::l4::checkpoint::Checkpoint;
use crate::l4::decision::Decision;
use crate::l4::evacuation::Orders;
use crate::l4::fetch::Holder;
use crate::l4::flow::{Flow, Head};
use crate::l4::message::{Announcement, Load, Message, Reason, Roster, Summary};
use crate::l4::route::Table;

/// What happens to a balancer.
#[derive(Clone, Debug)]
pub enum Event {
    /// A client's packet came from the fabric.
    Client(Head),
    /// A packet that was kept comes again.
    Again(Head),
    /// Another balancer that has no configuration handed a client's packet over.
    Relayed(Head),
    /// An agent handed a client's packet back.
    Declined {
        /// The agent.
        from: Ipv4Addr,
        /// The packet.
        head: Head,
        /// Why.
        reason: Reason,
        /// Load of the agent.
        load: Load,
    },
    /// An agent said that it holds a flow.
    Holds {
        /// The agent.
        from: Ipv4Addr,
        /// The flow.
        flow: Flow,
        /// Load of the agent.
        load: Load,
    },
    /// An agent said that it does not hold a flow.
    Absent {
        /// The agent.
        from: Ipv4Addr,
        /// The flow.
        flow: Flow,
        /// Load of the agent.
        load: Load,
    },
    /// An agent said that it cannot say without a packet whether it holds a flow.
    Unsure {
        /// The agent.
        from: Ipv4Addr,
        /// The flow.
        flow: Flow,
        /// Load of the agent.
        load: Load,
    },
    /// An agent spoke about itself.
    Announced(Ipv4Addr, Announcement),
    /// A balancer of another failure domain, or one that passes it on, told of the agents there.
    Summary(Summary),
    /// Another balancer spoke.
    Roster(Ipv4Addr, Roster),
    /// The store's list of balancers was read.
    Listed(Vec<Ipv4Addr>),
    /// A configuration was read.
    Configured(Table),
    /// The operator's orders of evacuation were read, or an agent told of newer ones.
    Ordered(Orders),
    /// The store answered a call, or did not.
    Store(bool),
    /// An agent handed its list of open flows over.
    Deposited(Ipv4Addr, Checkpoint),
    /// Lists were written to the store, or the try ended: the agents of those that are there, each with
    /// the number of its list.
    Committed(Vec<(Ipv4Addr, u64)>),
    /// The process was told to stop.
    Leave,
    /// Time passed.
    Tick,
}

/// What the shell must do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a message with the packet at hand behind it.
    Forward(Ipv4Addr, Message),
    /// Send a message.
    Send(Ipv4Addr, Message),
    /// Send a reset to the client.
    Reset {
        /// The flow.
        flow: Flow,
        /// Sequence number for it.
        seq: u32,
    },
    /// Keep the packet at hand, as the last one of its flow, until it is called for.
    ///
    /// Guards against clients that wait for the next of their copies, which come after 200 ms and then
    /// ever more rarely, when this balancer could decide a few milliseconds later: it has just started
    /// and lacks the configuration, or the first agents, as all do after a loss of power.
    Keep(Head),
    /// Handle the packets that are kept, as [`Event::Again`].
    Recall,
    /// Handle the packet of this flow, if one is kept, as [`Event::Again`].
    RecallFlow(Flow),
    /// A peer, or an agent, has a newer configuration: fetch it there.
    Fetch(Holder),
    /// Write these agents' lists of open flows to the store.
    Commit(Vec<(Ipv4Addr, Checkpoint)>),
    /// Write a line.
    Log(Decision),
}
