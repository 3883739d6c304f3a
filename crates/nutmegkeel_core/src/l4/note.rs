//! What a decision rested on, for the logs: one note for each decision that touches a flow or
//! changes what the process believes.

use std::net::Ipv4Addr;
use std::sync::Arc;

use super::changes::Changes;
use super::evacuation;
use super::flow::Flow;
use super::message::{Load, Reason};
use super::placement::{Choice, Level, Verdict};
use super::room::Shortage;
use super::route::Urgency;
use super::share::Standing;

/// A decision and its inputs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Note {
    /// A balancer sent an opening to an agent.
    Placed {
        /// The flow.
        flow: Flow,
        /// The agent, its load and that load's age.
        choice: Choice,
        /// Agents that declined it before.
        attempt: usize,
        /// Version of the configuration that named the service.
        version: u64,
    },
    /// An agent declined a packet of a flow.
    Declined {
        /// The flow.
        flow: Flow,
        /// The agent.
        agent: Ipv4Addr,
        /// Why.
        reason: Reason,
        /// Load of the agent.
        load: Load,
    },
    /// A balancer found the agent of a flow that it did not know.
    Found {
        /// The flow.
        flow: Flow,
        /// The agent that holds it.
        agent: Ipv4Addr,
        /// Agents that were asked before.
        asked: usize,
    },
    /// A balancer without a configuration handed a packet to one that has it.
    Relayed {
        /// The flow.
        flow: Flow,
        /// The other balancer.
        to: Ipv4Addr,
    },
    /// A reset was sent to the client.
    Reset {
        /// The flow.
        flow: Flow,
        /// Why.
        cause: Cause,
        /// Agents that declined it.
        asked: usize,
        /// Version of the configuration in force, at a balancer.
        version: u64,
    },
    /// An opening was refused for want of room: no backend server can answer it in time, or all that were
    /// asked declined it.
    Refused {
        /// The flow.
        flow: Flow,
        /// Why.
        cause: Cause,
        /// How urgent it was.
        urgency: Urgency,
        /// Agents that declined it.
        asked: usize,
        /// What the refusal rested on; none where every agent that was asked declined.
        shortage: Option<Shortage>,
    },
    /// A packet is kept until something that could decide on it changes.
    Kept {
        /// The flow.
        flow: Flow,
        /// Why nothing can be decided yet.
        cause: Cause,
    },
    /// Agents appeared, or take new flows again or no more, since the last such note.
    Agents {
        /// Which.
        changes: Changes,
        /// Agents that are known now.
        known: usize,
    },
    /// Agents have not been heard of for too long.
    AgentsSilent {
        /// The agents.
        agents: Vec<Ipv4Addr>,
    },
    /// A backend server began or ceased to count as far slower than its peers.
    Speed(Verdict),
    /// A configuration came into force.
    InForce {
        /// Its version.
        version: u64,
        /// Number of its routes.
        routes: usize,
    },
    /// A failure domain was evacuated or taken back.
    Evacuation(evacuation::Change),
    /// A balancer begins or ceases to spare a failure domain that is far fuller than the others.
    Spared {
        /// How full it is, and whether it is spared now.
        level: Level,
        /// Openings that lately went to other failure domains than this balancer's, in thousandths.
        abroad: Option<u64>,
    },
    /// Balancers became known, or said that they stop, since the last such note.
    Balancers {
        /// Which.
        changes: Changes,
        /// Balancers that are known now, this process not counted.
        known: usize,
    },
    /// An agent took an opening.
    Accepted {
        /// The flow.
        flow: Flow,
        /// Load of the agent, this flow included.
        load: Load,
    },
    /// A request on an open flow waited for a slot until its client's time was over.
    Expired {
        /// The flow.
        flow: Flow,
        /// How long it waited, in milliseconds.
        waited_ms: u64,
    },
    /// A request that waited for a slot was given up.
    GivenUp {
        /// The flow.
        flow: Flow,
        /// Why.
        cause: Cause,
        /// How urgent it was.
        urgency: Urgency,
        /// How long it waited, in milliseconds.
        waited_ms: u64,
    },
    /// A request went on behind others, because its caller had more than its share.
    BeyondShare {
        /// The flow.
        flow: Flow,
        /// How its caller stood.
        standing: Standing,
        /// How long it waited, in milliseconds.
        waited_ms: u64,
    },
    /// An agent learnt from its backend server that it holds a flow.
    Adopted {
        /// The flow.
        flow: Flow,
    },
    /// The backend server beside an agent changed.
    Server {
        /// Its incarnation.
        id: Arc<str>,
        /// How.
        change: ServerChange,
    },
}

/// How the backend server beside an agent changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerChange {
    /// A new incarnation runs.
    Started,
    /// Another incarnation may have taken its place; the next heartbeat tells.
    Contested,
    /// It takes no more flows.
    Draining,
    /// It said that it ends.
    Ended,
    /// It does not answer openings.
    Unresponsive,
    /// It answers again.
    Responsive,
    /// It breaks requests off.
    Failing,
    /// It takes requests and never answers.
    Mute,
    /// It neither answers nor sends heartbeats; its flows are gone.
    Dead,
}

/// Why a client got a reset, or nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// No configuration is known yet.
    NoConfiguration,
    /// No route names the address.
    NoRoute,
    /// No agent takes flows of the service.
    NoAgent,
    /// The backend server has no free slot.
    AllBusy,
    /// Every agent that was asked declined.
    AllDeclined,
    /// No backend server can answer in time.
    NoRoom,
    /// The flow's agent is dead.
    AgentDead,
    /// No agent holds the flow.
    NotHeld,
    /// No agent is known to hold the flow, but one that may hold it has not answered.
    Undecided,
    /// The backend server no longer holds the flow.
    ServerRestarted,
    /// The backend server is dead.
    ServerDead,
    /// The backend server takes requests and never answers.
    ServerMute,
    /// The request waited for a slot, and its answer would come too late.
    Late,
    /// More came than can be served, and the request would have waited until its deadline in vain.
    Overload,
    /// The only backend servers of the service are in evacuated failure domains.
    Evacuated,
    /// The host came back with another backend server; its flows were noted in the store.
    HostRestarted,
}

impl Cause {
    /// Word for logs and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::NoConfiguration => "no_configuration",
            Self::NoRoute => "no_route",
            Self::NoAgent => "no_agent",
            Self::AllBusy => "all_busy",
            Self::AllDeclined => "all_declined",
            Self::NoRoom => "no_room",
            Self::AgentDead => "agent_dead",
            Self::NotHeld => "not_held",
            Self::Undecided => "undecided",
            Self::ServerRestarted => "server_restarted",
            Self::ServerDead => "server_dead",
            Self::ServerMute => "server_mute",
            Self::Late => "late",
            Self::Overload => "overload",
            Self::Evacuated => "evacuated",
            Self::HostRestarted => "host_restarted",
        }
    }
}
