//! Backend servers of one service, their speed meters and the balancers' pools, in virtual time.

use std::collections::{BTreeMap, BTreeSet};

use nutmegkeel_core::l4::message::{Announcement, Load, State};
use nutmegkeel_core::l4::placement::{Need, Pool, Verdict};
use nutmegkeel_core::l4::route::Kind;
use nutmegkeel_core::l4::speed::Meter;
use nutmegkeel_core::placement::Key;

use crate::fixture::{announcement, at, default_service, host};

const SLOTS: usize = 3;
const OBJECTIVE_MS: u64 = 400;
const REQUESTS: u8 = 3;
pub(crate) const SERVERS: u8 = 52;
/// Half of the servers' capacity.
const FLOWS_PER_S: u64 = 420;
const DOMAINS: [&str; 4] = ["osu", "tema", "ho", "wa"];
const REPORT_MS: u64 = 300;
const REVIEW_MS: u64 = 50;

/// Pseudo-random numbers from a seed.
pub(crate) struct Random(pub(crate) u64);

impl Random {
    pub(crate) fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    pub(crate) fn below(&mut self, most: u64) -> u64 {
        self.next() % most
    }

    /// Draws the work of a request of one of two classes, with means of 47 and 61 ms. Three percent
    /// of the requests take seven times as long.
    pub(crate) fn work_ms(&mut self) -> u64 {
        let class_ms = if self.below(9) < 7 { 47 } else { 61 };
        let tail = if self.below(100) < 3 { 7 } else { 1 };
        class_ms * tail * (70 + self.below(61)) / 100
    }

    /// Draws the work of a request from an exponential distribution with a mean of 59 ms, the
    /// widest that servers usually have.
    pub(crate) fn broad_work_ms(&mut self) -> u64 {
        let point = (self.below(1_000_000) + 1) as f64 / 1_000_000.0;
        (-59.0 * point.ln()).round() as u64 + 1
    }
}

struct Server {
    free_at: [u64; SLOTS],
    /// Service time in percent of the usual one.
    percent: u64,
    in_progress: u16,
    flows: u16,
    meter: Meter,
    number: u64,
}

#[derive(Clone, Copy)]
enum Event {
    OpenFlow,
    Request { server: u8, opened: u64, left: u8 },
    Answer { server: u8 },
    Close { server: u8 },
    Report { server: u8 },
    Review,
}

/// Requests of the flows that were opened within one second.
#[derive(Clone, Copy, Default)]
pub(crate) struct Tally {
    pub(crate) asked: u64,
    pub(crate) late: u64,
}

pub(crate) struct Fleet {
    random: Random,
    compares_speeds: bool,
    now: u64,
    order: u64,
    events: BTreeMap<(u64, u64), Event>,
    servers: Vec<Server>,
    pools: Vec<Pool>,
    /// Draws the work of the next request.
    pub(crate) work_ms: fn(&mut Random) -> u64,
    /// Requests by the second in which their flow was opened.
    pub(crate) tallies: BTreeMap<u64, Tally>,
    pub(crate) verdicts: Vec<(u64, Verdict)>,
}

impl Fleet {
    /// Creates a fleet whose balancers may compare the speeds of servers.
    pub(crate) fn open(seed: u64, balancers: usize, compares_speeds: bool) -> Self {
        let server = |_| Server {
            free_at: [0; SLOTS],
            percent: 100,
            in_progress: 0,
            flows: 0,
            meter: Meter::open(at(0)),
            number: 0,
        };
        let mut fleet = Self {
            random: Random(seed),
            compares_speeds,
            now: 0,
            order: 0,
            events: BTreeMap::new(),
            servers: (0..SERVERS).map(server).collect(),
            work_ms: Random::work_ms,
            pools: vec![Pool::default(); balancers],
            tallies: BTreeMap::new(),
            verdicts: Vec::new(),
        };
        for server in 0..SERVERS {
            fleet.report(server);
            let after_ms = fleet.random.below(REPORT_MS);
            fleet.after(after_ms, Event::Report { server });
        }
        fleet.after(1, Event::OpenFlow);
        fleet.after(REVIEW_MS, Event::Review);
        fleet
    }

    pub(crate) fn set_percent(&mut self, server: u8, percent: u64) {
        self.servers[usize::from(server)].percent = percent;
    }

    pub(crate) fn flows(&self, server: u8) -> u16 {
        self.servers[usize::from(server)].flows
    }

    pub(crate) fn in_progress(&self, server: u8) -> u16 {
        self.servers[usize::from(server)].in_progress
    }

    /// Replaces a server by a new one without flows.
    pub(crate) fn replace(&mut self, server: u8) {
        let state = &mut self.servers[usize::from(server)];
        (state.flows, state.in_progress) = (0, 0);
        state.meter.clear();
    }

    pub(crate) fn run(&mut self, until: u64) {
        while let Some(entry) = self.events.first_entry()
            && entry.key().0 <= until
        {
            self.now = entry.key().0;
            let event = entry.remove();
            self.handle(event);
        }
        self.now = until;
    }

    /// Returns the largest number of servers that count as slow at any balancer.
    pub(crate) fn slow(&self) -> usize {
        self.pools.iter().map(|pool| pool.slow().len()).max().unwrap_or_default()
    }

    /// Returns the late requests of flows that were opened in these seconds, in thousandths.
    pub(crate) fn late_per_mille(&self, seconds: std::ops::Range<u64>) -> u64 {
        let tallies = self.tallies.range(seconds).map(|(_, tally)| tally);
        let (asked, late) = tallies.fold((0, 0), |sum, one| (sum.0 + one.asked, sum.1 + one.late));
        late * 1_000 / asked.max(1)
    }

    fn after(&mut self, pause_ms: u64, event: Event) {
        self.order += 1;
        self.events.insert((self.now + pause_ms, self.order), event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::OpenFlow => self.open_flow(),
            Event::Request { server, opened, left } => self.send_request(server, opened, left),
            Event::Answer { server } => {
                let state = &mut self.servers[usize::from(server)];
                state.meter.record_answer(at(self.now));
                state.in_progress = state.in_progress.saturating_sub(1);
                self.update_meter(server);
            }
            Event::Close { server } => {
                let state = &mut self.servers[usize::from(server)];
                state.flows = state.flows.saturating_sub(1);
            }
            Event::Report { server } => {
                self.update_meter(server);
                self.report(server);
                self.after(REPORT_MS, Event::Report { server });
            }
            Event::Review => {
                for pool in self.pools.iter_mut().filter(|_| self.compares_speeds) {
                    let verdicts = pool.compare_speeds(at(self.now));
                    self.verdicts.extend(verdicts.into_iter().map(|one| (self.now, one)));
                }
                (0..SERVERS).for_each(|server| self.update_meter(server));
                self.after(REVIEW_MS, Event::Review);
            }
        }
    }

    fn update_meter(&mut self, server: u8) {
        let state = &mut self.servers[usize::from(server)];
        let working = usize::from(state.in_progress).min(SLOTS);
        state.meter.record_working(at(self.now), working as u64);
    }

    fn report(&mut self, server: u8) {
        let state = &mut self.servers[usize::from(server)];
        state.number += 1;
        let service_ms = state.meter.service_ms();
        let load = Load { busy: state.in_progress, flows: state.flows, service_ms };
        let domain = DOMAINS[usize::from(server) % DOMAINS.len()].into();
        let announcement = announcement(state.number, State::Ready, load);
        let announcement = Announcement { slots: SLOTS as u16, domain, ..announcement };
        for pool in &mut self.pools {
            pool.announced(at(self.now), host(server), announcement.clone());
        }
    }

    fn open_flow(&mut self) {
        let balancer = self.random.below(self.pools.len() as u64) as usize;
        let need = Need {
            key: Key::new(self.random.next()),
            service: default_service(),
            kind: Kind::Idempotent,
            regions: &BTreeSet::new(),
            domain: DOMAINS[balancer % DOMAINS.len()],
            tried: &[],
        };
        let pool = &mut self.pools[balancer];
        let choice = pool.choose(at(self.now), &need).expect("servers accept flows");
        pool.placed(choice.agent);
        let server = choice.agent.octets()[3];
        self.servers[usize::from(server)].flows += 1;
        self.send_request(server, self.now, REQUESTS);
        let pause_ms = 1 + self.random.below(2_000 / FLOWS_PER_S);
        self.after(pause_ms, Event::OpenFlow);
    }

    fn send_request(&mut self, server: u8, opened: u64, left: u8) {
        let work_ms = (self.work_ms)(&mut self.random);
        let now = self.now;
        let state = &mut self.servers[usize::from(server)];
        state.in_progress += 1;
        let slot = state.free_at.iter_mut().min().expect("a server has slots");
        *slot = now.max(*slot) + work_ms * state.percent / 100;
        let took_ms = *slot - now;
        self.update_meter(server);
        self.after(took_ms, Event::Answer { server });
        let tally = self.tallies.entry(opened / 1_000).or_default();
        tally.asked += 1;
        tally.late += u64::from(took_ms > OBJECTIVE_MS);
        let pause_ms = took_ms + 500 + self.random.below(2_000);
        match left {
            1 => self.after(pause_ms, Event::Close { server }),
            _ => self.after(pause_ms, Event::Request { server, opened, left: left - 1 }),
        }
    }
}
