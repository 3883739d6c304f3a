//! Whether the backend server is cold, and what it may be given then.

use super::Agent;
use crate::clock::Time;
use crate::l4::server::Server;

impl Agent {
    /// Whether the backend server is cold: it says so itself, or its failure domain was taken back and
    /// it has not spoken since.
    ///
    /// Guards against a full load on servers that became cold while they were evacuated: their last
    /// heartbeat is from before and calls them warm.
    pub(super) fn is_cold(&self, now: Time) -> bool {
        let is_doubtful =
            |server: &Server| self.taken_back.is_some_and(|taken_back| server.heard <= taken_back);
        let is_cold = |server: &Server| now < server.warm_at || is_doubtful(server);
        self.beside.server().is_some_and(is_cold)
    }

    /// Openings that the server may be given now; none where nothing bounds them.
    pub(super) fn room(&self, now: Time) -> Option<u32> {
        self.budget.room(now).filter(|_| self.is_cold(now))
    }
}
