//! Fault injection of one soak run.

use std::io;
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use nutmegkeel_standin::client::{Client, Outcome};
use nutmegkeel_standin::fleet::Fleet;
use nutmegkeel_standin::process::Signal;
use nutmegkeel_standin::store::Mode;
use nutmegkeel_standin::{proxy, server};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::checker::{CONFIG_APPLY, Checker};
use super::load::Load;
use super::outages::{self, Outages};
use super::{FINAL_CLIENT, Options, READY_TIMEOUT};

/// Ports of the two classes of requests.
const PORTS: [u16; 2] = [443, 444];

/// Number of fault kinds that do not change load, of those that do, and of those that interrupt a
/// backend server or an agent for a moment.
const FAULTS: i32 = 11;
const LOAD_FAULTS: i32 = 4;
const INTERRUPTIONS: i32 = 4;

/// Duration of an interruption, in milliseconds. The longest exceeds every limit on a server's
/// silence, and open flows must survive it.
const INTERRUPTION_MS: std::ops::RangeInclusive<u64> = 100..=4_500;

/// Response time of a very slow server, in milliseconds. Many of its answers miss their deadline.
const VERY_SLOW_MS: std::ops::RangeInclusive<u64> = 510..=4_000;

/// Time for which a very slow server's answers may stay away, the slowest included.
const VERY_SLOW_TROUBLE: Duration = Duration::from_secs(8);

/// Response time of a slow server, in milliseconds, where others respond at once. The range ends at
/// twice the objective; open flows at the server must survive it.
const SLOW_MS: std::ops::RangeInclusive<u64> = 50..=510;

/// Duration of the final load phase, in which no process is disturbed.
const LOAD_PHASE: Duration = Duration::from_secs(4);

/// Time after the last fault within which the system must recover.
const RECOVERY: Duration = Duration::from_secs(6);

/// Injects the faults of a run.
pub(super) struct Chaos {
    pub(super) rng: StdRng,
    began: Instant,
    version: u64,
    /// Hosts whose process is suspended.
    pub(super) frozen: Vec<Ipv4Addr>,
    faults: Vec<String>,
    pub(super) fleet: Fleet,
    pub(super) checker: Arc<Checker>,
    load: Arc<Load>,
    /// Whether servers and agents are interrupted too.
    interrupts: bool,
    /// Outages that go on beside other faults, if the run has any.
    pub(super) outages: Option<Outages>,
    /// Why a stand-in or a process could not be started.
    pub(super) failure: Option<io::Error>,
}

/// End of a run.
pub(super) struct End {
    /// Injected faults in order, each with its time.
    pub faults: Vec<String>,
    /// Why the run could not go on, if a stand-in or a process could not be started.
    pub harness_failure: Option<String>,
}

impl Chaos {
    /// Creates the fault injector of a seed once the fleet is ready.
    pub(super) fn open(
        options: &Options,
        fleet: Fleet,
        checker: Arc<Checker>,
        load: Arc<Load>,
    ) -> Self {
        if !fleet.is_ready_within(READY_TIMEOUT) {
            checker.record_violation("the fleet was not ready at the start".to_owned());
        }
        let chaos = Self {
            rng: StdRng::seed_from_u64(options.seed),
            began: Instant::now(),
            version: 1,
            frozen: Vec::new(),
            faults: Vec::new(),
            fleet,
            checker,
            load,
            interrupts: options.interruptions,
            outages: options.outages.then(Outages::default),
            failure: None,
        };
        for host in chaos.fleet.agents() {
            chaos.checker.record_server(chaos.fleet.server(host).id(), host);
            chaos.reset_server(host);
        }
        chaos
    }

    /// Returns whether a stand-in or a process could not be started, so that nothing more can be
    /// concluded from the run.
    pub(super) const fn has_failed(&self) -> bool {
        self.failure.is_some()
    }

    pub(super) const fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    pub(super) fn inject(&mut self) {
        let pause = self.rng.random_range(50..900);
        thread::sleep(Duration::from_millis(pause));
        self.resume_due();
        let load_kinds = if self.load.is_varied() { LOAD_FAULTS } else { 0 };
        let interruptions = if self.interrupts { INTERRUPTIONS } else { 0 };
        let outages = if self.outages.is_some() { outages::KINDS } else { 0 };
        let kinds = FAULTS + load_kinds + interruptions + outages;
        match self.rng.random_range(0..kinds) {
            0 => self.restart_balancer(Signal::Term),
            1 => self.restart_balancer(Signal::Kill),
            2 => self.restart_agent(Signal::Kill),
            3 => self.restart_agent(Signal::Term),
            4 => self.freeze(),
            5 => self.resume_all(),
            6 => self.disturb_store(),
            7 => self.disturb_connections(),
            8 => self.change_routes(),
            9 => self.replace_server(),
            10 => self.reload(),
            11 => self.toggle_burst(),
            12 => self.toggle_heavy_caller(),
            13 => {
                self.slow_server(SLOW_MS);
            }
            14 => self.reset_servers(),
            15 => self.interrupt_server("pauses", server::Handle::pause),
            16 => self.interrupt_server("hangs", server::Handle::hang),
            17 => self.make_server_very_slow(),
            18 => self.stall_agent(),
            19 => self.crash_server(),
            20 => self.restore_servers(),
            _ => self.suspend_for_seconds(),
        }
    }

    pub(super) fn record(&mut self, fault: String) {
        self.faults.push(format!("{:.1} s: {fault}", self.began.elapsed().as_secs_f64()));
    }

    pub(super) fn pick(&mut self, hosts: &[Ipv4Addr]) -> Ipv4Addr {
        hosts[self.rng.random_range(0..hosts.len())]
    }

    fn restart_balancer(&mut self, signal: Signal) {
        let host = self.pick(&self.fleet.balancers());
        self.record(format!("{signal:?} and start of balancer {host}"));
        self.restart(host, signal);
    }

    fn restart_agent(&mut self, signal: Signal) {
        let host = self.pick(&self.fleet.agents());
        self.record(format!("{signal:?} and start of agent {host}"));
        self.restart(host, signal);
    }

    /// Restarts the process of a host. Records a disturbance unless it is a graceful stop of a
    /// process that was not suspended.
    fn restart(&mut self, host: Ipv4Addr, signal: Signal) {
        let was_frozen = self.frozen.contains(&host);
        if signal == Signal::Kill || was_frozen {
            self.checker.record_disturbance(host);
        }
        if was_frozen {
            self.checker.record_resumption(host);
            self.fleet.signal(host, Signal::Continue);
            self.frozen.retain(|other| *other != host);
        }
        self.fleet.signal(host, signal);
        if !self.fleet.exits_within(host, Duration::from_secs(8)) {
            self.checker.record_violation(format!("{host} did not exit within its grace period"));
            self.fleet.signal(host, Signal::Kill);
            self.fleet.exits_within(host, READY_TIMEOUT);
        }
        self.failure = self.fleet.start(host).err().or(self.failure.take());
    }

    fn freeze(&mut self) {
        let hosts = [self.fleet.balancers(), self.fleet.agents()].concat();
        let host = self.pick(&hosts);
        self.record(format!("{host} is suspended"));
        self.checker.record_suspension(host);
        self.fleet.signal(host, Signal::Stop);
        self.frozen.push(host);
    }

    fn resume_all(&mut self) {
        for host in std::mem::take(&mut self.frozen) {
            self.record(format!("{host} resumes"));
            self.fleet.signal(host, Signal::Continue);
            self.checker.record_resumption(host);
        }
    }

    fn disturb_store(&mut self) {
        let modes = [Mode::Well, Mode::Down, Mode::LosesAnswers, Mode::Slow(300), Mode::Well];
        let mode = modes[self.rng.random_range(0..modes.len())];
        self.record(format!("store: {mode:?}"));
        self.fleet.store.set_mode(mode);
        self.checker.record_store_health(mode == Mode::Well);
        if self.rng.random_bool(0.3) {
            self.fleet.store.compact();
        }
    }

    fn disturb_connections(&mut self) {
        use proxy::Mode as ProxyMode;
        let modes = [
            ProxyMode::Pass,
            ProxyMode::Delay(200),
            ProxyMode::Reset,
            ProxyMode::Silent,
            ProxyMode::OneWay,
            ProxyMode::Pass,
        ];
        let mode = modes[self.rng.random_range(0..modes.len())];
        self.record(format!("connections to the store: {mode:?}"));
        self.fleet.proxy.set_mode(mode);
        self.checker.record_store_health(mode == ProxyMode::Pass);
    }

    /// Swaps the services of the two routes, removes one route, or restores the initial routes.
    fn change_routes(&mut self) {
        let routes = match self.rng.random_range(0..3) {
            0 => vec![(443, "vault"), (444, "desk")],
            1 => vec![(443, "desk")],
            _ => vec![(443, "desk"), (444, "vault")],
        };
        self.configure(&routes);
    }

    fn configure(&mut self, routes: &[(u16, &'static str)]) {
        self.version += 1;
        self.record(format!("configuration {}: {routes:?}", self.version));
        self.checker.record_routes(routes);
        self.fleet.configure(self.version, routes);
    }

    fn replace_server(&mut self) {
        let host = self.pick(&self.served_hosts());
        let id = self.fleet.server(host).id().to_owned();
        if self.rng.random_bool(0.5) {
            self.record(format!("{id} drains and is replaced"));
            self.fleet.server(host).drain();
            self.checker.record_drain(&id, host);
            thread::sleep(Duration::from_millis(1_500));
        } else {
            self.record(format!("{id} crashes and is replaced"));
        }
        self.checker.record_end(&id);
        self.checker.record_disturbance(host);
        self.failure = self.fleet.start_server(host).err().or(self.failure.take());
        if self.has_failed() {
            return;
        }
        self.checker.record_server(self.fleet.server(host).id(), host);
        self.reset_server(host);
    }

    fn reload(&mut self) {
        let hosts = [self.fleet.balancers(), self.fleet.agents()].concat();
        let host = self.pick(&hosts);
        self.record(format!("{host} reloads its settings"));
        self.fleet.signal(host, Signal::Reload);
    }

    /// Starts a burst of one class of requests, or ends the current one.
    fn toggle_burst(&mut self) {
        let port = PORTS[self.rng.random_range(0..PORTS.len())];
        let burst = self.load.burst().is_none().then_some(port);
        self.record(format!("burst: {burst:?}"));
        self.load.set_burst(burst);
    }

    fn toggle_heavy_caller(&mut self) {
        let heavy = !self.load.has_heavy_caller();
        self.record(format!("heavy caller: {heavy}"));
        self.load.set_heavy_caller(heavy);
    }

    /// Slows down the answers of a server without affecting its heartbeats.
    fn slow_server(&mut self, answer_ms: std::ops::RangeInclusive<u64>) -> Ipv4Addr {
        let host = self.pick(&self.served_hosts());
        let answer_ms = self.rng.random_range(answer_ms);
        self.record(format!("{} responds after {answer_ms} ms", self.fleet.server(host).id()));
        self.fleet.server(host).set_answer_ms(answer_ms);
        host
    }

    /// Slows a server down so far that its agent may take it for mute.
    fn make_server_very_slow(&mut self) {
        let host = self.slow_server(VERY_SLOW_MS);
        self.checker.record_trouble(host, VERY_SLOW_TROUBLE);
    }

    fn interrupt_server(&mut self, what: &str, interrupt: fn(&server::Handle, Duration)) {
        let host = self.pick(&self.served_hosts());
        let duration = self.draw_interruption();
        self.record(format!("{} {what} for {duration:?}", self.fleet.server(host).id()));
        self.checker.record_trouble(host, duration);
        interrupt(self.fleet.server(host), duration);
    }

    /// Suspends an agent's process and resumes it; one that is suspended already only resumes.
    fn stall_agent(&mut self) {
        let host = self.pick(&self.fleet.agents());
        let duration = self.draw_interruption();
        self.record(format!("{host} stalls for {duration:?}"));
        self.checker.record_suspension(host);
        self.fleet.signal(host, Signal::Stop);
        thread::sleep(duration);
        self.fleet.signal(host, Signal::Continue);
        self.checker.record_resumption(host);
        self.frozen.retain(|other| *other != host);
    }

    fn draw_interruption(&mut self) -> Duration {
        Duration::from_millis(self.rng.random_range(INTERRUPTION_MS))
    }

    fn reset_servers(&mut self) {
        self.record("no server is slow".to_owned());
        for host in self.served_hosts() {
            self.reset_server(host);
        }
    }

    pub(super) fn reset_server(&self, host: Ipv4Addr) {
        if self.load.is_varied() {
            self.fleet.server(host).set_answer_ms(0);
        }
    }

    fn reset_load(&mut self) {
        self.load.set_burst(None);
        self.load.set_heavy_caller(false);
        self.reset_servers();
    }

    /// Applies all load faults while no process is disturbed: a request without a final answer was
    /// then lost by the system and not by a fault.
    pub(super) fn run_under_load(&mut self) {
        self.toggle_heavy_caller();
        self.toggle_burst();
        self.slow_server(SLOW_MS);
        thread::sleep(LOAD_PHASE);
        self.reset_load();
    }

    pub(super) fn end_faults(&mut self) {
        self.resume_all();
        self.restore_servers();
        if self.load.is_varied() {
            self.reset_load();
        }
        self.fleet.store.set_mode(Mode::Well);
        self.fleet.proxy.set_mode(proxy::Mode::Pass);
        self.checker.record_store_health(true);
        self.configure(&[(443, "vault"), (444, "desk")]);
        thread::sleep(CONFIG_APPLY);
        // Guards against a late change: watches that wait on silent connections must not delay it.
        self.record("open connections to the store: silent".to_owned());
        self.fleet.proxy.silence_open_connections();
        self.configure(&[(443, "desk"), (444, "vault")]);
        self.record("all faults end".to_owned());
        thread::sleep(RECOVERY);
    }

    /// Checks the recovery, unless the soak test itself failed, and ends the run.
    pub(super) fn end(mut self) -> End {
        if !self.has_failed() {
            self.check_recovery();
        }
        let harness_failure = self.failure.map(|failure| failure.to_string());
        End { faults: self.faults, harness_failure }
    }

    /// Checks that after the faults the right service answers every request through any balancer,
    /// and that no process has exited by itself.
    fn check_recovery(&mut self) {
        let client_address = self.fleet.client(FINAL_CLIENT);
        let client = Client::bind(client_address, self.fleet.ports);
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
                Outcome::Answered(id) => {
                    self.checker.record_answer(client_address, port, &id, sent)
                }
                other => self.checker.record_violation(format!(
                    "after the faults a request to port {port} through {} ended in {other:?}",
                    through[0]
                )),
            }
        }
        for host in [balancers, self.fleet.agents()].concat() {
            if self.fleet.exits_within(host, Duration::ZERO) {
                self.checker.record_violation(format!("the process of {host} exited by itself"));
            }
        }
    }
}
