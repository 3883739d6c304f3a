//! The load of one backend server as its agent counts it.

use serde::{Deserialize, Serialize};

/// Counted by the agent from what it sent itself; never taken from the backend server's own word.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Open flows.
    pub connections: u32,
    /// Requests in progress at the backend server.
    pub busy: u32,
    /// Requests waiting for a slot.
    pub queued: u32,
}
