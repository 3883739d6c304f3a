//! Messages between balancers and agents. Openings, packets of open flows, refusals and relayed packets
//! carry a packet of a client behind them.

use std::net::Ipv4Addr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::checkpoint::Checkpoint;
use super::evacuation::Orders;
use super::flow::Flow;
use super::route::{Service, Urgency};
use crate::revision::Revision;

/// A message; what follows it in the datagram is the packet it speaks of, unchanged.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Balancer to agent: take this opening.
    Open(Offer),
    /// Balancer to agent: a packet of an open flow.
    Carry {
        /// Whether the balancer knows that the agent holds the flow; if not, the agent says so.
        known: bool,
    },
    /// Balancer to agent: is this flow here? Asked when a client waits and no packet is at hand.
    Locate {
        /// The flow.
        flow: Flow,
    },
    /// Agent to balancer: this flow is not here.
    Absent {
        /// The flow.
        flow: Flow,
        /// Load of the agent at that moment.
        load: Load,
    },
    /// Agent to balancer: not taken, try the next; the packet comes back behind this.
    Declined {
        /// Why.
        reason: Reason,
        /// Load of the agent at that moment.
        load: Load,
    },
    /// Agent to balancer: this flow is here.
    Holds {
        /// The flow.
        flow: Flow,
        /// Load of the agent at that moment.
        load: Load,
    },
    /// Agent to each balancer, about itself.
    Announce(Announcement),
    /// Balancer to balancer: handle this packet of a client. Sent while the sender has no configuration.
    Relay,
    /// Balancer to agents and balancers: who the balancers are, and which configuration it has.
    Roster(Roster),
    /// Balancer to balancer: what the agents of the sender's failure domain last said.
    Summary(Summary),
    /// Agent to balancer, with a refusal: the orders of evacuation that it rests on.
    Orders(Orders),
    /// Agent to balancer: write this list of open flows to the store, together with others.
    Deposit(Checkpoint),
    /// Balancer to agent: the store has a list of its with this number, or a later one.
    Written {
        /// Number of the list.
        number: u64,
    },
    /// Agent to balancer: only the backend server knows whether this flow is here, and it can be asked only
    /// with a packet.
    Unsure {
        /// The flow.
        flow: Flow,
        /// Load of the agent at that moment.
        load: Load,
    },
}

/// An opening that a balancer offers to an agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Offer {
    /// Service that the route names; the agent refuses if its backend server is of another.
    pub service: Service,
    /// How urgently the flow needs this agent.
    pub insistence: Insistence,
    /// What its requests ask for.
    pub demand: Demand,
    /// How long the opening has waited elsewhere, in milliseconds.
    pub waited_ms: u32,
    /// Revision of the orders of evacuation by which the balancer chose the agent; [`Revision::ZERO`] for a
    /// copy, which goes where the first went.
    pub orders: Revision,
    /// Openings a second that a backend server of the service bears while it is cold; zero where no
    /// rate is given.
    pub cold_per_s: u32,
    /// Whether the client comes back after a refusal for want of room.
    pub returns: bool,
}

/// How an agent should weigh an opening.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Insistence {
    /// Take it if a slot is free now; another agent will be asked otherwise.
    IfIdle,
    /// Take it unless its answer would come too late.
    IfInTime,
}

/// What the requests of a flow ask for, by the route that it came by.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    /// Time within which an answer is worth most, in milliseconds.
    pub objective_ms: u32,
    /// Time within which an answer is of any use, in milliseconds.
    pub deadline_ms: u32,
    /// Whether a request must not run twice. Its client may try again only if it cannot have run, so it
    /// waits behind others only where urgency says which.
    pub once: bool,
    /// How urgent they are.
    pub urgency: Urgency,
}

/// Why an agent did not take a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reason {
    /// It does not hold the flow.
    NotHeld,
    /// Its backend server is of another service, or there is none.
    WrongService,
    /// Its backend server is leaving or stopped answering, or the agent itself is leaving.
    Leaving,
    /// All slots are taken now.
    Busy,
    /// It could not be served in time.
    Late,
    /// The backend server turned the opening away.
    Full,
    /// The operator has evacuated its failure domain.
    Evacuated,
    /// Its backend server is cold and has been given what it bears.
    Cold,
}

impl Reason {
    /// Word for logs and metrics.
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

/// What an agent counts itself, from the packets that pass it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Requests whose answer has not begun, openings not yet followed by a request, and openings that
    /// wait for a slot.
    pub busy: u16,
    /// Open flows.
    pub flows: u16,
    /// How long a slot works on a request now, in milliseconds; zero while that is not known.
    pub service_ms: u16,
}

/// Whether an agent takes new flows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// Takes new flows.
    Ready,
    /// Its backend server breaks requests off. It gets new flows only when no other takes them.
    Failing,
    /// Has no backend server that takes flows: not announced yet, draining, unresponsive or gone.
    Closed,
    /// The agent process itself is being replaced; its backend server keeps its flows.
    Restarting,
    /// The backend server has ended, and the agent ends with it.
    Gone,
}

/// An agent's word about itself. A later one replaces an earlier one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// When the agent process started, Unix milliseconds: orders announcements of two processes
    /// that had the same address.
    pub incarnation: u64,
    /// Count of announcements by this process: orders them.
    pub number: u64,
    /// Failure domain.
    pub domain: Arc<str>,
    /// Service of its backend server.
    pub service: Option<Service>,
    /// Requests that the backend server works on at once.
    pub slots: u16,
    /// Whether the backend server is still slow after its start.
    pub cold: bool,
    /// Openings that it may be given now because it is cold; none where nothing bounds them.
    pub room: Option<u32>,
    /// Whether it takes new flows.
    pub state: State,
    /// Its load.
    pub load: Load,
    /// Digest of the balancers it knows; a balancer that knows others answers with its roster.
    pub balancers: u64,
    /// Version of the configuration that it holds a copy of for balancers; zero if it holds none.
    pub replica: u64,
}

/// What the agents of one failure domain last said, as one of its balancers heard it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// The failure domain.
    pub domain: Arc<str>,
    /// The services that reports name by their place here: of one length each, where a domain has few.
    pub services: Vec<Service>,
    /// Its agents, or a part of them.
    pub reports: Vec<Report>,
    /// Whether a balancer of the receiver's failure domain passed it on.
    pub passed_on: bool,
}

/// What one agent last said of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The agent.
    pub agent: Ipv4Addr,
    /// How long ago the sender of the summary had its last sign, in milliseconds.
    pub age_ms: u32,
    /// As in [`Announcement`].
    pub incarnation: u64,
    /// As in [`Announcement`].
    pub number: u64,
    /// Place of its backend server's service in the summary.
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
    pub load: Load,
}

impl Summary {
    /// A summary of a failure domain that tells of nobody yet.
    #[must_use]
    pub fn open(domain: &Arc<str>) -> Self {
        let domain = Arc::clone(domain);
        Self { domain, services: Vec::new(), reports: Vec::new(), passed_on: false }
    }

    /// What an agent said that one of the reports tells of.
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
            load: self.load,
            balancers: 0,
            replica: 0,
        }
    }
}

/// A balancer's word about itself and its peers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Roster {
    /// Version of the configuration that it has in force; zero while it has none.
    pub version: u64,
    /// Failure domain.
    pub domain: Arc<str>,
    /// Digest of the addresses of all balancers it knows, its own among them.
    pub digest: u64,
    /// Number of these addresses. Who knows fewer has something to learn.
    pub known: u32,
    /// These addresses, or a part of them; left out where the receiver is likely to know them.
    pub balancers: Vec<Ipv4Addr>,
    /// Agents that it hears of now. A balancer that hears of fewer has not heard of all.
    pub agents: u32,
    /// Whether the store answered its last call.
    pub reaches_store: bool,
    /// Whether the sender is about to stop.
    pub leaving: bool,
    /// The orders of evacuation in force; none while it has heard of none.
    pub orders: Option<Orders>,
}
