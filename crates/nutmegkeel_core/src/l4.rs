//! Flows whose packets carry no routing token: only addresses, ports and sequence numbers.
//!
//! A balancer finds the agent of such a flow in its own cache or by asking agents in an order that
//! every balancer computes alike; the agent has the last word, because it alone sees what its
//! backend server accepted. Nobody holds a table of all flows.

pub mod agent;
pub mod balancer;
pub mod cache;
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
pub mod turnover;
pub mod waiting;
pub mod warmup;
pub mod watch;
pub mod word;
