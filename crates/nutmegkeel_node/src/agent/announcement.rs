//! What a backend server tells the agent beside it.

use std::net::SocketAddr;

use nutmegkeel_core::class;
use nutmegkeel_core::member::Capacity;
use serde::Deserialize;

/// Most slots and connections that make sense for one backend server.
const MOST: u32 = 1_000_000;

/// The body of `POST /announce`.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Announcement {
    /// Class of work it serves.
    pub(super) class: class::Name,
    /// Address at which it speaks HTTP/1.1.
    pub(super) address: SocketAddr,
    /// Requests in progress at most.
    pub(super) slots: u32,
    /// Open flows at most.
    pub(super) connections: u32,
}

impl Announcement {
    pub(super) fn capacity(&self) -> Capacity {
        Capacity { class: self.class.clone(), slots: self.slots, connections: self.connections }
    }
}

/// Reads an announcement; the error names the field and what is allowed.
pub(super) fn parse(body: &[u8]) -> Result<Announcement, String> {
    let announcement: Announcement = serde_json::from_slice(body).map_err(|error| {
        format!(
            "announcement: {error}; allowed: {{\"class\": NAME, \"address\": \"IP:PORT\", \
             \"slots\": 1 to {MOST}, \"connections\": 1 to {MOST}}}"
        )
    })?;
    let counts = [("slots", announcement.slots), ("connections", announcement.connections)];
    for (field, count) in counts {
        if count == 0 || count > MOST {
            return Err(format!("announcement: `{field}` is {count}; allowed: 1 to {MOST}"));
        }
    }
    Ok(announcement)
}
