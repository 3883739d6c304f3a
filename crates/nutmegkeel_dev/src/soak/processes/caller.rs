//! One client of a run: a long flow and short ones by turns, or many short ones at once.

use std::net::Ipv4Addr;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use nutmegkeel_standin::client::{Client, OpenFlow, Outcome};
use nutmegkeel_standin::host::TIMEOUT_MS;

use super::load::Load;
use super::truth::{Seen, Truth};

/// Pause of a client between two rounds: four clients then send some hundred requests a second, and
/// leave the processor to the processes under test.
const BREATH: Duration = Duration::from_millis(10);

/// First port of a client.
const FIRST_PORT: u16 = 30_000;

/// The second request on a short flow is only begun: its flow is left with it on its way.
const BEGUN: Duration = Duration::from_millis(50);

/// Time for an answer in a run without load of its own.
const PATIENCE: Duration = Duration::from_secs(2);

/// Time for a final answer: the deadline of the route, and some for a busy host.
const FINAL: Duration = Duration::from_millis(TIMEOUT_MS + 250);

/// Flows that a client of usual demand has at once in a burst: four of them fill the slots of three servers
/// twice.
const BURST_FLOWS: u16 = 8;

/// Flows that the heavy caller has at once, where others have two.
const HEAVY_FLOWS: u16 = 24;

/// How much a client asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Demand {
    /// A flow at a time, with pauses, but for bursts.
    Usual,
    /// Many flows at once without a pause, while the run wants a heavy caller.
    Heavy,
}

/// A client at work.
pub(super) struct Caller {
    client: Client,
    balancers: Vec<Ipv4Addr>,
    truth: Arc<Truth>,
    load: Arc<Load>,
    demand: Demand,
    next_port: u16,
}

/// A flow that a caller keeps.
struct Long {
    open: OpenFlow,
    port: u16,
    holder: String,
}

impl Caller {
    pub(super) fn open(
        client: Client,
        balancers: Vec<Ipv4Addr>,
        truth: Arc<Truth>,
        load: Arc<Load>,
        demand: Demand,
    ) -> Self {
        truth.expect(client.address());
        Self { client, balancers, truth, load, demand, next_port: FIRST_PORT }
    }

    pub(super) fn call(mut self) {
        let mut long = None;
        let mut turn = 0_usize;
        while !self.load.is_over() {
            turn += 1;
            self.balancers.rotate_left(1);
            let usual_port = 443 + u16::from(turn.is_multiple_of(3));
            match (self.demand, self.load.burst()) {
                (Demand::Heavy, _) if !self.load.is_heavy() => thread::sleep(BREATH),
                (Demand::Heavy, burst) => {
                    self.ask_at_once(HEAVY_FLOWS, burst.unwrap_or(usual_port));
                }
                (Demand::Usual, Some(port)) => self.ask_at_once(BURST_FLOWS, port),
                (Demand::Usual, None) => {
                    thread::sleep(BREATH);
                    long = self.round(usual_port, long);
                }
            }
        }
    }

    /// Opens a short flow and uses the long one; returns the long one if it is still good.
    fn round(&mut self, port: u16, long: Option<Long>) -> Option<Long> {
        let Some((mut open, holder)) = self.open_and_ask(port) else { return long };
        let Some(mut kept) = long else { return Some(Long { open, port, holder }) };
        self.client.request(&mut open, &self.balancers, BEGUN);
        if self.load.is_varied() {
            self.client.close(&open, self.balancers[0]);
        }
        self.use_long(&mut kept).then_some(kept)
    }

    fn open_and_ask(&mut self, port: u16) -> Option<(OpenFlow, String)> {
        let from_port = self.take_ports(1);
        let sent = Instant::now();
        let opened = self.client.open(from_port, port, &self.balancers);
        let asked = opened.map(|mut open| {
            (self.client.request(&mut open, &self.balancers, self.patience()), open)
        });
        match asked {
            Ok((Outcome::Answered(id), open)) => {
                self.truth.answered(self.client.address(), port, &id, sent);
                Some((open, id))
            }
            Ok((outcome, _)) | Err(outcome) => {
                self.lost(port, sent, &outcome);
                None
            }
        }
    }

    /// Opens so many flows at the same time and sends a request on each. A caller who got nothing pauses:
    /// where no route is in force, refusals come at once, and asking on would only keep the processor busy.
    fn ask_at_once(&mut self, flows: u16, port: u16) {
        let first = self.take_ports(flows);
        let sent = Instant::now();
        let ports = first..first + flows;
        let mut is_served = false;
        for outcome in self.client.request_concurrently(ports, port, &self.balancers, FINAL) {
            match outcome {
                Outcome::Answered(id) => {
                    is_served = true;
                    self.truth.answered(self.client.address(), port, &id, sent);
                }
                lost => self.lost(port, sent, &lost),
            }
        }
        if !is_served {
            thread::sleep(BREATH);
        }
    }

    /// Sends a request on the long flow; true if the flow is still good.
    fn use_long(&self, long: &mut Long) -> bool {
        let (port, holder) = (long.port, long.holder.as_str());
        let sent = Instant::now();
        match self.client.request(&mut long.open, &self.balancers, self.patience()) {
            Outcome::Answered(id) => {
                self.truth.judge(&Seen::Long { port, holder, answered_by: Some(&id) });
                true
            }
            Outcome::Reset => {
                self.truth.judge(&Seen::Long { port, holder, answered_by: None });
                false
            }
            Outcome::Silence => {
                self.lost(port, sent, &Outcome::Silence);
                true
            }
        }
    }

    /// A request was not answered: it was refused, or nothing came.
    fn lost(&self, port: u16, sent: Instant, outcome: &Outcome) {
        if self.load.is_varied() && *outcome == Outcome::Silence {
            self.truth.silent(port, sent);
        } else {
            self.truth.unanswered();
        }
    }

    fn patience(&self) -> Duration {
        if self.load.is_varied() { FINAL } else { PATIENCE }
    }

    fn take_ports(&mut self, count: u16) -> u16 {
        let is_left = self.next_port.checked_add(2 * count).is_some();
        let first = if is_left { self.next_port } else { FIRST_PORT };
        self.next_port = first + count;
        first
    }
}
