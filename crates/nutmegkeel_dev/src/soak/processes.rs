//! Random faults for the real programs: balancers and agents as separate processes against the
//! stand-ins, with signals, a harmed store and changes in series, while clients use their flows.

mod caller;
mod chaos;
mod load;
mod truth;

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use nutmegkeel_core::l4::policy::Condition;
use nutmegkeel_standin::client::Client;
use nutmegkeel_standin::fleet::{Fleet, Plan};

use caller::{Caller, Demand};
use chaos::Chaos;
use load::Load;
use truth::Truth;

/// First port of every run; runs that go on at once differ in their addresses.
const PORT: u16 = 22_000;

/// Clients of a run; each has one long flow and opens short ones.
const CLIENTS: u8 = 4;

/// The heavy caller's number among the clients, if the run has one.
const HEAVY: u8 = CLIENTS;

/// The number of the client that asks when all is over.
const LAST: u8 = CLIENTS + 1;

/// Time for all processes to be ready at the start, and to recover at the end.
const SETTLE: Duration = Duration::from_secs(10);

/// What the deployment of a run with faults of load says of itself.
const CONDITIONS: [Condition; 2] = [Condition::Contention, Condition::HiddenFaults];

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
    /// Whether faults of load come too: bursts, a heavy caller, slow servers.
    pub load: bool,
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
        conditions: if options.load { CONDITIONS.to_vec() } else { Vec::new() },
    });
    let truth = Arc::new(Truth::open(&fleet.routes()));
    let load = Arc::new(Load::open(options.load));
    let mut chaos = Chaos::open(options.seed, fleet, Arc::clone(&truth), Arc::clone(&load));
    let clients = spawn_clients(chaos.fleet(), &truth, &load);
    let until = Instant::now() + Duration::from_secs(options.seconds);
    while Instant::now() < until {
        chaos.fault();
    }
    chaos.heal();
    if options.load {
        chaos.press();
    }
    load.end();
    for client in clients {
        if client.join().is_err() {
            truth.break_promise("a client of the soak itself failed".to_owned());
        }
    }
    let faults = chaos.check_recovery();
    let (answered, unanswered, broken) = truth.sum_up();
    Report { seed: options.seed, answered, unanswered, broken, faults, folder }
}

fn spawn_clients(
    fleet: &Fleet,
    truth: &Arc<Truth>,
    load: &Arc<Load>,
) -> Vec<thread::JoinHandle<()>> {
    let clients = if load.is_varied() { CLIENTS + 1 } else { CLIENTS };
    let spawn = |number| {
        let caller = Caller::open(
            Client::bind(fleet.client(number), fleet.ports),
            fleet.balancers(),
            Arc::clone(truth),
            Arc::clone(load),
            if number == HEAVY { Demand::Heavy } else { Demand::Usual },
        );
        thread::spawn(move || caller.call())
    };
    (0..clients).map(spawn).collect()
}

/// The program beside the running one.
///
/// # Errors
/// When the running program's own path is not known.
pub fn program_beside() -> std::io::Result<PathBuf> {
    let own = std::env::current_exe()?;
    Ok(own.parent().unwrap_or_else(|| Path::new(".")).join("nutmegkeel"))
}
