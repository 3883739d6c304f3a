//! Checks of the backend server's port while the server is silent, and what follows from them.

use super::{Action, Agent, reset_observed};
use crate::clock::Time;
use crate::l4::decision::{Cause, Decision, ServerChange};
use crate::l4::policy::Mechanism;
use crate::port::{Finding, State};

/// Interval between two checks of a silent server's port, in milliseconds.
pub(super) const CHECK_INTERVAL_MS: u64 = 1_000;

/// Silence of the server after a packet that it would answer, after which its port is checked, in
/// milliseconds. A client that gets no answer has then sent the packet again.
const SILENT_MS: u64 = 300;

impl Agent {
    /// Records that the server was heard: it runs.
    pub(super) fn record_heard(&mut self, now: Time) {
        self.heard_at = now;
        self.awaiting_since = None;
        self.port.clear();
    }

    /// Records that a packet was passed to the server which it would answer.
    pub(super) fn record_awaiting(&mut self, now: Time) {
        self.awaiting_since.get_or_insert(now);
        self.port.allow();
    }

    /// Requests a check of the port of a server that has started: only a port that was seen open
    /// shows by being closed that its server has ended.
    pub(super) fn check_started_server(&mut self, now: Time) -> Option<Action> {
        self.was_port_open = false;
        self.request_port_check(now)
    }

    /// Requests a check of the server's port, if the server is silent.
    ///
    /// Guards against clients that wait until their deadline for a server that has crashed, and
    /// against denying the flows of a server that is only paused.
    pub(super) fn check_silent_server(&mut self, now: Time) -> Option<Action> {
        let is_silent = match self.history.server() {
            Some(_) => self.is_answer_missing(now) || self.history.is_overdue(now),
            None => !self.history.has_ended(),
        };
        if is_silent { self.request_port_check(now) } else { None }
    }

    fn request_port_check(&mut self, now: Time) -> Option<Action> {
        let is_due = self.uses(Mechanism::PortChecks) && self.port.request(now);
        is_due.then_some(Action::CheckServerPort { asked_at: now })
    }

    /// Returns whether the server owes an answer and has been silent for too long.
    fn is_answer_missing(&self, now: Time) -> bool {
        let is_awaited = self.awaiting_since.is_some() || self.table.working() > 0;
        let since = self.awaiting_since.map_or(self.heard_at, |since| since.max(self.heard_at));
        is_awaited && now.since(since) >= SILENT_MS
    }

    /// Applies the state of the server's port.
    pub(super) fn server_port_checked(&mut self, now: Time, finding: Finding) -> Vec<Action> {
        let Finding { state, asked_at } = finding;
        self.port.record(finding);
        self.was_port_open |= state == State::Open;
        let after_ms = now.since(asked_at);
        let process = self.identity.address;
        let mut actions = vec![Action::Log(Decision::PortChecked { process, state, after_ms })];
        let has_ended = state == State::Closed && self.was_port_open && self.heard_at < asked_at;
        if has_ended && self.history.server().is_some() {
            actions.extend(self.end_crashed_server(now));
        }
        actions
    }

    /// Ends the current incarnation of the server, whose port was closed after it was last heard,
    /// and resets its flows. Its requests that wait here are refused with the next step.
    fn end_crashed_server(&mut self, now: Time) -> Vec<Action> {
        let mut actions = vec![self.log_change(ServerChange::Crashed)];
        self.history.end();
        self.unanswered_since = None;
        self.awaiting_since = None;
        for (flow, held) in self.table.take_answered() {
            let observed = Some(held.observed(now));
            actions.push(Action::Forget(flow));
            actions.extend(reset_observed(flow, held.reset_seq(), Cause::ServerCrashed, observed));
        }
        actions.extend(self.announce(now));
        actions
    }
}
