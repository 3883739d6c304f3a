//! Decisions of the load balancer: typed events and a time go in, typed actions come out.
//!
//! Nothing here opens a socket, reads a clock, starts a thread or draws randomness that was not
//! seeded at `open`. The shells in `nutmegkeel_node` drive these state machines, and so can a bench:
//!
//! ```
//! use nutmegkeel_core::agent::{Action, Agent, Event};
//! use nutmegkeel_core::clock::Time;
//! use nutmegkeel_core::membership::Pace;
//! use nutmegkeel_fake::fleet;
//!
//! let record = fleet::agent(1, "intake");
//! let capacity = record.capacity().cloned().expect("the record is an agent's");
//! let mut agent = Agent::open(record, capacity.clone(), Pace::default(), 42);
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
pub mod ended;
pub mod l4;
pub mod life;
pub mod load;
pub mod member;
pub mod membership;
pub mod peer;
pub mod placement;
pub mod reply;
pub mod retry;
pub mod revision;
pub mod verdict;
