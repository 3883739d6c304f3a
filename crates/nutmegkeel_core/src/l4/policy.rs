//! Which mechanisms a process uses. Some are for deployments that say of themselves what calls for them;
//! each can be switched off: to measure what it is worth, and as an emergency switch for operators who
//! suspect it.

use std::collections::BTreeSet;
use std::fmt;
use std::str::FromStr;

/// What a deployment says of itself that calls for mechanisms which others are served without.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Condition {
    /// Callers may ask for more than all backend servers together can do.
    Contention,
    /// Backend servers may fail or become slow while all that they say of themselves is good.
    HiddenFaults,
}

/// A mechanism of the decisions for flows without a routing token.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Mechanism {
    /// Agents note their open flows in the store, and their successors tell the clients of lost ones.
    FlowLists,
    /// Requests wait at the agent while its server has enough to go on with, not in the server's queue.
    AgentQueue,
    /// Under lasting pressure the newest request goes first.
    NewestFirst,
    /// Requests beyond what can be served are turned away when a burst lasts.
    TurningAway,
    /// Openings ask for a free slot before they ask to wait.
    FreeSlotFirst,
    /// A server that breaks many requests off gets no new flows for a while.
    Outliers,
    /// A server that leaves openings unanswered gets no more.
    Unresponsive,
    /// Agents announce themselves with each tick to balancers that have not answered yet.
    Introductions,
    /// Packets that cannot be decided on yet are kept.
    KeptPackets,
    /// A balancer without a configuration hands packets to one that has it.
    Relay,
    /// Balancers that find no configuration anywhere carry the packets of open flows.
    Unrouted,
    /// Agents hand their lists of flows to balancers that write many with one call.
    Collectors,
    /// Agents announce themselves in their own failure domain, and its balancers tell the others.
    Summaries,
    /// A server that never answers gets no new flows, and clients whose requests may run again are told.
    Mute,
    /// Some agents hold a copy of the configuration for balancers that find it nowhere else.
    Replicas,
    /// Where agents are far, many are asked for a flow at once.
    WideSearch,
    /// What is short of room goes by the urgency of its route.
    Urgency,
    /// Callers share the room of a backend server that is short of it.
    FairShares,
    /// Balancers reckon how much room a service has, and refuse at once what finds none in time.
    Room,
    /// A backend server far slower than its peers gets new flows by its speed.
    UnevenServers,
    /// New flows leave a failure domain that is far busier than others.
    DomainBalance,
}

impl Mechanism {
    /// All mechanisms, in the order of the documentation.
    pub const ALL: [Self; 21] = [
        Self::FlowLists,
        Self::AgentQueue,
        Self::NewestFirst,
        Self::TurningAway,
        Self::FreeSlotFirst,
        Self::Outliers,
        Self::Unresponsive,
        Self::Introductions,
        Self::KeptPackets,
        Self::Relay,
        Self::Unrouted,
        Self::Collectors,
        Self::Summaries,
        Self::Mute,
        Self::Replicas,
        Self::WideSearch,
        Self::Urgency,
        Self::FairShares,
        Self::Room,
        Self::UnevenServers,
        Self::DomainBalance,
    ];

    /// The condition that a deployment must name for the mechanism to be used; none if all use it.
    #[must_use]
    pub const fn needs(self) -> Option<Condition> {
        match self {
            Self::Urgency | Self::FairShares | Self::Room => Some(Condition::Contention),
            Self::UnevenServers | Self::DomainBalance => Some(Condition::HiddenFaults),
            _ => None,
        }
    }

    /// The name on the command line and in logs.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::FlowLists => "flow-lists",
            Self::AgentQueue => "agent-queue",
            Self::NewestFirst => "newest-first",
            Self::TurningAway => "turning-away",
            Self::FreeSlotFirst => "free-slot-first",
            Self::Outliers => "outliers",
            Self::Unresponsive => "unresponsive",
            Self::Introductions => "introductions",
            Self::KeptPackets => "kept-packets",
            Self::Relay => "relay",
            Self::Unrouted => "unrouted",
            Self::Collectors => "collectors",
            Self::Summaries => "summaries",
            Self::Mute => "mute",
            Self::Replicas => "replicas",
            Self::WideSearch => "wide-search",
            Self::Urgency => "urgency",
            Self::FairShares => "fair-shares",
            Self::Room => "room",
            Self::UnevenServers => "uneven-servers",
            Self::DomainBalance => "domain-balance",
        }
    }
}

impl fmt::Display for Mechanism {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.name())
    }
}

/// No mechanism has this name.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("no mechanism is called `{name}`; there are: {}", Mechanism::ALL.map(Mechanism::name).join(", "))]
pub struct Unknown {
    /// The name.
    pub name: String,
}

impl FromStr for Mechanism {
    type Err = Unknown;

    fn from_str(name: &str) -> Result<Self, Unknown> {
        let is_meant = |mechanism: &Self| mechanism.name() == name;
        Self::ALL.into_iter().find(is_meant).ok_or_else(|| Unknown { name: name.to_owned() })
    }
}

/// Which mechanisms a process uses: those that its deployment calls for, but for those switched off.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Policy {
    without: BTreeSet<Mechanism>,
    conditions: BTreeSet<Condition>,
}

impl Policy {
    /// All mechanisms but these.
    #[must_use]
    pub fn without(mechanisms: impl IntoIterator<Item = Mechanism>) -> Self {
        Self { without: mechanisms.into_iter().collect(), ..Self::default() }
    }

    /// The same in a deployment under these conditions.
    #[must_use]
    pub fn under(self, conditions: impl IntoIterator<Item = Condition>) -> Self {
        Self { conditions: conditions.into_iter().collect(), ..self }
    }

    /// Whether a mechanism is used.
    #[must_use]
    pub fn uses(&self, mechanism: Mechanism) -> bool {
        let is_called_for = mechanism.needs().is_none_or(|need| self.conditions.contains(&need));
        is_called_for && !self.without.contains(&mechanism)
    }

    /// The names of those switched off, for the log.
    #[must_use]
    pub fn switched_off(&self) -> Vec<&'static str> {
        self.without.iter().map(|mechanism| mechanism.name()).collect()
    }
}
