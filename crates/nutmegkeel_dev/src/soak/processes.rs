//! Random faults for the real programs: balancers and agents as separate processes against the
//! stand-ins, with signals, a harmed store and changes in series, while clients use their flows.

mod truth;

use std::net::Ipv4Addr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use nutmegkeel_standin::client::{Client, Outcome};
use nutmegkeel_standin::fleet::{Fleet, Plan, Signal};
use nutmegkeel_standin::proxy;
use nutmegkeel_standin::store::Mood;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use truth::{Seen, Truth};

/// First port of every run; runs that go on at once differ in their addresses.
const PORT: u16 = 22_000;

/// Clients of a run; each has one long flow and opens short ones.
const CLIENTS: u8 = 4;

/// Pause of a client between two rounds: four clients then send some hundred requests a second, and
/// leave the processor to the processes under test.
const BREATH: Duration = Duration::from_millis(10);

/// Time for all processes to be ready at the start, and to recover at the end.
const SETTLE: Duration = Duration::from_secs(10);

/// Time after the last fault within which everything must work again.
const RECOVERY: Duration = Duration::from_secs(6);

/// One run.
#[derive(Clone, Debug)]
pub struct Options {
    /// The program.
    pub program: PathBuf,
    /// Seed of the faults.
    pub seed: u64,
    /// How long faults come, in seconds.
    pub seconds: u64,
    /// Third byte of the addresses.
    pub net: u8,
}

/// What one run saw.
#[derive(Clone, Debug)]
pub struct Report {
    /// The seed.
    pub seed: u64,
    /// Requests that were answered.
    pub answered: u64,
    /// Requests that were not.
    pub unanswered: u64,
    /// Promises that were broken, with what led there.
    pub broken: Vec<String>,
    /// Faults in order, each with its second.
    pub faults: Vec<String>,
    /// Where settings and logs are.
    pub folder: PathBuf,
}

/// Runs one seed.
#[must_use]
pub fn run(options: &Options) -> Report {
    let folder = std::env::temp_dir().join(format!(
        "nutmegkeel-soak-{}-{}",
        options.seed,
        std::process::id()
    ));
    let fleet = Fleet::spawn(Plan {
        program: options.program.clone(),
        folder: folder.clone(),
        base: PORT,
        net: options.net,
        balancers: 3,
        services: vec!["desk", "desk", "desk", "vault", "vault"],
    });
    let truth = Arc::new(Truth::open(&fleet.routes()));
    let mut chaos = Chaos {
        rng: StdRng::seed_from_u64(options.seed),
        began: Instant::now(),
        version: 1,
        stopped: Vec::new(),
        faults: Vec::new(),
        fleet,
        truth: Arc::clone(&truth),
    };
    if !chaos.fleet.is_ready_within(SETTLE) {
        truth.break_promise("the fleet was not ready at the start".to_owned());
    }
    let over = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let client = Caller {
                client: Client::bind(chaos.fleet.client(number), chaos.fleet.ports),
                balancers: chaos.fleet.balancers(),
                truth: Arc::clone(&truth),
                over: Arc::clone(&over),
                next_port: 30_000,
            };
            thread::spawn(move || client.call())
        })
        .collect();
    let until = Instant::now() + Duration::from_secs(options.seconds);
    while Instant::now() < until {
        chaos.fault();
    }
    chaos.heal();
    over.store(true, Ordering::Relaxed);
    for client in clients {
        if client.join().is_err() {
            truth.break_promise("a client of the soak itself failed".to_owned());
        }
    }
    chaos.check_recovery();
    let (answered, unanswered, broken) = truth.sum_up();
    Report { seed: options.seed, answered, unanswered, broken, faults: chaos.faults, folder }
}

/// Makes the faults.
struct Chaos {
    rng: StdRng,
    began: Instant,
    version: u64,
    /// Processes that stand still.
    stopped: Vec<Ipv4Addr>,
    faults: Vec<String>,
    fleet: Fleet,
    truth: Arc<Truth>,
}

impl Chaos {
    fn fault(&mut self) {
        let pause = self.rng.random_range(50..900);
        thread::sleep(Duration::from_millis(pause));
        match self.rng.random_range(0..11) {
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
            _ => self.reload(),
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
        if !self.fleet.ended(host, Duration::from_secs(8)) {
            self.truth.break_promise(format!("{host} did not end within its grace"));
            self.fleet.signal(host, Signal::Kill);
            self.fleet.ended(host, SETTLE);
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

    /// Moves a route to another service, drops one, or brings all back.
    fn change(&mut self) {
        self.version += 1;
        let routes = match self.rng.random_range(0..3) {
            0 => vec![(443, "vault"), (444, "desk")],
            1 => vec![(443, "desk")],
            _ => vec![(443, "desk"), (444, "vault")],
        };
        self.note(format!("configuration {}: {routes:?}", self.version));
        self.truth.change(&routes);
        self.fleet.configure(self.version, &routes);
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
    }

    fn reload(&mut self) {
        let hosts = [self.fleet.balancers(), self.fleet.agents()].concat();
        let host = self.pick(&hosts);
        self.note(format!("{host} reads its settings"));
        self.fleet.signal(host, Signal::Reload);
    }

    fn heal(&mut self) {
        self.wake();
        self.fleet.store.set_mood(Mood::Well);
        self.fleet.proxy.set_mode(proxy::Mode::Pass);
        self.version += 1;
        let routes = [(443, "desk"), (444, "vault")];
        self.truth.change(&routes);
        self.fleet.configure(self.version, &routes);
        self.note("all faults end".to_owned());
        thread::sleep(RECOVERY);
    }

    /// After the faults every request must be answered, by the right service, through any balancer,
    /// and no process may have ended by itself.
    fn check_recovery(&mut self) {
        let client = Client::bind(self.fleet.client(CLIENTS), self.fleet.ports);
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
                Outcome::Answered(id) => self.truth.answered(port, &id, sent),
                other => self.truth.break_promise(format!(
                    "after the faults a request to port {port} through {} came to {other:?}",
                    through[0]
                )),
            }
        }
        for host in [balancers, self.fleet.agents()].concat() {
            if self.fleet.ended(host, Duration::ZERO) {
                self.truth.break_promise(format!("the process of {host} ended by itself"));
            }
        }
    }
}

/// One client: a long flow and short ones by turns.
struct Caller {
    client: Client,
    balancers: Vec<Ipv4Addr>,
    truth: Arc<Truth>,
    over: Arc<AtomicBool>,
    next_port: u16,
}

impl Caller {
    fn call(mut self) {
        let mut long = None;
        let mut turn = 0_usize;
        while !self.over.load(Ordering::Relaxed) {
            turn += 1;
            thread::sleep(BREATH);
            self.balancers.rotate_left(1);
            let port = 443 + u16::from(turn.is_multiple_of(3));
            let Some((mut open, id)) = self.open_and_ask(port) else { continue };
            match long.take() {
                None => long = Some((open, port, id)),
                Some((mut kept, kept_port, holder)) => {
                    self.client.request(&mut open, &self.balancers, Duration::from_millis(50));
                    if self.use_long(&mut kept, kept_port, &holder) {
                        long = Some((kept, kept_port, holder));
                    }
                }
            }
        }
    }

    fn open_and_ask(&mut self, port: u16) -> Option<(nutmegkeel_standin::client::Open, String)> {
        self.next_port += 1;
        let sent = Instant::now();
        let opened = self.client.open(self.next_port, port, &self.balancers);
        let Ok(mut open) = opened else {
            self.truth.unanswered();
            return None;
        };
        match self.client.request(&mut open, &self.balancers, Duration::from_secs(2)) {
            Outcome::Answered(id) => {
                self.truth.answered(port, &id, sent);
                Some((open, id))
            }
            Outcome::Reset | Outcome::Silence => {
                self.truth.unanswered();
                None
            }
        }
    }

    /// Sends a request on the long flow; true if the flow is still good.
    fn use_long(
        &self,
        open: &mut nutmegkeel_standin::client::Open,
        port: u16,
        holder: &str,
    ) -> bool {
        let outcome = self.client.request(open, &self.balancers, Duration::from_secs(2));
        match outcome {
            Outcome::Answered(id) => {
                self.truth.judge(&Seen::Long { port, holder, answered_by: Some(&id) });
                true
            }
            Outcome::Reset => {
                self.truth.judge(&Seen::Long { port, holder, answered_by: None });
                false
            }
            Outcome::Silence => {
                self.truth.unanswered();
                true
            }
        }
    }
}

/// The program beside the running one.
///
/// # Errors
/// When the running program's own path is not known.
pub fn program_beside() -> std::io::Result<PathBuf> {
    let own = std::env::current_exe()?;
    Ok(own.parent().unwrap_or_else(|| Path::new(".")).join("nutmegkeel"))
}
