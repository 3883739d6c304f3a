//! Flows without a routing token: the decisions of balancers and agents.

mod agent;
mod backend;
mod balance;
mod balancer;
mod checkpoint;
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
mod room;
mod roster;
mod search;
mod server;
mod speed;
mod summary;
mod uneven;
mod uneven_fleet;
mod waiting;
mod warmup;
