//! State machines of the load balancer: they take typed events and a time and return typed actions.
//!
//! This crate opens no sockets, reads no clock, starts no threads and uses only random numbers from
//! generators seeded at `open`. The drivers in `nutmegkeel_node` run the state machines; a test or
//! a benchmark can do so too:
//!
//! ```
//! use nutmegkeel_core::agent::{Action, Agent, Event};
//! use nutmegkeel_core::clock::Time;
//! use nutmegkeel_core::membership::Timing;
//! use nutmegkeel_fake::fleet;
//!
//! let record = fleet::agent(1, "intake");
//! let capacity = record.capacity().cloned().expect("the record is an agent's");
//! let mut agent = Agent::open(record, capacity.clone(), Timing::default(), 42);
//! for action in agent.handle(Time::ZERO, Event::Announced(capacity)) {
//!     match action {
//!         Action::Entered(phase) => println!("now {phase:?}"),
//!         Action::Peer(action) => println!("send {action:?}"),
//!         other => println!("do {other:?}"),
//!     }
//! }
//! agent.handle(Time::from_millis(50), Event::Tick);
//! ```

pub mod admission;
pub mod agent;
pub mod balancer;
pub mod change;
pub mod claim;
pub mod class;
pub mod clock;
pub mod configuration;
pub mod l4;
pub mod lifecycle;
pub mod load;
pub mod member;
pub mod membership;
pub mod peer;
pub mod placement;
pub mod port;
pub mod retry;
pub mod return_path;
pub mod revision;
pub mod silent;
pub mod tombstone;
pub mod verdict;
