//! Soak test of the real programs: balancers and agents run as separate processes against the
//! stand-ins, with signals, store faults and configuration changes, while clients use their flows.

mod caller;
mod chaos;
mod checker;
mod load;
mod outages;
mod resets;

use std::io;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use nutmegkeel_core::l4::policy::Condition;
use nutmegkeel_standin::client::Client;
use nutmegkeel_standin::fleet::{Fleet, Plan};

use caller::{Caller, Demand};
use chaos::{Chaos, End};
use checker::Checker;
use load::Load;

/// First port of every run; concurrent runs differ in their addresses.
const PORT: u16 = 22_000;

/// Number of usual clients of a run; each keeps one long flow and opens short ones.
const CLIENTS: u8 = 4;

/// Index of the heavy caller among the clients, if the run has one.
const HEAVY_CLIENT: u8 = CLIENTS;

/// Index of the client that checks recovery after the last fault.
const FINAL_CLIENT: u8 = CLIENTS + 1;

/// Time limit for all processes to become ready at the start, and for a killed process to exit.
const READY_TIMEOUT: Duration = Duration::from_secs(10);

/// Conditions in the settings of a run with load faults.
const CONDITIONS: [Condition; 2] = [Condition::Contention, Condition::HiddenFaults];

/// Options of one run.
#[derive(Clone, Debug)]
pub struct Options {
    /// Path of the program under test.
    pub program: PathBuf,
    /// Seed of the faults.
    pub seed: u64,
    /// Duration of fault injection, in seconds.
    pub seconds: u64,
    /// Third byte of the loopback addresses.
    pub net: u8,
    /// Whether load faults are injected too: bursts, a heavy caller and slow servers.
    pub load: bool,
    /// Whether backend servers and agents are interrupted for a moment too: servers pause, hang and
    /// become very slow, agents stall.
    pub interruptions: bool,
    /// Whether processes are also suspended while other faults go on, and servers crash for good.
    pub outages: bool,
    /// Time for which clients hold back the first request on a flow of a burst, in milliseconds.
    pub hold_ms: u64,
}

/// Result of one run.
#[derive(Clone, Debug)]
pub struct Report {
    /// The seed.
    pub seed: u64,
    /// Number of requests that were answered.
    pub answered: u64,
    /// Number of requests that were not answered.
    pub unanswered: u64,
    /// Invariants that were violated.
    pub violations: Vec<String>,
    /// Why the run could not go on, if a stand-in failed; the system is not to blame for it.
    pub harness_failure: Option<String>,
    /// Injected faults in order, each with its time in seconds.
    pub faults: Vec<String>,
    /// Directory of the settings and logs.
    pub folder: PathBuf,
}

impl Report {
    /// Returns whether the run was completed without a violation.
    #[must_use]
    pub const fn has_passed(&self) -> bool {
        self.violations.is_empty() && self.harness_failure.is_none()
    }

    fn failed(seed: u64, folder: PathBuf, failure: &io::Error) -> Self {
        Self {
            seed,
            answered: 0,
            unanswered: 0,
            violations: Vec::new(),
            harness_failure: Some(failure.to_string()),
            faults: Vec::new(),
            folder,
        }
    }
}

/// Runs one seed.
#[must_use]
pub fn run(options: &Options) -> Report {
    let folder = std::env::temp_dir().join(format!(
        "nutmegkeel-soak-{}-{}",
        options.seed,
        std::process::id()
    ));
    let spawned = Fleet::spawn(Plan {
        program: options.program.clone(),
        folder: folder.clone(),
        base: PORT,
        net: options.net,
        balancers: 3,
        services: vec!["desk", "desk", "desk", "vault", "vault"],
        conditions: if options.load { CONDITIONS.to_vec() } else { Vec::new() },
    });
    let fleet = match spawned {
        Ok(fleet) => fleet,
        Err(failure) => return Report::failed(options.seed, folder, &failure),
    };
    let checker = Arc::new(Checker::open(&fleet.routes(), folder.clone()));
    let load = Arc::new(Load::open(options.load));
    let mut chaos = Chaos::open(options, fleet, Arc::clone(&checker), Arc::clone(&load));
    let clients = spawn_clients(chaos.fleet(), &checker, &load, options.hold_ms);
    let until = Instant::now() + Duration::from_secs(options.seconds);
    while Instant::now() < until && !chaos.has_failed() {
        chaos.inject();
    }
    if !chaos.has_failed() {
        chaos.end_faults();
        if options.load {
            chaos.run_under_load();
        }
    }
    load.end();
    for client in clients {
        if client.join().is_err() {
            checker.record_violation("a client of the soak test panicked".to_owned());
        }
    }
    let End { faults, harness_failure } = chaos.end();
    let (answered, unanswered, violations) = checker.totals();
    let seed = options.seed;
    Report { seed, answered, unanswered, violations, harness_failure, faults, folder }
}

fn spawn_clients(
    fleet: &Fleet,
    checker: &Arc<Checker>,
    load: &Arc<Load>,
    hold_ms: u64,
) -> Vec<thread::JoinHandle<()>> {
    let clients = if load.is_varied() { CLIENTS + 1 } else { CLIENTS };
    let spawn = |number| {
        let caller = Caller::open(
            Client::bind(fleet.client(number), fleet.ports),
            fleet.balancers(),
            Arc::clone(checker),
            Arc::clone(load),
            if number == HEAVY_CLIENT { Demand::Heavy } else { Demand::Usual },
            Duration::from_millis(hold_ms),
        );
        thread::spawn(move || caller.run())
    };
    (0..clients).map(spawn).collect()
}

/// Returns the path of the `nutmegkeel` program in the directory of the running program.
///
/// # Errors
/// When the path of the running program is unknown.
pub fn program_path() -> io::Result<PathBuf> {
    let own = std::env::current_exe()?;
    Ok(own.parent().unwrap_or_else(|| Path::new(".")).join("nutmegkeel"))
}
