//! What the agent believes of the backend server beside it.

use std::sync::Arc;

use super::{Action, Agent, reset};
use crate::clock::Time;
use crate::l4::health::FORGET_MS;
use crate::l4::message::Message;
use crate::l4::note::{Cause, Note, ServerChange};
use crate::l4::policy::Mechanism;
use crate::l4::server::{Heard, Heartbeat, Incarnation};

/// A backend server that left all openings unanswered for so long takes no more: it answers within a
/// millisecond, and the client's first copy, 200 ms after the opening, can then go elsewhere.
const UNRESPONSIVE_MS: u64 = 150;

/// A flow whose backend server has sent something within this time was not cut off by a restart that
/// a heartbeat tells of now: the heartbeat of a new incarnation comes with its start.
const ALIVE_MS: u64 = 1_000;

/// An agent that has heard nothing for so long stands beside no server, in percent of the pause
/// between two heartbeats: one and a half, because a server that runs sends its next one within one.
const UNHEARD_PERCENT: u64 = 150;

impl Agent {
    pub(super) fn heartbeat(&mut self, now: Time, beat: &Heartbeat) -> Vec<Action> {
        let was_contested = self.beside.is_contested();
        let heard = self.beside.heartbeat(now, beat);
        let mut actions = Vec::new();
        match heard {
            Heard::Stale => return actions,
            Heard::Contested => {
                actions.push(self.changed(ServerChange::Contested));
                actions.extend(self.announce(now));
                return actions;
            }
            Heard::Same => {}
            Heard::Draining => actions.push(self.changed(ServerChange::Draining)),
            Heard::First => actions.push(self.changed(ServerChange::Started)),
            Heard::Replaced => {
                self.record.clear();
                self.meter.clear();
                let ended = self.table.take_silent(now, ALIVE_MS);
                for (flow, held) in ended {
                    actions.extend(reset(flow, held.client_ack, Cause::ServerRestarted));
                }
                actions.push(self.changed(ServerChange::Started));
            }
        }
        actions.extend(self.tell_lost(now));
        // A server that sends heartbeats is worth another try.
        self.unanswered_since = None;
        self.deserted = false;
        actions.extend(self.responsive(now));
        if heard != Heard::Same || was_contested {
            actions.extend(self.announce(now));
        }
        actions
    }

    /// Tells the clients of flows that went with the host. A flow that was opened anew meanwhile, from
    /// the same port, is left alone.
    pub(super) fn tell_lost(&mut self, now: Time) -> Vec<Action> {
        let Some(server) = self.beside.server() else {
            return Vec::new();
        };
        if !self.uses(Mechanism::FlowLists) {
            return Vec::new();
        }
        let lost = self.keeper.take_lost(now, server);
        let lost = lost.into_iter().filter(|(flow, _)| self.table.get(flow).is_none());
        lost.flat_map(|(flow, ack)| reset(flow, ack, Cause::HostRestarted)).collect()
    }

    pub(super) fn deregistered(&mut self, now: Time, leaving: &Incarnation) -> Vec<Action> {
        if !self.beside.deregistered(leaving) {
            return Vec::new();
        }
        let (id, change) = (Arc::clone(&leaving.id), ServerChange::Ended);
        let mut actions = vec![Action::Note(Note::Server { id, change })];
        actions.extend(self.announce(now));
        actions
    }

    /// Whether every flow that the backend server holds passed this process: it saw the server's
    /// first heartbeat, or has run for longer than a flow lives. Without a server there are no flows,
    /// once one would have sent a heartbeat or answered a packet: a process that has just started may
    /// stand beside a server that holds flows since before.
    pub(super) fn is_certain(&self, now: Time) -> bool {
        let age_ms = now.since(self.started);
        match self.beside.server() {
            Some(server) => server.seen_from_start || age_ms > FORGET_MS,
            None => {
                let limit_ms = self.identity.heartbeat_ms * UNHEARD_PERCENT / 100;
                self.deserted || self.beside.has_ended() || age_ms > limit_ms
            }
        }
    }

    /// Notices a backend server that stopped answering, first to spare it new flows, and once its
    /// heartbeats are missing too, to tell its clients: they would wait for their own timeouts.
    pub(super) fn judge_server(&mut self, now: Time) -> Vec<Action> {
        let Some(since) = self.unanswered_since else {
            return Vec::new();
        };
        let mut actions = Vec::new();
        let is_spared = self.uses(Mechanism::Unresponsive);
        if is_spared && !self.unresponsive && now.since(since) > UNRESPONSIVE_MS {
            self.unresponsive = true;
            actions.push(self.changed(ServerChange::Unresponsive));
            actions.extend(self.announce(now));
        }
        if self.unresponsive && self.beside.is_overdue(now) {
            let ended = self.table.take_silent(now, ALIVE_MS);
            if !ended.is_empty() {
                actions.push(self.changed(ServerChange::Dead));
            }
            for (flow, held) in ended {
                actions.extend(reset(flow, held.client_ack, Cause::ServerDead));
            }
        }
        actions
    }

    /// Notices a server that takes requests and never answers: it gets no new flows for a while, and clients
    /// whose requests may run again are told, so that they come back while there is time.
    ///
    /// Guards against clients that wait in silence until their deadline on an open flow, which cannot be
    /// moved. What must run once is left where it is: it may be running.
    pub(super) fn notice_mute(&mut self, now: Time) -> Vec<Action> {
        let outstanding = self.table.outstanding();
        let limit = self.mute.look(now, outstanding, self.pace.upper_us());
        let Some(limit) = limit.filter(|_| self.uses(Mechanism::Mute)) else {
            return Vec::new();
        };
        let mut actions = Vec::new();
        if self.record.spare(now) {
            actions.push(self.changed(ServerChange::Mute));
            actions.extend(self.announce(now));
        }
        for (flow, held) in self.table.take_stuck(limit) {
            actions.extend(reset(flow, held.client_ack, Cause::ServerMute));
        }
        for waiting in self.waiting.take_all() {
            actions.extend(self.give_up(now, &waiting, Cause::ServerMute));
        }
        actions
    }

    /// Notices that no server stands beside this process, and says so to who asked. Guards against
    /// clients of lost flows that wait for seconds for the answer of a host without a server.
    pub(super) fn notice_absence(&mut self, now: Time) -> Vec<Action> {
        if self.beside.server().is_some() {
            return Vec::new();
        }
        let unanswered = self.probes.take_unanswered(now);
        self.deserted |= !unanswered.is_empty();
        let load = self.load();
        let absent = |(flow, from)| Action::Send(from, Message::Absent { flow, load });
        unanswered.into_iter().map(absent).collect()
    }

    pub(super) fn responsive(&mut self, now: Time) -> Vec<Action> {
        if !self.unresponsive {
            return Vec::new();
        }
        self.unresponsive = false;
        let mut actions = vec![self.changed(ServerChange::Responsive)];
        actions.extend(self.announce(now));
        actions
    }

    pub(super) fn changed(&self, change: ServerChange) -> Action {
        let id = self
            .beside
            .server()
            .map_or_else(|| "".into(), |server| Arc::clone(&server.incarnation.id));
        Action::Note(Note::Server { id, change })
    }
}
