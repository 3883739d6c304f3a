//! Simulates some seconds of overload.

use std::collections::BTreeMap;

use nutmegkeel_core::l4::agent::{Action, Agent, Event};
use nutmegkeel_core::l4::flow::{Flow, Head};
use nutmegkeel_core::l4::message::{Admission, Demand, Offer};

use crate::backend::{COLD_UNTIL_MS, Server};
use crate::fixture::{
    BALANCER, accepted, agent, at, data, demand, flow, heartbeat, offer, opening,
};

/// Time within which an answer is in time, in milliseconds.
const OBJECTIVE_MS: u64 = 400;

/// Number of flows, and interval between two requests of one: 60 requests per second, of which a
/// cold server answers 42 and a warm one 67.
const FLOWS: u16 = 60;
const REQUEST_INTERVAL_MS: u64 = 1_000;

fn demand_with_objective(once: bool) -> Demand {
    let objective_ms = u32::try_from(OBJECTIVE_MS).expect("a short time");
    Demand { objective_ms, ..demand(once) }
}

/// A simulation of an agent, its server and the requests on each flow.
struct Simulation {
    agent: Agent,
    server: Server,
    kept: BTreeMap<Flow, Head>,
    sent_at: BTreeMap<Flow, u64>,
    answers_ms: Vec<(u64, u64)>,
}

impl Simulation {
    fn open(demand: Demand) -> Self {
        let mut agent = agent();
        agent.handle(at(0), Event::Recovered(None));
        agent.handle(at(0), Event::Heartbeat(heartbeat("a", 1)));
        for port in 1..=FLOWS {
            let offer = Offer { admission: Admission::IfIdle, ..offer(demand) };
            let event = Event::Open { from: BALANCER, head: opening(flow(port), 0), offer };
            agent.handle(at(0), event);
            agent.handle(at(0), Event::FromServer(accepted(flow(port), 500)));
        }
        let (server, kept, sent_at) = (Server::default(), BTreeMap::new(), BTreeMap::new());
        Self { agent, server, kept, sent_at, answers_ms: Vec::new() }
    }

    fn handle(&mut self, now: u64, event: Event, packet: Option<Head>) {
        for action in self.agent.handle(at(now), event) {
            match action {
                Action::Keep(head) => drop(self.kept.insert(head.flow, head)),
                Action::Release(flow) => self.server.queue.extend(self.kept.remove(&flow)),
                Action::Forget(flow) => drop(self.kept.remove(&flow)),
                Action::ToServer(_) => self.server.queue.extend(packet),
                _ => {}
            }
        }
    }

    /// Runs the simulation. Each flow sends a request every second, whatever became of the one
    /// before.
    fn run(&mut self, until_ms: u64) {
        for now in 400..until_ms {
            for port in 1..=FLOWS {
                let phase = u64::from(port) * REQUEST_INTERVAL_MS / u64::from(FLOWS);
                if now % REQUEST_INTERVAL_MS == phase {
                    let round =
                        u32::try_from(now / REQUEST_INTERVAL_MS).expect("a short simulation");
                    let head = data(flow(port), 1_001 + 100 * round, 501);
                    self.sent_at.insert(flow(port), now);
                    let event = Event::Carry { from: BALANCER, head, known: true };
                    self.handle(now, event, Some(head));
                }
            }
            for done in self.server.step(now) {
                let sent_at = self.sent_at.get(&done.flow).copied().unwrap_or_default();
                self.answers_ms.push((sent_at, now - sent_at));
                let answer = Head { len: 200, ..done };
                self.handle(now, Event::FromServer(answer), None);
            }
            if now % 100 == 0 {
                self.handle(now, Event::Tick, None);
            }
        }
    }

    /// Returns the number of requests that were sent while the server was cold and answered in
    /// time.
    fn in_time_while_cold(&self) -> usize {
        let in_time =
            |(sent_at, took_ms): &&(u64, u64)| *sent_at < COLD_UNTIL_MS && *took_ms <= OBJECTIVE_MS;
        self.answers_ms.iter().filter(in_time).count()
    }
}

/// Guards against late answers on all open flows while the server is cold and gets two fifths more
/// requests than it can answer. In the server's own queue most are late; at the agent, with the
/// newest first, most are in time.
#[test]
fn requests_on_open_flows_are_in_time_while_servers_are_cold() {
    let mut at_agent = Simulation::open(demand_with_objective(false));
    let mut at_server = Simulation::open(demand_with_objective(true));

    at_agent.run(4_000);
    at_server.run(4_000);

    let (with, without) = (at_agent.in_time_while_cold(), at_server.in_time_while_cold());
    println!(
        "answered in time, of 96: {with} with the agent's queue, {without} with the server's queue"
    );
    assert!(with > without, "{with} {without}");
    assert!(with >= 60, "{with}");
}
