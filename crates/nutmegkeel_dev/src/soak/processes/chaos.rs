//! Fault injection of one soak run.

use std::net::Ipv4Addr;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use nutmegkeel_standin::client::{Client, Outcome};
use nutmegkeel_standin::fleet::{Fleet, Signal};
use nutmegkeel_standin::proxy;
use nutmegkeel_standin::store::Mood;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::load::Load;
use super::truth::{IN_FORCE, Truth};
use super::{LAST, SETTLE};

/// Ports of the two classes of requests.
const PORTS: [u16; 2] = [443, 444];

/// Number of fault kinds without load, and of load fault kinds.
const FAULTS: i32 = 11;
const LOAD_FAULTS: i32 = 4;

/// Response time of a slow server, in milliseconds, where others respond at once. The range ends at
/// twice the objective; open flows at the server must survive it.
const SLOW_MS: std::ops::RangeInclusive<u64> = 50..=510;

/// Duration of the final load phase, in which no process is disturbed.
const LOADED: Duration = Duration::from_secs(4);

/// Time after the last fault within which the system must recover.
const RECOVERY: Duration = Duration::from_secs(6);

/// Injects the faults of a run.
pub(super) struct Chaos {
    rng: StdRng,
    began: Instant,
    version: u64,
    /// Hosts whose process is suspended.
    stopped: Vec<Ipv4Addr>,
    faults: Vec<String>,
    fleet: Fleet,
    truth: Arc<Truth>,
    load: Arc<Load>,
}

impl Chaos {
    /// Creates the fault injector of a seed once the fleet is ready.
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

    /// Restarts the process of a host. Records a disturbance unless it is a graceful stop of a
    /// process that was not suspended.
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
        if !self.fleet.ended(host, Duration::from_secs(8)) {
            self.truth.break_promise(format!("{host} did not exit within its grace period"));
            self.fleet.signal(host, Signal::Kill);
            self.fleet.ended(host, SETTLE);
        }
        self.fleet.start(host);
    }

    fn freeze(&mut self) {
        let hosts = [self.fleet.balancers(), self.fleet.agents()].concat();
        let host = self.pick(&hosts);
        self.note(format!("{host} is suspended"));
        self.truth.disturb(host);
        self.fleet.signal(host, Signal::Stop);
        self.stopped.push(host);
    }

    fn wake(&mut self) {
        for host in std::mem::take(&mut self.stopped) {
            self.note(format!("{host} resumes"));
            self.truth.disturb(host);
            self.fleet.signal(host, Signal::Continue);
        }
    }

    fn store_mood(&mut self) {
        let moods = [Mood::Well, Mood::Down, Mood::LosesAnswers, Mood::Slow(300), Mood::Well];
        let mood = moods[self.rng.random_range(0..moods.len())];
        self.note(format!("store: {mood:?}"));
        self.fleet.store.set_mood(mood);
        self.truth.store_is_well(mood == Mood::Well);
        if self.rng.random_bool(0.3) {
            self.fleet.store.forget_history();
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

    /// Swaps the services of the two routes, removes one route, or restores the initial routes.
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
        self.note(format!("{host} reloads its settings"));
        self.fleet.signal(host, Signal::Reload);
    }

    /// Starts a burst of one class of requests, or ends the current one.
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

    /// Slows down the answers of a server without affecting its heartbeats.
    fn slow_down(&mut self) {
        let host = self.pick(&self.fleet.agents());
        let answer_ms = self.rng.random_range(SLOW_MS);
        self.note(format!("{} responds after {answer_ms} ms", self.fleet.server(host).id()));
        self.fleet.server(host).answer_after(answer_ms);
    }

    fn speed_up(&mut self) {
        self.note("no server is slow".to_owned());
        for host in self.fleet.agents() {
            self.answer_as_usual(host);
        }
    }

    fn answer_as_usual(&self, host: Ipv4Addr) {
        if self.load.is_varied() {
            self.fleet.server(host).answer_after(0);
        }
    }

    fn calm_load(&mut self) {
        self.load.set_burst(None);
        self.load.set_heavy(false);
        self.speed_up();
    }

    /// Applies all load faults while no process is disturbed: a request without a final answer was
    /// then lost by the system and not by a fault.
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
        self.fleet.store.set_mood(Mood::Well);
        self.fleet.proxy.set_mode(proxy::Mode::Pass);
        self.truth.store_is_well(true);
        self.configure(&[(443, "vault"), (444, "desk")]);
        thread::sleep(IN_FORCE);
        // Guards against a late change: watches that wait on silent connections must not delay it.
        self.note("open connections to the store: silent".to_owned());
        self.fleet.proxy.silence_open_connections();
        self.configure(&[(443, "desk"), (444, "vault")]);
        self.note("all faults end".to_owned());
        thread::sleep(RECOVERY);
    }

    /// Checks that after the faults the right service answers every request through any balancer,
    /// and that no process has exited by itself. Returns the faults.
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
                    "after the faults a request to port {port} through {} ended in {other:?}",
                    through[0]
                )),
            }
        }
        for host in [balancers, self.fleet.agents()].concat() {
            if self.fleet.ended(host, Duration::ZERO) {
                self.truth.break_promise(format!("the process of {host} exited by itself"));
            }
        }
        self.faults
    }
}
