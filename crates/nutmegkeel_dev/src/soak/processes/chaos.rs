//! The faults of one run.

use std::net::Ipv4Addr;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use nutmegkeel_standin::client::{Client, Outcome};
use nutmegkeel_standin::fleet::{Fleet, Signal};
use nutmegkeel_standin::proxy;
use nutmegkeel_standin::store::Mode;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::load::Load;
use super::truth::{IN_FORCE, Truth};
use super::{LAST, SETTLE};

/// Ports of the two classes of requests.
const PORTS: [u16; 2] = [443, 444];

/// Kinds of faults, and the number of them that change load rather than processes.
const FAULTS: i32 = 11;
const LOAD_FAULTS: i32 = 4;

/// Time that a slow server takes for an answer, in milliseconds, where the others answer at once: up to twice the
/// objective. Its open flows must live on.
const SLOW_MS: std::ops::RangeInclusive<u64> = 50..=510;

/// Time under load at the end, when no process is disturbed any more.
const LOADED: Duration = Duration::from_secs(4);

/// Time after the last fault within which everything must work again.
const RECOVERY: Duration = Duration::from_secs(6);

/// Makes the faults.
pub(super) struct Chaos {
    rng: StdRng,
    began: Instant,
    version: u64,
    /// Processes that stand still.
    stopped: Vec<Ipv4Addr>,
    faults: Vec<String>,
    fleet: Fleet,
    truth: Arc<Truth>,
    load: Arc<Load>,
}

impl Chaos {
    /// The faults of a seed, once the fleet is ready.
    pub(super) fn open(seed: u64, fleet: Fleet, truth: Arc<Truth>, load: Arc<Load>) -> Self {
        if !fleet.is_ready_within(SETTLE) {
            truth.break_promise("the fleet was not ready at the start".to_owned());
        }
        let chaos = Self {
            rng: StdRng::seed_from_u64(seed),
            began: Instant::now(),
            version: 1,
            stopped: Vec::new(),
            faults: Vec::new(),
            fleet,
            truth,
            load,
        };
        chaos.fleet.agents().into_iter().for_each(|host| chaos.answer_as_usual(host));
        chaos
    }

    pub(super) const fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    pub(super) fn fault(&mut self) {
        let pause = self.rng.random_range(50..900);
        thread::sleep(Duration::from_millis(pause));
        let kinds = FAULTS + if self.load.is_varied() { LOAD_FAULTS } else { 0 };
        match self.rng.random_range(0..kinds) {
            0 => self.restart_balancer(Signal::Term),
            1 => self.restart_balancer(Signal::Kill),
            2 => self.restart_agent(Signal::Kill),
            3 => self.restart_agent(Signal::Term),
            4 => self.freeze(),
            5 => self.wake(),
            6 => self.store_mood(),
            7 => self.harm_connections(),
            8 => self.change(),
            9 => self.replace_server(),
            10 => self.reload(),
            11 => self.burst(),
            12 => self.change_heavy(),
            13 => self.slow_down(),
            _ => self.speed_up(),
        }
    }

    fn note(&mut self, fault: String) {
        self.faults.push(format!("{:.1} s: {fault}", self.began.elapsed().as_secs_f64()));
    }

    fn pick(&mut self, hosts: &[Ipv4Addr]) -> Ipv4Addr {
        hosts[self.rng.random_range(0..hosts.len())]
    }

    fn restart_balancer(&mut self, signal: Signal) {
        let host = self.pick(&self.fleet.balancers());
        self.note(format!("{signal:?} and start of balancer {host}"));
        self.restart(host, signal);
    }

    fn restart_agent(&mut self, signal: Signal) {
        let host = self.pick(&self.fleet.agents());
        self.note(format!("{signal:?} and start of agent {host}"));
        self.restart(host, signal);
    }

    /// A planned stop disturbs nobody; everything else does.
    fn restart(&mut self, host: Ipv4Addr, signal: Signal) {
        let stood = self.stopped.contains(&host);
        if signal == Signal::Kill || stood {
            self.truth.disturb(host);
        }
        if stood {
            self.fleet.signal(host, Signal::Continue);
            self.stopped.retain(|other| *other != host);
        }
        self.fleet.signal(host, signal);
        if !self.fleet.exits_within(host, Duration::from_secs(8)) {
            self.truth.break_promise(format!("{host} did not end within its grace"));
            self.fleet.signal(host, Signal::Kill);
            self.fleet.exits_within(host, SETTLE);
        }
        self.fleet.start(host);
    }

    fn freeze(&mut self) {
        let hosts = [self.fleet.balancers(), self.fleet.agents()].concat();
        let host = self.pick(&hosts);
        self.note(format!("{host} stands still"));
        self.truth.disturb(host);
        self.fleet.signal(host, Signal::Stop);
        self.stopped.push(host);
    }

    fn wake(&mut self) {
        for host in std::mem::take(&mut self.stopped) {
            self.note(format!("{host} goes on"));
            self.truth.disturb(host);
            self.fleet.signal(host, Signal::Continue);
        }
    }

    fn store_mood(&mut self) {
        let moods = [Mode::Well, Mode::Down, Mode::LosesAnswers, Mode::Slow(300), Mode::Well];
        let mood = moods[self.rng.random_range(0..moods.len())];
        self.note(format!("store: {mood:?}"));
        self.fleet.store.set_mode(mood);
        self.truth.store_is_well(mood == Mode::Well);
        if self.rng.random_bool(0.3) {
            self.fleet.store.compact();
        }
    }

    fn harm_connections(&mut self) {
        use proxy::Mode as Way;
        let ways = [Way::Pass, Way::Delay(200), Way::Reset, Way::Silent, Way::OneWay, Way::Pass];
        let way = ways[self.rng.random_range(0..ways.len())];
        self.note(format!("connections to the store: {way:?}"));
        self.fleet.proxy.set_mode(way);
        self.truth.store_is_well(way == Way::Pass);
    }

    /// Moves a route to another service, drops one, or brings all back.
    fn change(&mut self) {
        let routes = match self.rng.random_range(0..3) {
            0 => vec![(443, "vault"), (444, "desk")],
            1 => vec![(443, "desk")],
            _ => vec![(443, "desk"), (444, "vault")],
        };
        self.configure(&routes);
    }

    fn configure(&mut self, routes: &[(u16, &'static str)]) {
        self.version += 1;
        self.note(format!("configuration {}: {routes:?}", self.version));
        self.truth.change(routes);
        self.fleet.configure(self.version, routes);
    }

    fn replace_server(&mut self) {
        let host = self.pick(&self.fleet.agents());
        let id = self.fleet.server(host).id().to_owned();
        if self.rng.random_bool(0.5) {
            self.note(format!("{id} drains and is replaced"));
            self.fleet.server(host).drain();
            self.truth.drain(&id, host);
            thread::sleep(Duration::from_millis(1_500));
        } else {
            self.note(format!("{id} crashes and is replaced"));
        }
        self.truth.end(&id);
        self.truth.disturb(host);
        self.fleet.start_server(host);
        self.answer_as_usual(host);
    }

    fn reload(&mut self) {
        let hosts = [self.fleet.balancers(), self.fleet.agents()].concat();
        let host = self.pick(&hosts);
        self.note(format!("{host} reads its settings"));
        self.fleet.signal(host, Signal::Reload);
    }

    /// Begins a burst of one class of requests, or ends the one there is.
    fn burst(&mut self) {
        let port = PORTS[self.rng.random_range(0..PORTS.len())];
        let burst = self.load.burst().is_none().then_some(port);
        self.note(format!("burst: {burst:?}"));
        self.load.set_burst(burst);
    }

    fn change_heavy(&mut self) {
        let heavy = !self.load.is_heavy();
        self.note(format!("heavy caller: {heavy}"));
        self.load.set_heavy(heavy);
    }

    /// Makes a server slow whose heartbeats go on as before.
    fn slow_down(&mut self) {
        let host = self.pick(&self.fleet.agents());
        let answer_ms = self.rng.random_range(SLOW_MS);
        self.note(format!("{} takes {answer_ms} ms", self.fleet.server(host).id()));
        self.fleet.server(host).set_answer_ms(answer_ms);
    }

    fn speed_up(&mut self) {
        self.note("no server is slow".to_owned());
        for host in self.fleet.agents() {
            self.answer_as_usual(host);
        }
    }

    fn answer_as_usual(&self, host: Ipv4Addr) {
        if self.load.is_varied() {
            self.fleet.server(host).set_answer_ms(0);
        }
    }

    fn calm_load(&mut self) {
        self.load.set_burst(None);
        self.load.set_heavy(false);
        self.speed_up();
    }

    /// A time in which only load is at its worst: whoever is left without a final answer now was
    /// forgotten, and not cut.
    pub(super) fn press(&mut self) {
        self.change_heavy();
        self.burst();
        self.slow_down();
        thread::sleep(LOADED);
        self.calm_load();
    }

    pub(super) fn heal(&mut self) {
        self.wake();
        if self.load.is_varied() {
            self.calm_load();
        }
        self.fleet.store.set_mode(Mode::Well);
        self.fleet.proxy.set_mode(proxy::Mode::Pass);
        self.truth.store_is_well(true);
        self.configure(&[(443, "vault"), (444, "desk")]);
        thread::sleep(IN_FORCE);
        // Guards against a change that is applied late because all watches wait on silent connections.
        self.note("open connections to the store: silent".to_owned());
        self.fleet.proxy.silence_open_connections();
        self.configure(&[(443, "desk"), (444, "vault")]);
        self.note("all faults end".to_owned());
        thread::sleep(RECOVERY);
    }

    /// After the faults every request must be answered, by the right service, through any balancer,
    /// and no process may have ended by itself. Returns the faults.
    pub(super) fn check_recovery(mut self) -> Vec<String> {
        let asker = self.fleet.client(LAST);
        let client = Client::bind(asker, self.fleet.ports);
        let balancers = self.fleet.balancers();
        for (number, from_port) in (40_000..40_024).enumerate() {
            let through = [balancers[number % balancers.len()]];
            let port = 443 + u16::from(number % 2 == 1);
            let sent = Instant::now();
            let opened = client.open(from_port, port, &through);
            let outcome = opened.map_or_else(
                |outcome| outcome,
                |mut open| client.request(&mut open, &through, Duration::from_secs(2)),
            );
            match outcome {
                Outcome::Answered(id) => self.truth.answered(asker, port, &id, sent),
                other => self.truth.break_promise(format!(
                    "after the faults a request to port {port} through {} came to {other:?}",
                    through[0]
                )),
            }
        }
        for host in [balancers, self.fleet.agents()].concat() {
            if self.fleet.exits_within(host, Duration::ZERO) {
                self.truth.break_promise(format!("the process of {host} ended by itself"));
            }
        }
        self.faults
    }
}
