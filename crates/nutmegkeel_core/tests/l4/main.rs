//! Flows without a routing token: the decisions of balancers and agents.

mod agent;
mod balancer;
mod checkpoint;
mod fixture;
mod outlier;
mod overload;
mod placement;
mod policy;
mod roster;
mod server;
mod waiting;
