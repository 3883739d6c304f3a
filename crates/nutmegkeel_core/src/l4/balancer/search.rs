//! Finds the agent of a flow that this balancer does not know.

use std::net::Ipv4Addr;

use super::{Action, Balancer};
use crate::clock::Time;
use crate::l4::cache::{Entry, Place};
use crate::l4::decision::{Cause, Decision};
use crate::l4::flow::{Flow, Head};
use crate::l4::health::Health;
use crate::l4::message::{Load, Message, Reason};

/// How likely an agent holds a flow and answers a query, the best first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Standing {
    /// It is there, and has not denied the flow.
    Present,
    /// It is out of reach.
    Away,
    /// It has ended, and its successor has not been heard yet.
    Replaced,
    /// It has denied the flow in an earlier search.
    Denied,
}

impl Balancer {
    /// Continues a search while no packet of the flow is available.
    pub(super) fn continue_search(&mut self, now: Time, flow: Flow) -> Vec<Action> {
        if !self.may_search(now, &flow) {
            return Vec::new();
        }
        let entry = self.cache.entry(now, flow);
        let is_asked = matches!(entry.place, Some(Place::Asked(_)));
        if entry.awaits_answers(now) || (is_asked && !entry.is_overdue(now)) {
            return Vec::new();
        }
        if entry.is_overdue(now) {
            self.skip_overdue(now, flow);
        }
        self.skip_unanswered(now, flow);
        if self.cache.entry(now, flow).is_stale(now) {
            self.cache.entry(now, flow).restart(now);
        }
        let asking = self.ask_next(now, flow);
        if !asking.is_empty() {
            return asking;
        }
        if !self.is_held_nowhere(now, flow) {
            return Vec::new();
        }
        let entry = self.cache.entry(now, flow);
        let (seq, asked) = (entry.client_ack, entry.declined.len());
        self.cache.mark_decided(&flow);
        self.reset_flow(flow, seq, self.cause_of_loss(now, &flow), asked)
    }

    /// Asks the remaining agents without a packet. Returns nothing if there are none.
    fn ask_next(&mut self, now: Time, flow: Flow) -> Vec<Action> {
        let many = self.ask_many(now, flow);
        if !many.is_empty() {
            return many;
        }
        if let Some(call) = self.recall_packet(now, flow) {
            return vec![call];
        }
        let next = self.next_to_ask(now, flow).or_else(|| self.next_to_retry(now, flow));
        let ask = |agent| match self.pool.detour(now, agent) {
            Some(_) => Action::RecallFlow(flow),
            None => Action::Send(agent, Message::Locate { flow }),
        };
        next.map(ask).into_iter().collect()
    }

    /// Returns whether every agent that may hold the flow has reported that it does not, or is
    /// stopped and the client has waited long enough for it. Always false without a configuration:
    /// nothing could be offered to the client in place of its flow, and this process started too
    /// recently to know all agents.
    fn is_held_nowhere(&mut self, now: Time, flow: Flow) -> bool {
        let is_impatient = self.is_impatient(now, &flow);
        if self.table.version == 0 || !self.knows_all_holders(now) {
            return false;
        }
        if self.pool.has_stopped(now) && !is_impatient {
            return false;
        }
        let entry = self.cache.entry(now, flow);
        let may_answer = |agent: &Ipv4Addr| match self.pool.health(now, *agent) {
            Some(Health::Stopped) => false,
            _ => self.pool.may_hold(now, *agent),
        };
        !entry.declined.is_empty() && !entry.unanswered.keys().any(may_answer)
    }

    /// Returns why a flow is reset that no agent which answered holds.
    fn cause_of_loss(&self, now: Time, flow: &Flow) -> Cause {
        if self.has_no_route(flow) {
            Cause::NoRoute
        } else if self.pool.has_stopped(now) {
            Cause::AgentStopped
        } else {
            Cause::NotHeld
        }
    }

    /// Returns an agent that was skipped and may answer now. Guards against a client that waits for
    /// the next whole search because a single agent could not decide when it was asked.
    fn next_to_retry(&mut self, now: Time, flow: Flow) -> Option<Ipv4Addr> {
        let entry = self.cache.entry(now, flow);
        if !entry.may_retry(now) {
            return None;
        }
        let fresh = |agent: &&Ipv4Addr| self.pool.health(now, **agent) == Some(Health::Fresh);
        let agent = *entry.unanswered.keys().find(fresh)?;
        entry.ask(now, agent);
        self.record_queries(&flow, 1);
        Some(agent)
    }

    pub(super) fn absent(
        &mut self,
        now: Time,
        from: Ipv4Addr,
        flow: Flow,
        load: Load,
    ) -> Vec<Action> {
        self.pool.load_received(now, from, load);
        let entry = self.cache.entry(now, flow);
        entry.unanswered.remove(&from);
        entry.record_denied(now, from);
        let was_queried = entry.queried.remove(&from);
        let was_asked = entry.place == Some(Place::Asked(from));
        if !was_queried && !was_asked {
            return Vec::new();
        }
        record_declined(entry, from, Reason::NotHeld);
        if was_asked {
            entry.place = None;
            let after_ms = now.since(entry.asked_at);
            self.learn_answer_time(after_ms);
        }
        if self.cache.entry(now, flow).queried.is_empty() {
            self.continue_search(now, flow)
        } else {
            Vec::new()
        }
    }

    pub(super) fn carry(&mut self, now: Time, head: &Head) -> Vec<Action> {
        self.cache.mark_decided(&head.flow);
        let entry = self.cache.entry(now, head.flow);
        entry.record_client(now, head);
        if entry.is_stale(now) {
            entry.restart(now);
        }
        if entry.is_overdue(now) {
            self.skip_overdue(now, head.flow);
        }
        match self.cache.entry(now, head.flow).place.clone() {
            Some(Place::Asked(agent)) => self.carry_to(now, head, agent, false),
            Some(Place::Placed(agent)) => self.carry_known(now, head, agent, false),
            Some(Place::Held(agent)) => self.carry_known(now, head, agent, true),
            None => self.search(now, head),
        }
    }

    /// Forwards a packet to the agent that holds its flow, or that its opening was sent to. The
    /// latter must confirm that it holds the flow, because a copy of the opening may have opened it
    /// at another agent by way of another balancer.
    fn carry_known(
        &mut self,
        now: Time,
        head: &Head,
        agent: Ipv4Addr,
        is_held: bool,
    ) -> Vec<Action> {
        if self.pool.is_being_replaced(now, agent) {
            return self.keep(head, Cause::Undecided);
        }
        let goes_there = match self.pool.health(now, agent) {
            Some(Health::Fresh | Health::Late | Health::Restarting) => true,
            Some(Health::Silent) if is_held && !self.pool.is_cut_off(now) => {
                self.cache.remove(&head.flow);
                return self.reset(head, Cause::AgentDead, 0);
            }
            Some(Health::Stopped | Health::Unreachable | Health::Silent) => is_held,
            None => false,
        };
        if goes_there {
            return self.carry_to(now, head, agent, is_held);
        }
        self.cache.entry(now, head.flow).restart(now);
        self.search(now, head)
    }

    pub(super) fn search(&mut self, now: Time, head: &Head) -> Vec<Action> {
        if self.cache.entry(now, head.flow).awaits_answers(now) {
            return self.wait_for_answers(now, head);
        }
        self.skip_unanswered(now, head.flow);
        if self.has_no_route(&head.flow) || self.has_asked_likely(now, head.flow) {
            let mut many = self.ask_many(now, head.flow);
            if !many.is_empty() {
                many.extend(self.wait_for_answers(now, head));
                return many;
            }
        }
        match self.next_for_packet(now, head.flow) {
            Some(agent) => self.carry_to(now, head, agent, false),
            None => self.not_found(now, head),
        }
    }

    fn wait_for_answers(&mut self, now: Time, head: &Head) -> Vec<Action> {
        self.cache.mark_undecided(now, head.flow);
        self.keep(head, self.cause_of_wait(&head.flow))
    }

    /// Returns whether the few agents that the flow's opening was probably offered to have been
    /// asked.
    fn has_asked_likely(&mut self, now: Time, flow: Flow) -> bool {
        let services = self.services(&flow);
        let first = self.pool.search_first(flow.key(), &services, &self.identity.domain);
        self.first_unasked(now, flow, first).is_none()
    }

    /// Returns the next agent to ask for a flow with its packet; `None` if the packet is to be kept
    /// until an agent that is being replaced is back, or if no agent is left.
    ///
    /// Guards against packets that reach server after server while the flow's own agent restarts.
    /// An agent that has just started passes them to its server, so one that has denied the flow
    /// does not get them again.
    fn next_for_packet(&mut self, now: Time, flow: Flow) -> Option<Ipv4Addr> {
        let (standing, agent) = self.next_unasked(now, flow)?;
        if standing >= Standing::Replaced {
            return None;
        }
        self.record_queries(&flow, 1);
        self.cache.entry(now, flow).ask(now, agent);
        Some(agent)
    }

    /// Returns the next agent to ask for a flow without its packet.
    fn next_to_ask(&mut self, now: Time, flow: Flow) -> Option<Ipv4Addr> {
        let (standing, agent) = self.next_unasked(now, flow)?;
        if standing == Standing::Replaced {
            return None;
        }
        self.record_queries(&flow, 1);
        self.cache.entry(now, flow).ask(now, agent);
        Some(agent)
    }

    /// Returns the next agent to ask for a flow, usually one of the few that its opening was offered
    /// to. One that is away is asked late: if all others are ruled out first, it must be the one
    /// that holds the flow. One that has denied the flow in an earlier search is asked last.
    fn next_unasked(&mut self, now: Time, flow: Flow) -> Option<(Standing, Ipv4Addr)> {
        let services = self.services(&flow);
        let first = self.pool.search_first(flow.key(), &services, &self.identity.domain);
        let first = self.first_unasked(now, flow, first);
        if let Some((Standing::Present, _)) = first {
            return first;
        }
        let all = self.pool.search(flow.key(), &services, &self.identity.domain);
        self.first_unasked(now, flow, all)
    }

    /// Returns the first of these agents that may hold a flow and has not denied it in this search.
    fn first_unasked(
        &mut self,
        now: Time,
        flow: Flow,
        agents: Vec<Ipv4Addr>,
    ) -> Option<(Standing, Ipv4Addr)> {
        let entry = self.cache.entry(now, flow);
        // An agent that refused the opening may have accepted a later copy of it, so only an answer
        // to this query counts. One that gave none is asked again as soon as a new process runs.
        let was_asked = |agent: &Ipv4Addr| {
            let has_returned = |skipped_at: &Time| self.pool.has_appeared(*agent, *skipped_at);
            entry.declined.contains(&(*agent, Reason::NotHeld))
                && !entry.unanswered.get(agent).is_some_and(has_returned)
        };
        let standing = |agent: Ipv4Addr| {
            let health = self.pool.health(now, agent)?;
            Some(if entry.was_denied_by(now, agent) {
                Standing::Denied
            } else if self.pool.is_being_replaced(now, agent) {
                Standing::Replaced
            } else if health.is_away() {
                Standing::Away
            } else {
                Standing::Present
            })
        };
        agents
            .into_iter()
            .filter(|agent| !was_asked(agent) && self.pool.may_hold(now, *agent))
            .filter_map(|agent| Some((standing(agent)?, agent)))
            .min_by_key(|(standing, _)| *standing)
    }

    /// Skips an agent that has not answered: it may be dead, and another may hold the flow.
    fn skip_overdue(&mut self, now: Time, flow: Flow) {
        let entry = self.cache.entry(now, flow);
        if let Some(place) = entry.place.take() {
            record_unanswered(now, entry, place.agent());
        }
    }

    fn not_found(&mut self, now: Time, head: &Head) -> Vec<Action> {
        if self.is_held_nowhere(now, head.flow) {
            let asked = self.cache.entry(now, head.flow).declined.len();
            self.reset(head, self.cause_of_loss(now, &head.flow), asked)
        } else {
            self.wait_for_answers(now, head)
        }
    }

    pub(super) fn holds(
        &mut self,
        now: Time,
        from: Ipv4Addr,
        flow: Flow,
        load: Load,
    ) -> Vec<Action> {
        self.pool.load_received(now, from, load);
        let entry = self.cache.entry(now, flow);
        let is_new = entry.place != Some(Place::Held(from));
        let asked = entry.declined.len();
        entry.record_held(from);
        self.cache.mark_decided(&flow);
        if !is_new {
            return Vec::new();
        }
        vec![Action::RecallFlow(flow), Action::Log(Decision::Found { flow, agent: from, asked })]
    }
}

/// Records that an agent was skipped: it may hold the flow.
pub(super) fn record_unanswered(now: Time, entry: &mut Entry, agent: Ipv4Addr) {
    record_declined(entry, agent, Reason::NotHeld);
    entry.unanswered.insert(agent, now);
}

pub(super) fn record_declined(entry: &mut Entry, agent: Ipv4Addr, reason: Reason) {
    if let Some(known) = entry.declined.iter_mut().find(|(known, _)| *known == agent) {
        known.1 = reason;
    } else {
        entry.declined.push((agent, reason));
    }
}
