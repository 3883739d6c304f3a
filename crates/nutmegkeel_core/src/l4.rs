//! Load balancing of flows whose packets carry no routing token, only addresses, ports and sequence
//! numbers.
//!
//! A balancer finds the agent of such a flow in its own cache or by querying agents in an order
//! that every balancer computes identically. The agent decides whether it holds the flow, because
//! only it sees what its backend server accepted. No process keeps a table of all flows.

pub mod agent;
pub mod balancer;
pub mod cache;
pub mod changes;
pub mod checkpoint;
pub mod decision;
pub mod evacuation;
pub mod fetch;
pub mod flow;
pub mod handover;
pub mod health;
pub mod message;
pub mod mute;
pub mod outlier;
pub mod peer_state;
pub mod placement;
pub mod policy;
pub mod probe;
pub mod room;
pub mod roster;
pub mod route;
pub mod server;
pub mod share;
pub mod speed;
pub mod status;
pub mod table;
pub mod waiting;
pub mod warmup;
pub mod watch;
