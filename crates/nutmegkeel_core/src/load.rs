//! The load of one backend server as counted by its agent.

use serde::{Deserialize, Serialize};

/// Load of one backend server. The agent counts what it sent itself and uses no figures reported by
/// the backend server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Number of open flows.
    pub connections: u32,
    /// Number of requests in progress at the backend server.
    pub busy: u32,
    /// Number of requests waiting for a slot.
    pub queued: u32,
}
