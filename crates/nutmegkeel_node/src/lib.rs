//! Runs balancers and agents: sockets, threads and clocks around the decisions of the core.

pub mod address;
pub mod administration;
pub mod agent;
pub mod balancer;
pub mod clock;
pub mod l4;
mod lock;
pub mod metric;
pub mod output;
pub mod port_check;
pub mod settings;
mod web;
