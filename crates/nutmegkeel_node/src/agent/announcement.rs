//! The announcement that a backend server sends to the agent on its host.

use std::net::SocketAddr;

use nutmegkeel_core::class;
use nutmegkeel_core::member::Capacity;
use serde::Deserialize;

/// Maximum number of slots, and of connections, that is plausible for one backend server.
const MAX_CAPACITY: u32 = 1_000_000;

/// The body of `POST /announce`.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Announcement {
    /// Class of work that it serves.
    pub(super) class: class::Name,
    /// Address at which it serves HTTP/1.1.
    pub(super) address: SocketAddr,
    /// Maximum number of requests in progress.
    pub(super) slots: u32,
    /// Maximum number of open flows.
    pub(super) connections: u32,
}

impl Announcement {
    pub(super) fn capacity(&self) -> Capacity {
        Capacity { class: self.class.clone(), slots: self.slots, connections: self.connections }
    }
}

/// Parses an announcement. The error names the field and the allowed values.
pub(super) fn parse(body: &[u8]) -> Result<Announcement, String> {
    let announcement: Announcement = serde_json::from_slice(body).map_err(|error| {
        format!(
            "announcement: {error}; allowed: {{\"class\": NAME, \"address\": \"IP:PORT\", \
             \"slots\": 1 to {MAX_CAPACITY}, \"connections\": 1 to {MAX_CAPACITY}}}"
        )
    })?;
    let counts = [("slots", announcement.slots), ("connections", announcement.connections)];
    for (field, count) in counts {
        if count == 0 || count > MAX_CAPACITY {
            return Err(format!(
                "announcement: `{field}` is {count}; allowed: 1 to {MAX_CAPACITY}"
            ));
        }
    }
    Ok(announcement)
}
