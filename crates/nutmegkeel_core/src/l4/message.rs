//! Messages between balancers and agents. An opening, a packet of an open flow, a refusal and a
//! relayed packet are followed by a packet of a client.

use std::net::Ipv4Addr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::checkpoint::Checkpoint;
use super::evacuation::Orders;
use super::flow::Flow;
use super::route::{Service, Urgency};
use crate::revision::Revision;

/// A message. The client's packet that it refers to, if any, follows it in the datagram, unchanged.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Balancer to agent: offers an opening.
    Open(Offer),
    /// Balancer to agent: forwards a packet of an open flow.
    Carry {
        /// Whether the balancer knows that the agent holds the flow. If not, the agent confirms it.
        known: bool,
    },
    /// Balancer to agent: asks whether it holds this flow. Sent when a client waits and no packet
    /// is available.
    Locate {
        /// The flow.
        flow: Flow,
    },
    /// Agent to balancer: it does not hold this flow.
    Absent {
        /// The flow.
        flow: Flow,
        /// Load of the agent at that time.
        load: Load,
    },
    /// Agent to balancer: it did not accept the packet, which follows this message. The balancer
    /// tries the next agent.
    Declined {
        /// Why.
        reason: Reason,
        /// Load of the agent at that time.
        load: Load,
    },
    /// Agent to balancer: it holds this flow.
    Holds {
        /// The flow.
        flow: Flow,
        /// Load of the agent at that time.
        load: Load,
    },
    /// Agent to balancer: its own state.
    Announce(Announcement),
    /// Balancer to balancer: asks it to handle a client's packet. Sent while the sender has no
    /// configuration, or does not reach the agent that holds the flow.
    Relay,
    /// Balancer to agents and balancers: the known balancers and its configuration version.
    Gossip(Gossip),
    /// Balancer to balancer: last reports of the agents of the sender's failure domain.
    Summary(Summary),
    /// Agent to balancer, with a refusal: the evacuation orders that the refusal is based on.
    Orders(Orders),
    /// Agent to balancer: asks it to save this list of open flows in the store, together with
    /// others.
    SaveFlows(Checkpoint),
    /// Balancer to agent: the store has the agent's list with this number, or a later one.
    FlowsSaved {
        /// Number of the list.
        number: u64,
    },
    /// Agent to balancer: only the backend server knows whether the flow exists, and it can be
    /// asked only with a packet of the flow.
    Unsure {
        /// The flow.
        flow: Flow,
        /// Load of the agent at that time.
        load: Load,
    },
    /// Balancer to balancer: asks which of these agents it hears. Sent when they are silent.
    Inquire {
        /// The agents.
        agents: Vec<Ipv4Addr>,
    },
    /// Balancer to balancer: it hears these agents.
    Hears {
        /// The agents, each with the time since its last message, in milliseconds.
        agents: Vec<(Ipv4Addr, u32)>,
    },
    /// Agent to balancer: it receives nothing from it, although it did before.
    Unheard {
        /// Time since its last message, in milliseconds.
        silent_ms: u32,
    },
    /// Balancer to balancer: asks for all agents that may hold flows. Sent by a balancer that has
    /// started or resumed and cannot know which agents are away.
    ListAgents {
        /// Number of the request, which the answer repeats.
        request: u32,
    },
    /// Balancer to balancer: a part of the answer to [`Message::ListAgents`].
    Agents(Inventory),
    /// Balancer to agent: forwards a packet of an open flow for which the balancer's configuration
    /// has no route. The agent that holds the flow decides whether the route was dropped.
    CarryWithoutRoute(MissingRoute),
}

/// What a balancer that has no route for a flow knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MissingRoute {
    /// Version of its configuration.
    pub version: u64,
    /// Whether it had the route under an earlier version, so that this or another version up to
    /// `version` dropped it.
    pub was_dropped: bool,
    /// Whether it knows that the agent holds the flow, as in [`Message::Carry`].
    pub known: bool,
}

/// A part of the list of all agents that may hold flows, as known to a balancer that knows all of
/// them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Inventory {
    /// Number of the request that this answers.
    pub request: u32,
    /// Number of this part, from zero.
    pub part: u16,
    /// Number of parts.
    pub parts: u16,
    /// The agents of this part, which belong to one failure domain.
    pub agents: Summary,
}

/// An opening that a balancer offers to an agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Offer {
    /// Service that the route names. The agent refuses if its backend server belongs to another
    /// one.
    pub service: Service,
    /// Condition under which the agent accepts the flow.
    pub admission: Admission,
    /// Requirements of its requests.
    pub demand: Demand,
    /// How long the opening has waited elsewhere, in milliseconds.
    pub waited_ms: u32,
    /// Revision of the evacuation orders by which the balancer chose the agent. [`Revision::ZERO`]
    /// for a copy of an opening, which goes where the first one went.
    pub orders: Revision,
    /// Openings per second that a backend server of the service can handle while it is cold; zero
    /// where no rate is configured.
    pub cold_per_s: u32,
    /// Whether the client was refused before for lack of room, and now retries.
    pub is_retry: bool,
    /// Version of the configuration that has the route of the flow.
    pub version: u64,
}

/// Condition under which an agent accepts an opening.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Admission {
    /// Accept if a slot is free now; another agent is asked otherwise.
    IfIdle,
    /// Accept unless the answer would come too late.
    IfInTime,
}

/// Requirements of the requests of a flow, by its route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    /// Time within which an answer has its full value, in milliseconds.
    pub objective_ms: u32,
    /// Time after which an answer is of no use, in milliseconds.
    pub deadline_ms: u32,
    /// Whether a request must not run twice. Its client may retry only if the request cannot have
    /// run, so the request waits behind others only where urgency orders them.
    pub once: bool,
    /// Urgency of the requests.
    pub urgency: Urgency,
}

/// Reason for which an agent did not accept a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reason {
    /// It does not hold the flow.
    NotHeld,
    /// Its backend server belongs to another service, or it has none.
    WrongService,
    /// Its backend server is leaving or has stopped answering, or the agent itself is leaving.
    Leaving,
    /// All slots are in use.
    Busy,
    /// The request could not be answered in time.
    Late,
    /// The backend server refused the opening.
    Full,
    /// The operator has evacuated its failure domain.
    Evacuated,
    /// Its backend server is cold and has been given as many openings as it can handle.
    Cold,
}

impl Reason {
    /// Returns the name used in logs and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::NotHeld => "not_held",
            Self::WrongService => "wrong_service",
            Self::Leaving => "leaving",
            Self::Busy => "busy",
            Self::Late => "late",
            Self::Full => "full",
            Self::Evacuated => "evacuated",
            Self::Cold => "cold",
        }
    }
}

/// Load of an agent, counted from the packets that pass it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Requests whose answer has not begun, openings without a request so far, and openings that
    /// wait for a slot.
    pub busy: u16,
    /// Open flows.
    pub flows: u16,
    /// Current time that a slot spends on a request, in milliseconds; zero while unknown.
    pub service_ms: u16,
}

/// Whether an agent accepts new flows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// Accepts new flows.
    Ready,
    /// Its backend server aborts requests. It gets new flows only if no other agent accepts them.
    Failing,
    /// Has no backend server that accepts flows: it is not announced yet, draining, unresponsive or
    /// gone.
    Closed,
    /// The agent process is being replaced; its backend server keeps its flows.
    Restarting,
    /// The backend server has ended, and the agent ends with it.
    Gone,
}

/// State of an agent as reported by itself. A later announcement replaces an earlier one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Start time of the agent process in Unix milliseconds. Orders announcements of two processes
    /// that had the same address.
    pub incarnation: u64,
    /// Number of this announcement. Orders the announcements of one process.
    pub number: u64,
    /// Failure domain.
    pub domain: Arc<str>,
    /// Service of its backend server.
    pub service: Option<Service>,
    /// Requests that the backend server processes concurrently.
    pub slots: u16,
    /// Whether the backend server is still slow after its start.
    pub cold: bool,
    /// Openings that it may be given now because it is cold; none if unlimited.
    pub room: Option<u32>,
    /// Whether it accepts new flows.
    pub state: State,
    /// Whether the process has seen every flow that its backend server may hold. Not so if it has
    /// replaced another process beside a server that kept running.
    pub sees_all_flows: bool,
    /// Its load.
    pub load: Load,
    /// Digest of the balancers that it knows. A balancer that knows others replies with its list.
    pub balancers: u64,
    /// Version of the configuration of which it holds a copy for balancers; zero if it holds none.
    pub replica: u64,
}

/// Last reports of the agents of one failure domain, as received by one of its balancers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// The failure domain.
    pub domain: Arc<str>,
    /// The services that reports refer to by index. An index keeps all reports at one length, and a
    /// failure domain has few services.
    pub services: Vec<Service>,
    /// Its agents, or a part of them.
    pub reports: Vec<Report>,
    /// Whether a balancer of the receiver's failure domain forwarded it.
    pub forwarded: bool,
}

/// Last state that one agent reported.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The agent.
    pub agent: Ipv4Addr,
    /// Time since the sender of the summary last received a message of the agent, in milliseconds.
    pub age_ms: u32,
    /// As in [`Announcement`].
    pub incarnation: u64,
    /// As in [`Announcement`].
    pub number: u64,
    /// Index of its backend server's service in the summary.
    pub service: Option<u8>,
    /// As in [`Announcement`].
    pub slots: u16,
    /// As in [`Announcement`].
    pub cold: bool,
    /// As in [`Announcement`].
    pub room: Option<u32>,
    /// As in [`Announcement`].
    pub state: State,
    /// As in [`Announcement`].
    pub sees_all_flows: bool,
    /// As in [`Announcement`].
    pub load: Load,
}

impl Summary {
    /// Creates a summary of a failure domain without reports.
    #[must_use]
    pub fn open(domain: &Arc<str>) -> Self {
        let domain = Arc::clone(domain);
        Self { domain, services: Vec::new(), reports: Vec::new(), forwarded: false }
    }

    /// Converts a report into the announcement of its agent.
    #[must_use]
    pub fn announcement(&self, report: &Report) -> Announcement {
        let service = report.service.and_then(|place| self.services.get(usize::from(place)));
        report.announcement(&self.domain, service.copied())
    }
}

impl Report {
    fn announcement(&self, domain: &Arc<str>, service: Option<Service>) -> Announcement {
        Announcement {
            incarnation: self.incarnation,
            number: self.number,
            domain: Arc::clone(domain),
            service,
            slots: self.slots,
            cold: self.cold,
            room: self.room,
            state: self.state,
            sees_all_flows: self.sees_all_flows,
            load: self.load,
            balancers: 0,
            replica: 0,
        }
    }
}

/// State of a balancer, with the balancers that it knows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gossip {
    /// Version of its configuration in force; zero while it has none.
    pub version: u64,
    /// Failure domain.
    pub domain: Arc<str>,
    /// Digest of the addresses of all balancers that it knows, including its own.
    pub digest: u64,
    /// Number of these addresses. A receiver that knows fewer lacks some.
    pub known: u32,
    /// These addresses, or a part of them. Left out where the receiver probably knows them.
    pub balancers: Vec<Ipv4Addr>,
    /// Number of agents that may hold flows, as far as it knows. A balancer with a lower number does
    /// not know all agents.
    pub agents: u32,
    /// Whether it knows every agent that may hold flows, also those that are away.
    pub knows_all_agents: bool,
    /// Whether the store answered its last call.
    pub reaches_store: bool,
    /// Whether the sender is about to stop.
    pub leaving: bool,
    /// The evacuation orders in force; none while it has received none.
    pub orders: Option<Orders>,
}
