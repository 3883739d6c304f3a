//! Decisions and their inputs, for the logs.
//!
//! There is one record for each decision that affects a flow or changes the known state of another
//! process.

use std::net::Ipv4Addr;
use std::sync::Arc;

use super::changes::Changes;
use super::evacuation;
use super::flow::Flow;
use super::message::{Load, Reason};
use super::mute::Silence;
use super::placement::{Choice, Level, Verdict};
use super::room::Shortage;
use super::route::Urgency;
use super::share::Standing;
use crate::port;

/// A decision and its inputs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// A balancer sent an opening to an agent.
    Placed {
        /// The flow.
        flow: Flow,
        /// The agent, its load and the age of that load.
        choice: Choice,
        /// Number of agents that declined it before.
        attempt: usize,
        /// Version of the configuration that determined the service.
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
    /// A balancer found the agent that holds a flow.
    Found {
        /// The flow.
        flow: Flow,
        /// The agent that holds it.
        agent: Ipv4Addr,
        /// Number of agents that were queried before.
        asked: usize,
    },
    /// A balancer without a configuration, or one that does not reach the flow's agent, relayed a
    /// packet to another balancer.
    Relayed {
        /// The flow.
        flow: Flow,
        /// The other balancer.
        to: Ipv4Addr,
    },
    /// A balancer did not handle a packet, and kept nothing of it.
    Dropped {
        /// The flow.
        flow: Flow,
        /// Why it could not handle it.
        cause: Cause,
    },
    /// A balancer without the flow's route forwarded a packet of an open flow. The agent handled the
    /// packet, because nothing shows that the route was dropped.
    RouteUnknown {
        /// The flow.
        flow: Flow,
        /// The balancer.
        from: Ipv4Addr,
        /// Version of the configuration under which the flow was opened, if the agent knows it.
        opened_under: Option<u64>,
        /// Version of the balancer's configuration.
        version: u64,
    },
    /// A reset was sent to the client.
    Reset {
        /// The flow.
        flow: Flow,
        /// Why.
        cause: Cause,
        /// Number of agents that were queried.
        asked: usize,
        /// Version of the configuration that decided it: the one in force at a balancer, or the
        /// balancer's at an agent that resets a flow whose route was dropped. Otherwise zero.
        version: u64,
        /// What the agent had observed of the flow; `None` if it does not know the flow, and at a
        /// balancer.
        observed: Option<Observed>,
    },
    /// An opening was refused for lack of room: no backend server can answer it in time, or all
    /// agents that were queried declined it.
    Refused {
        /// The flow.
        flow: Flow,
        /// Why.
        cause: Cause,
        /// How urgent it was.
        urgency: Urgency,
        /// Number of agents that declined it.
        asked: usize,
        /// Shortage that caused the refusal; `None` if every agent that was queried declined.
        shortage: Option<Shortage>,
    },
    /// A packet is kept until a change makes a decision on it possible.
    Kept {
        /// The flow.
        flow: Flow,
        /// Why it cannot be decided yet.
        cause: Cause,
    },
    /// Agents appeared, or started or stopped taking new flows, since the last such record.
    Agents {
        /// The agents that changed.
        changes: Changes,
        /// Number of agents that are known now.
        known: usize,
    },
    /// A balancer knows every agent that may hold flows, also those that it cannot hear.
    AgentsComplete {
        /// The balancer that listed them; `None` if none had to.
        from: Option<Ipv4Addr>,
        /// Number of agents that are known now.
        agents: usize,
        /// Time for which it did not know all of them, in milliseconds.
        after_ms: u64,
    },
    /// No announcement of some agents has arrived within the time-out.
    AgentsSilent {
        /// The agents.
        agents: Vec<Ipv4Addr>,
    },
    /// Some agents are silent, and their hosts answer.
    AgentsStopped {
        /// The agents.
        agents: Vec<Ipv4Addr>,
    },
    /// The port of a silent process was checked.
    PortChecked {
        /// Address of the process.
        process: Ipv4Addr,
        /// State of the port.
        state: port::State,
        /// Time until the result, in milliseconds.
        after_ms: u64,
    },
    /// A backend server was classified as far slower than its peers, or no longer is.
    Speed(Verdict),
    /// A configuration came into force.
    InForce {
        /// Version of the configuration.
        version: u64,
        /// Number of routes in it.
        routes: usize,
    },
    /// A failure domain was evacuated or taken back.
    Evacuation(evacuation::Change),
    /// A balancer starts or stops sparing a failure domain that is far busier than the others.
    Spared {
        /// Utilization of the domain, and whether it is spared now.
        level: Level,
        /// Fraction of recent openings that went to a failure domain other than this balancer's, in
        /// thousandths.
        sent_remote: Option<u64>,
    },
    /// Balancers became known or announced that they stop, since the last such record.
    Balancers {
        /// The balancers that changed.
        changes: Changes,
        /// Number of balancers that are known now, without this process.
        known: usize,
    },
    /// An agent accepted an opening.
    Accepted {
        /// The flow.
        flow: Flow,
        /// Load of the agent, this flow included.
        load: Load,
    },
    /// A request on an open flow waited for a slot until its deadline.
    Expired {
        /// The flow.
        flow: Flow,
        /// How long it waited, in milliseconds.
        waited_ms: u64,
    },
    /// A request on an open flow whose answer would miss the deadline went to the server, which
    /// rejects it if its queue is full.
    PassedOn {
        /// The flow.
        flow: Flow,
        /// How long it waited, in milliseconds.
        waited_ms: u64,
        /// Time until its deadline, in milliseconds.
        left_ms: u64,
    },
    /// A request that waited for a slot was dropped.
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
    /// A request went behind others because its caller, or its caller's failure domain, was beyond
    /// its share.
    BeyondShare {
        /// The flow.
        flow: Flow,
        /// Standing of its caller.
        standing: Standing,
        /// How long it waited, in milliseconds.
        waited_ms: u64,
    },
    /// An agent learned from its backend server that the server holds a flow.
    Adopted {
        /// The flow.
        flow: Flow,
    },
    /// An agent's local backend server left all its requests unanswered for too long.
    Mute {
        /// Its incarnation.
        id: Arc<str>,
        /// How long it has answered nothing, and why that is too long.
        silence: Silence,
    },
    /// The state of an agent's local backend server changed.
    Server {
        /// Its incarnation.
        id: Arc<str>,
        /// What changed.
        change: ServerChange,
    },
}

/// State of a flow as an agent has observed it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Observed {
    /// Whether the backend server has received the end of the handshake.
    pub is_open: bool,
    /// Time since the server last sent a packet of the flow, in milliseconds.
    pub server_silent_ms: u64,
}

/// Change in the state of an agent's local backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerChange {
    /// A new incarnation runs.
    Started,
    /// Another incarnation may have replaced it; the next heartbeat decides.
    Contested,
    /// It takes no new flows.
    Draining,
    /// It reported that it ends.
    Ended,
    /// It has ended without a report: its port is closed.
    Crashed,
    /// It does not answer openings.
    Unresponsive,
    /// It answers again.
    Responsive,
    /// It aborts requests.
    Failing,
}

/// Why a client got a reset or no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// No configuration is known yet.
    NoConfiguration,
    /// This process has just resumed, and its configuration may be out of date.
    Behind,
    /// No route has the address, or the flow's route was dropped.
    NoRoute,
    /// The configuration in force has no route, and a newer one may have it.
    RouteUnknown,
    /// No agent takes flows of the service.
    NoAgent,
    /// The backend server has no free slot.
    AllBusy,
    /// Every agent that was queried declined.
    AllDeclined,
    /// No backend server can answer in time.
    NoRoom,
    /// The flow's agent is dead.
    AgentDead,
    /// The flow's agent is silent although its host answers, and the client may retry.
    AgentStopped,
    /// No agent holds the flow.
    NotHeld,
    /// No agent is known to hold the flow, but one that may hold it has not answered.
    Undecided,
    /// The backend server no longer holds the flow.
    ServerRestarted,
    /// The backend server reported that it ends.
    ServerDead,
    /// The backend server has ended without a report: its port is closed.
    ServerCrashed,
    /// The backend server accepts requests and never answers; it has not seen the end of the flow's
    /// handshake.
    ServerMute,
    /// The request waited for a slot, and its answer would have missed the deadline.
    Late,
    /// More requests arrived than can be served, and this one would have waited until its deadline
    /// without an answer.
    Overload,
    /// The only backend servers of the service are in evacuated failure domains.
    Evacuated,
    /// The host restarted with another backend server; its flows were recorded in the store.
    HostRestarted,
}

impl Cause {
    /// Returns the name for logs and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::NoConfiguration => "no_configuration",
            Self::Behind => "behind",
            Self::NoRoute => "no_route",
            Self::RouteUnknown => "route_unknown",
            Self::NoAgent => "no_agent",
            Self::AllBusy => "all_busy",
            Self::AllDeclined => "all_declined",
            Self::NoRoom => "no_room",
            Self::AgentDead => "agent_dead",
            Self::AgentStopped => "agent_stopped",
            Self::NotHeld => "not_held",
            Self::Undecided => "undecided",
            Self::ServerRestarted => "server_restarted",
            Self::ServerDead => "server_dead",
            Self::ServerCrashed => "server_crashed",
            Self::ServerMute => "server_mute",
            Self::Late => "late",
            Self::Overload => "overload",
            Self::Evacuated => "evacuated",
            Self::HostRestarted => "host_restarted",
        }
    }
}
