//! Mechanisms that can be switched off: to measure what each is worth, and as an emergency switch for
//! operators who suspect one of them.

use std::collections::BTreeSet;
use std::fmt;
use std::str::FromStr;

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
}

impl Mechanism {
    /// All mechanisms, in the order of the documentation.
    pub const ALL: [Self; 15] = [
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
    ];

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

/// Which mechanisms a process uses: all but those switched off.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Policy {
    without: BTreeSet<Mechanism>,
}

impl Policy {
    /// All mechanisms but these.
    #[must_use]
    pub fn without(mechanisms: impl IntoIterator<Item = Mechanism>) -> Self {
        Self { without: mechanisms.into_iter().collect() }
    }

    /// Whether a mechanism is used.
    #[must_use]
    pub fn uses(&self, mechanism: Mechanism) -> bool {
        !self.without.contains(&mechanism)
    }

    /// The names of those switched off, for the log.
    #[must_use]
    pub fn switched_off(&self) -> Vec<&'static str> {
        self.without.iter().map(|mechanism| mechanism.name()).collect()
    }
}
