//! Flows without a routing token: the decisions of balancers and agents.

mod agent;
mod backend;
mod balancer;
mod checkpoint;
mod delegate;
mod evacuated_fleet;
mod evacuation;
mod fixture;
mod full_server;
mod mute;
mod outlier;
mod overload;
mod placement;
mod policy;
mod recovery;
mod replica;
mod room;
mod roster;
mod server;
mod shortage;
mod shortage_random;
mod summary;
mod waiting;
mod warmup;
