//! Decisions of the load balancer: typed events and a time go in, typed actions come out.
//!
//! Nothing here opens a socket, reads a clock, starts a thread or draws randomness that was not
//! seeded at `open`. The shells in `nutmegkeel_node` drive these state machines, and so can a bench.

pub mod admission;
pub mod agent;
pub mod balancer;
pub mod change;
pub mod claim;
pub mod class;
pub mod clock;
pub mod configuration;
pub mod life;
pub mod load;
pub mod member;
pub mod membership;
pub mod peer;
pub mod placement;
pub mod reply;
pub mod retry;
pub mod verdict;
