//! Flows without a routing token: the decisions of balancers and agents.

mod agent;
mod backend;
mod balancer;
mod checkpoint;
mod contended;
mod contended_agent;
mod delegate;
mod evacuated_fleet;
mod evacuation;
mod fixture;
mod mute;
mod outlier;
mod overload;
mod placement;
mod policy;
mod recovery;
mod replica;
mod roster;
mod server;
mod share;
mod summary;
mod urgency;
mod waiting;
mod warmup;
