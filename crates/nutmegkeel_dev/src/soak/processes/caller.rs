//! Client of a soak run: alternates between a long flow and short ones, or opens many at once.

use std::collections::VecDeque;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use nutmegkeel_standin::client::{Client, OpenFlow, Outcome, RETRANSMIT_INTERVAL, Timing};
use nutmegkeel_standin::host::TIMEOUT_MS;

use super::checker::Checker;
use super::load::Load;
use super::resets::Reset;

/// Pause of a client between two rounds. Four clients then send a few hundred requests a second and
/// leave processor time to the processes under test.
const ROUND_PAUSE: Duration = Duration::from_millis(10);

/// First port of a client.
const FIRST_PORT: u16 = 30_000;

/// Time limit for the second request on a short flow. The client then leaves the flow, even with the
/// request still in progress.
const ABANDON_AFTER: Duration = Duration::from_millis(50);

/// Time limit for an answer in a run without load faults.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// Time limit for a final answer: the deadline of the route plus a margin for a busy host.
const FINAL_ANSWER_TIMEOUT: Duration = Duration::from_millis(TIMEOUT_MS + 250);

/// Concurrent flows of a usual client in a burst; four clients fill the slots of three servers
/// twice.
const BURST_FLOWS: u16 = 8;

/// Concurrent flows of the heavy caller, where other clients have two.
const HEAVY_FLOWS: u16 = 24;

/// Number of flows that a client keeps open and uses in turn.
const LONG_FLOWS: usize = 3;

/// Load that a client generates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Demand {
    /// One short flow at a time with pauses, except in bursts.
    Usual,
    /// Many flows at once without a pause, while the heavy caller is active.
    Heavy,
}

/// A running client.
pub(super) struct Caller {
    client: Client,
    balancers: Vec<Ipv4Addr>,
    checker: Arc<Checker>,
    load: Arc<Load>,
    demand: Demand,
    /// Time for which it holds back the first request on a flow of a burst.
    hold: Duration,
    next_port: u16,
    /// Flows that the client keeps open, the next to be used first.
    long: VecDeque<LongFlow>,
}

/// A flow that a client keeps open.
struct LongFlow {
    open: OpenFlow,
    port: u16,
    holder: String,
}

impl Caller {
    pub(super) fn open(
        client: Client,
        balancers: Vec<Ipv4Addr>,
        checker: Arc<Checker>,
        load: Arc<Load>,
        demand: Demand,
        hold: Duration,
    ) -> Self {
        checker.expect_answer(client.address());
        let (next_port, long) = (FIRST_PORT, VecDeque::new());
        Self { client, balancers, checker, load, demand, hold, next_port, long }
    }

    pub(super) fn run(mut self) {
        let mut turn = 0_usize;
        while !self.load.is_over() {
            turn += 1;
            self.balancers.rotate_left(1);
            let usual_port = 443 + u16::from(turn.is_multiple_of(3));
            match (self.demand, self.load.burst()) {
                (Demand::Heavy, _) if !self.load.has_heavy_caller() => thread::sleep(ROUND_PAUSE),
                (Demand::Heavy, burst) => {
                    self.request_concurrently(HEAVY_FLOWS, burst.unwrap_or(usual_port));
                }
                (Demand::Usual, Some(port)) => self.request_concurrently(BURST_FLOWS, port),
                (Demand::Usual, None) => {
                    thread::sleep(ROUND_PAUSE);
                    self.round(usual_port);
                }
            }
        }
    }

    /// Opens a short flow and uses the next long one. A short flow becomes a long one while there
    /// are too few.
    fn round(&mut self, port: u16) {
        let Some((mut open, holder)) = self.open_and_request(port) else { return };
        if self.long.len() < LONG_FLOWS {
            self.long.push_back(LongFlow { open, port, holder });
            return;
        }
        self.client.request(&mut open, &self.balancers, ABANDON_AFTER);
        if self.load.is_varied() {
            self.client.close(&open, self.balancers[0]);
        }
        if let Some(mut next) = self.long.pop_front()
            && self.request_on_long_flow(&mut next)
        {
            self.long.push_back(next);
        }
    }

    fn open_and_request(&mut self, port: u16) -> Option<(OpenFlow, String)> {
        let from_port = self.allocate_ports(1);
        let sent = Instant::now();
        let opened = self.client.open(from_port, port, &self.balancers);
        let asked = opened.map(|mut open| {
            (self.client.request(&mut open, &self.balancers, self.timeout()), open)
        });
        match asked {
            Ok((Outcome::Answered(id), open)) => {
                self.checker.record_answer(self.client.address(), port, &id, sent);
                Some((open, id))
            }
            Ok((outcome, _)) | Err(outcome) => {
                self.record_unanswered(from_port, port, sent, &outcome);
                None
            }
        }
    }

    /// Opens `flows` flows at the same time and sends a request on each.
    ///
    /// Pauses if no request was answered: without a route in force refusals come at once, and an
    /// immediate retry would only use processor time.
    fn request_concurrently(&mut self, flows: u16, port: u16) {
        let first = self.allocate_ports(flows);
        let sent = Instant::now();
        let ports = first..first + flows;
        let mut is_served = false;
        let outcomes = self.client.request_concurrently(
            ports.clone(),
            port,
            &self.balancers,
            &Timing { hold: self.hold, within: FINAL_ANSWER_TIMEOUT },
        );
        for (from_port, outcome) in ports.zip(outcomes) {
            match outcome {
                Outcome::Answered(id) => {
                    is_served = true;
                    self.checker.record_answer(self.client.address(), port, &id, sent);
                }
                lost => self.record_unanswered(from_port, port, sent, &lost),
            }
        }
        if !is_served {
            thread::sleep(ROUND_PAUSE);
        }
    }

    /// Sends a request on a long flow; returns whether the flow is still usable.
    fn request_on_long_flow(&self, long: &mut LongFlow) -> bool {
        let sent = Instant::now();
        match self.client.request(&mut long.open, &self.balancers, self.timeout()) {
            Outcome::Answered(id) => {
                self.checker.check_answer(&long.holder, &id);
                true
            }
            Outcome::Reset => {
                let copies = sent.elapsed().as_millis() / RETRANSMIT_INTERVAL.as_millis();
                let packets = usize::try_from(copies).unwrap_or(usize::MAX).saturating_add(1);
                self.checker.check_reset(&Reset {
                    at: Instant::now(),
                    flow: long.open.flow().to_string(),
                    port: long.port,
                    holder: long.holder.clone(),
                    through: self.balancers.iter().take(packets).copied().collect(),
                });
                false
            }
            Outcome::Silence => {
                let from_port = long.open.flow().client.port();
                self.checker.check_silence(&long.holder, &self.balancers, sent);
                self.record_unanswered(from_port, long.port, sent, &Outcome::Silence);
                true
            }
        }
    }

    /// Records a request that was refused or got no answer.
    fn record_unanswered(&self, from_port: u16, port: u16, sent: Instant, outcome: &Outcome) {
        if self.load.is_varied() && *outcome == Outcome::Silence {
            let client = SocketAddrV4::new(self.client.address(), from_port);
            self.checker.record_timeout(client, port, sent);
        } else {
            self.checker.record_unanswered();
        }
    }

    fn timeout(&self) -> Duration {
        if self.load.is_varied() { FINAL_ANSWER_TIMEOUT } else { ANSWER_TIMEOUT }
    }

    /// Allocates consecutive ports, none of which belongs to a flow that is kept open: the end of a
    /// short flow would end that flow.
    fn allocate_ports(&mut self, count: u16) -> u16 {
        loop {
            let are_left = self.next_port.checked_add(2 * count).is_some();
            let first = if are_left { self.next_port } else { FIRST_PORT };
            self.next_port = first + count;
            let ports = first..self.next_port;
            if !self.long.iter().any(|long| ports.contains(&long.open.flow().client.port())) {
                return first;
            }
        }
    }
}
