//! What the agent concludes about the backend server on its host.

use std::sync::Arc;

use super::{Action, Agent, reset, reset_unknown};
use crate::clock::Time;
use crate::l4::decision::{Cause, Decision, ServerChange};
use crate::l4::flow::Flow;
use crate::l4::health::FORGET_MS;
use crate::l4::policy::Mechanism;
use crate::l4::server::{Heartbeat, Incarnation, Update};
use crate::l4::table::Held;
use crate::port;

/// Time without an answer to any opening after which the backend server gets no more, in
/// milliseconds. A server answers within a millisecond. The client's first copy, 200 ms after the
/// opening, can then go to another server.
const UNRESPONSIVE_MS: u64 = 150;

/// Flows on which the backend server sent a packet later than this time before the first heartbeat
/// of a new incarnation are not reset, in milliseconds. The heartbeat arrives right after the start,
/// so the packet may be one of the new incarnation.
const RECENTLY_ACTIVE_MS: u64 = 1_000;

/// Time without a packet after which a server that reported its end has exited, in milliseconds.
const EXIT_MS: u64 = 500;

/// Time without a heartbeat after which an agent concludes that there is no server on its host, in
/// percent of the heartbeat interval. One and a half intervals, because a running server sends its
/// next heartbeat within one.
const ABSENT_PERCENT: u64 = 150;

impl Agent {
    pub(super) fn heartbeat(&mut self, now: Time, beat: &Heartbeat) -> Vec<Action> {
        let was_contested = self.history.is_contested();
        let update = self.history.heartbeat(now, beat);
        let mut actions = Vec::new();
        if !matches!(update, Update::Stale | Update::Contested) {
            self.record_heard(now);
        }
        match update {
            Update::Stale => return actions,
            Update::Contested => {
                actions.push(self.log_change(ServerChange::Contested));
                actions.extend(self.announce(now));
                return actions;
            }
            Update::Unchanged => {}
            Update::Draining => actions.push(self.log_change(ServerChange::Draining)),
            Update::First => {
                actions.push(self.log_change(ServerChange::Started));
                actions.extend(self.check_started_server(now));
            }
            Update::Replaced => {
                actions.extend(self.check_started_server(now));
                self.outliers.clear();
                self.meter.clear();
                actions.extend(self.reset_flows_of_predecessor(now));
                actions.push(self.log_change(ServerChange::Started));
            }
        }
        actions.extend(self.reset_lost_flows(now));
        // A server that sends heartbeats gets another try.
        self.unanswered_since = None;
        actions.extend(self.mark_responsive(now));
        if update != Update::Unchanged || was_contested {
            actions.extend(self.announce(now));
        }
        actions
    }

    /// Resets the flows that were lost with the earlier incarnation of the server.
    ///
    /// Guards against the reset of a flow that the new incarnation accepted before its first
    /// heartbeat: if a second heartbeat had to confirm it, the flow may have been idle since.
    fn reset_flows_of_predecessor(&mut self, now: Time) -> Vec<Action> {
        let Some(server) = self.history.server() else {
            return Vec::new();
        };
        let lost = self.table.take_silent_since(server.first_seen.before(RECENTLY_ACTIVE_MS));
        let reset = |(flow, held)| reset(now, flow, &held, Cause::ServerRestarted);
        lost.into_iter().flat_map(reset).collect()
    }

    /// Resets the flows that were lost with the host. A flow that has been opened again from the
    /// same port is left alone.
    pub(super) fn reset_lost_flows(&mut self, now: Time) -> Vec<Action> {
        let Some(server) = self.history.server() else {
            return Vec::new();
        };
        if !self.uses(Mechanism::FlowLists) {
            return Vec::new();
        }
        let lost = self.recorder.take_lost(now, server);
        let lost = lost.into_iter().filter(|(flow, _)| self.table.get(flow).is_none());
        lost.flat_map(|(flow, ack)| reset_unknown(flow, ack, Cause::HostRestarted)).collect()
    }

    pub(super) fn deregistered(&mut self, now: Time, leaving: &Incarnation) -> Vec<Action> {
        if !self.history.deregistered(leaving) {
            return Vec::new();
        }
        self.last_sent_at = now;
        let (id, change) = (Arc::clone(&leaving.id), ServerChange::Ended);
        let mut actions = vec![Action::Log(Decision::Server { id, change })];
        actions.extend(self.announce(now));
        actions
    }

    /// Removes and returns a flow whose server has reported its end and sends nothing any more.
    ///
    /// Guards against clients that wait until their deadline for a server that has exited and has no
    /// successor: no process would return their packets.
    pub(super) fn take_ended(&mut self, now: Time, flow: &Flow) -> Option<Held> {
        let has_exited = self.history.has_ended() && now.since(self.last_sent_at) > EXIT_MS;
        self.table.get(flow).filter(|held| has_exited && !held.is_over())?;
        self.table.remove(flow)
    }

    /// Returns whether this process would have seen a packet of a flow if the backend server held
    /// it: it received the server's first heartbeat, or has run for longer than a flow lives.
    ///
    /// If no server is known, there are no flows once a server would have sent a heartbeat, unless a
    /// process has its port open: the server may be paused and hold earlier flows. The port of a
    /// server on the own host is unanswered only if the queue of new connections is full, because
    /// the server accepts none.
    pub(super) fn is_certain(&self, now: Time, flow: &Flow) -> bool {
        let age_ms = now.since(self.started);
        match self.history.server() {
            Some(server) => server.seen_from_start || age_ms > FORGET_MS,
            None if self.history.has_ended() => true,
            None => {
                let limit_ms = self.identity.heartbeat_ms * ABSENT_PERCENT / 100;
                let is_absent = match self.port.state(now) {
                    Some(port::State::Closed) => true,
                    Some(port::State::Open | port::State::Unanswered) => false,
                    None => !self.port.is_pending(now) && !self.recorder.lists(now, flow),
                };
                is_absent && age_ms > limit_ms
            }
        }
    }

    /// Returns whether this process has seen every flow that its backend server may hold. Known
    /// without a server only once the server has reported its end, or its port is closed.
    pub(super) fn sees_all_flows(&self, now: Time) -> bool {
        match self.history.server() {
            Some(server) => server.seen_from_start || now.since(self.started) > FORGET_MS,
            None => self.history.has_ended() || self.port.state(now) == Some(port::State::Closed),
        }
    }

    /// Detects a backend server that stopped answering. It gets no new flows.
    ///
    /// Its open flows are not reset, even when its heartbeats are missing too: it may be paused, or
    /// this process was, and has not read the server's packets yet. The heartbeat of a new server
    /// shows that they are lost.
    pub(super) fn check_responsiveness(&mut self, now: Time) -> Vec<Action> {
        let is_unanswered =
            self.unanswered_since.is_some_and(|since| now.since(since) > UNRESPONSIVE_MS);
        if !is_unanswered || self.unresponsive || !self.uses(Mechanism::Unresponsive) {
            return Vec::new();
        }
        self.unresponsive = true;
        let mut actions = vec![self.log_change(ServerChange::Unresponsive)];
        actions.extend(self.announce(now));
        actions
    }

    /// Detects a server that accepts requests and never answers. It gets no new flows for a while,
    /// and requests no longer wait for its slots: their clients retry elsewhere as soon as they are
    /// rejected.
    ///
    /// Open flows are not reset. Silence does not show that the server has lost them: it may have
    /// paused, or work again while earlier requests still fill its slots.
    pub(super) fn check_mute(&mut self, now: Time) -> Vec<Action> {
        let outstanding = self.table.outstanding();
        let silence = self.mute.check(now, outstanding, self.service_time.upper_us());
        let Some(silence) = silence.filter(|_| self.uses(Mechanism::Mute)) else {
            return Vec::new();
        };
        let mut actions = Vec::new();
        if self.outliers.spare(now) {
            actions.push(Action::Log(Decision::Mute { id: self.server_id(), silence }));
            actions.extend(self.announce(now));
        }
        for waiting in self.waiting.take_requests() {
            actions.extend(self.end_wait(now, &waiting, Cause::ServerMute));
        }
        actions
    }

    pub(super) fn mark_responsive(&mut self, now: Time) -> Vec<Action> {
        if !self.unresponsive {
            return Vec::new();
        }
        self.unresponsive = false;
        let mut actions = vec![self.log_change(ServerChange::Responsive)];
        actions.extend(self.announce(now));
        actions
    }

    pub(super) fn log_change(&self, change: ServerChange) -> Action {
        Action::Log(Decision::Server { id: self.server_id(), change })
    }

    /// Returns the identity of the current server; empty if there is none.
    fn server_id(&self) -> Arc<str> {
        let server = self.history.server();
        server.map_or_else(|| "".into(), |server| Arc::clone(&server.incarnation.id))
    }
}
