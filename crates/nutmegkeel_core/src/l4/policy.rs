//! Mechanisms that a process uses.
//!
//! Some are used only in deployments that declare a condition for them. Each can be switched off,
//! to measure its effect, or in an emergency when an operator suspects it of a fault.

use std::collections::BTreeSet;
use std::fmt;
use std::str::FromStr;

/// Condition that a deployment declares, and that enables additional mechanisms.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Condition {
    /// Callers may request more than all backend servers together can serve.
    Contention,
    /// Backend servers may fail or become slow while they still report that they are healthy.
    HiddenFaults,
}

/// Mechanism in the decisions for flows without a routing token.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Mechanism {
    /// Agents record their open flows in the store, and their successors notify the clients of lost
    /// flows.
    FlowLists,
    /// While its server is saturated, the agent queues requests instead of the server.
    AgentQueue,
    /// Under a lasting overload, the newest request goes first.
    NewestFirst,
    /// Under an overload longer than a burst, requests that cannot be served are refused.
    TurningAway,
    /// Openings are first offered for a free slot, and only then for a place in a queue.
    FreeSlotFirst,
    /// A server that aborts many requests gets no new flows for some time.
    Outliers,
    /// A server that leaves openings unanswered gets no further ones.
    Unresponsive,
    /// The ports of silent agents and backend servers are checked, so that a process that does not
    /// run is told from one that has ended.
    PortChecks,
    /// Agents announce themselves with each tick to balancers that have not answered yet.
    Introductions,
    /// Packets that cannot be decided on yet are kept.
    KeptPackets,
    /// A balancer without a configuration relays packets to one that has it.
    Relay,
    /// Balancers that find no configuration anywhere forward the packets of open flows.
    Unrouted,
    /// Agents send their flow lists to balancers that write many of them with one call.
    Collectors,
    /// Agents announce themselves in their own failure domain, and its balancers send summaries to
    /// the balancers of other domains.
    Summaries,
    /// A server that never answers gets no new flows, and requests do not wait for its slots.
    Mute,
    /// Some agents hold a copy of the configuration for balancers that find it nowhere else.
    Replicas,
    /// Where agents are far, many are queried for a flow at once.
    WideSearch,
    /// Requests that compete for room are ordered by the urgency of their route.
    Urgency,
    /// Callers share the room of a backend server that is short of it.
    FairShares,
    /// Balancers estimate how much room a service has, and refuse at once the openings that would
    /// not get any in time.
    Room,
    /// A backend server far slower than its peers gets new flows in proportion to its speed.
    UnevenServers,
    /// New flows avoid a failure domain that is far busier than others.
    DomainBalance,
}

impl Mechanism {
    /// All mechanisms, in the order of the documentation.
    pub const ALL: [Self; 22] = [
        Self::FlowLists,
        Self::AgentQueue,
        Self::NewestFirst,
        Self::TurningAway,
        Self::FreeSlotFirst,
        Self::Outliers,
        Self::Unresponsive,
        Self::PortChecks,
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

    /// Returns the condition that a deployment must declare for the mechanism to be used; `None` if
    /// every deployment uses it.
    #[must_use]
    pub const fn needs(self) -> Option<Condition> {
        match self {
            Self::Urgency | Self::FairShares | Self::Room => Some(Condition::Contention),
            Self::UnevenServers | Self::DomainBalance => Some(Condition::HiddenFaults),
            _ => None,
        }
    }

    /// Returns the name on the command line and in logs.
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
            Self::PortChecks => "port-checks",
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

/// Error for a name that no mechanism has.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("no mechanism is called `{name}`; there are: {}", Mechanism::ALL.map(Mechanism::name).join(", "))]
pub struct Unknown {
    /// The unknown name.
    pub name: String,
}

impl FromStr for Mechanism {
    type Err = Unknown;

    fn from_str(name: &str) -> Result<Self, Unknown> {
        let is_meant = |mechanism: &Self| mechanism.name() == name;
        Self::ALL.into_iter().find(is_meant).ok_or_else(|| Unknown { name: name.to_owned() })
    }
}

/// Set of mechanisms that a process uses: all whose conditions the deployment declares, except
/// those that are switched off.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Policy {
    without: BTreeSet<Mechanism>,
    conditions: BTreeSet<Condition>,
}

impl Policy {
    /// Creates a policy with these mechanisms switched off.
    #[must_use]
    pub fn without(mechanisms: impl IntoIterator<Item = Mechanism>) -> Self {
        Self { without: mechanisms.into_iter().collect(), ..Self::default() }
    }

    /// Returns the same policy for a deployment that declares these conditions.
    #[must_use]
    pub fn under(self, conditions: impl IntoIterator<Item = Condition>) -> Self {
        Self { conditions: conditions.into_iter().collect(), ..self }
    }

    /// Returns whether a mechanism is used.
    #[must_use]
    pub fn uses(&self, mechanism: Mechanism) -> bool {
        let is_called_for = mechanism.needs().is_none_or(|need| self.conditions.contains(&need));
        is_called_for && !self.without.contains(&mechanism)
    }

    /// Returns the names of the mechanisms that are switched off, for the log.
    #[must_use]
    pub fn switched_off(&self) -> Vec<&'static str> {
        self.without.iter().map(|mechanism| mechanism.name()).collect()
    }
}
