//! A simulated backend server.

use std::collections::VecDeque;

use nutmegkeel_core::l4::flow::Head;

/// Number of requests that it processes concurrently.
pub(crate) const SLOTS: usize = 4;

/// Time of a request while the server is cold, and when it is warm, in milliseconds.
const COLD_MS: u64 = 94;
const WARM_MS: u64 = 59;

/// Time for which the server is cold, in milliseconds.
pub(crate) const COLD_UNTIL_MS: u64 = 2_000;

/// A backend server that answers in the order of arrival.
#[derive(Default)]
pub(crate) struct Server {
    pub(crate) queue: VecDeque<Head>,
    busy: Vec<(u64, Head)>,
}

impl Server {
    /// Advances to `now`; returns the requests that are answered.
    pub(crate) fn step(&mut self, now: u64) -> Vec<Head> {
        let (done, busy): (Vec<_>, Vec<_>) = self.busy.drain(..).partition(|(at, _)| *at <= now);
        self.busy = busy;
        while self.busy.len() < SLOTS
            && let Some(head) = self.queue.pop_front()
        {
            let duration_ms = if now < COLD_UNTIL_MS { COLD_MS } else { WARM_MS };
            self.busy.push((now + duration_ms, head));
        }
        done.into_iter().map(|(_, head)| head).collect()
    }
}
