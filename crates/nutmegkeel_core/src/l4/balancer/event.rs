//! Events that a balancer handles, and the actions that it requests.

use std::net::Ipv4Addr;

use crate::clock::Time;
use crate::l4::checkpoint::Checkpoint;
use crate::l4::decision::Decision;
use crate::l4::evacuation::Orders;
use crate::l4::fetch::Holder;
use crate::l4::flow::{Flow, Head};
use crate::l4::message::{Announcement, Gossip, Inventory, Load, Message, Reason, Summary};
use crate::l4::route::Table;
use crate::port::Finding;

/// Input of a balancer.
#[derive(Clone, Debug)]
pub enum Event {
    /// A client's packet arrived from the fabric.
    Client(Head),
    /// A packet that was kept is handled again.
    Recalled(Head),
    /// Another balancer, which has no configuration or does not reach the flow's agent, forwarded a
    /// client's packet.
    Relayed(Head),
    /// An agent returned a client's packet.
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
    /// An agent reported that it holds a flow.
    Holds {
        /// The agent.
        from: Ipv4Addr,
        /// The flow.
        flow: Flow,
        /// Load of the agent.
        load: Load,
    },
    /// An agent reported that it does not hold a flow.
    Absent {
        /// The agent.
        from: Ipv4Addr,
        /// The flow.
        flow: Flow,
        /// Load of the agent.
        load: Load,
    },
    /// An agent reported that it needs a packet of a flow to determine whether it holds it.
    Unsure {
        /// The agent.
        from: Ipv4Addr,
        /// The flow.
        flow: Flow,
        /// Load of the agent.
        load: Load,
    },
    /// An agent announced its state.
    Announced(Ipv4Addr, Announcement),
    /// A balancer reported the agents of another failure domain, as one of its balancers or by
    /// forwarding a summary.
    Summary(Summary),
    /// Another balancer asked for all agents that may hold flows, with the number of its request.
    ListAgents(Ipv4Addr, u32),
    /// Another balancer listed the agents that may hold flows.
    Agents(Ipv4Addr, Inventory),
    /// Another balancer reported its state.
    Gossip(Ipv4Addr, Gossip),
    /// The store's list of balancers was read.
    Listed(Vec<Ipv4Addr>),
    /// A configuration was read.
    Configured(Table),
    /// The operator's evacuation orders were read, or an agent reported newer ones.
    Ordered(Orders),
    /// The store answered a call, or failed to.
    StoreAnswered(bool),
    /// An agent asked this balancer to save its list of open flows.
    SaveFlows(Ipv4Addr, Checkpoint),
    /// A write of lists to the store ended: the agents whose lists are in the store, each with the
    /// number of its list.
    Committed(Vec<(Ipv4Addr, u64)>),
    /// Another balancer asked which of these agents this one hears.
    Inquired(Ipv4Addr, Vec<Ipv4Addr>),
    /// Another balancer hears these agents; each with the time since its last message, in
    /// milliseconds.
    Hears(Ipv4Addr, Vec<(Ipv4Addr, u32)>),
    /// An agent has received nothing from this balancer for this time, in milliseconds.
    Unheard(Ipv4Addr, u32),
    /// A check of an agent's port has ended.
    PortChecked(Ipv4Addr, Finding),
    /// The process was requested to stop.
    Leave,
    /// Time passed.
    Tick,
}

/// Output of a balancer, to be carried out by its process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a message followed by the current packet.
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
    /// Keep the current packet, as the last one of its flow, until it is recalled.
    ///
    /// Guards against clients that wait for their next retransmission, although this balancer could
    /// decide a few milliseconds later. Retransmissions start after 200 ms and become less
    /// frequent. A balancer that has just started lacks the configuration or the first agents, as
    /// all balancers do after a power loss.
    Keep(Head),
    /// Handle the packets that are kept, as [`Event::Recalled`].
    Recall,
    /// Handle the packet of this flow, if one is kept, as [`Event::Recalled`].
    RecallFlow(Flow),
    /// Fetch a newer configuration from this peer or agent.
    Fetch(Holder),
    /// Write these agents' lists of open flows to the store.
    Commit(Vec<(Ipv4Addr, Checkpoint)>),
    /// Check the port at which an agent serves copies of the configuration, and report the result
    /// with the time of this request.
    CheckPort {
        /// The agent.
        agent: Ipv4Addr,
        /// When the check was requested.
        asked_at: Time,
    },
    /// Write a log line.
    Log(Decision),
}
