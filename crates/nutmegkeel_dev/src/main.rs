//! Command line of the developer tools, such as `cargo dev demo`, and of the stand-in processes.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use bpaf::Parser;
use nutmegkeel_dev::measure::Measurement;
use nutmegkeel_dev::{compare, demo, measure, model, soak, standin};

#[derive(Clone, Debug)]
enum Command {
    Demo(demo::Options),
    Measure(Measurement),
    Model,
    Compare(compare::Options),
    PlayDays(compare::Options),
    Soak(u64, u64),
    SoakProcesses(soak::Series),
    Busy,
    Platform(SocketAddr),
    Fabric(PathBuf),
    Backend(PathBuf),
    Relay(SocketAddr, SocketAddr),
}

fn main() -> ExitCode {
    let commands = bpaf::construct!([
        demo_command(),
        measure_command(),
        model_command(),
        compare_command(),
        play_days_command(),
        soak_command(),
        soak_processes(),
        busy(),
        platform(),
        fabric(),
        backend(),
        relay()
    ]);
    let command = commands.to_options().descr("Demo, stand-ins and measurements").run();
    let ended = match command {
        Command::Demo(options) => demo::run(&options),
        Command::Measure(measurement) => measure::run(&measurement),
        Command::Model => model::run(),
        Command::Compare(options) => compare::run(&options).map_err(std::io::Error::other),
        Command::PlayDays(options) => compare::check(&options).map_err(std::io::Error::other),
        Command::SoakProcesses(series) => soak::run_processes(&series),
        Command::Busy => soak::busy::run(),
        Command::Soak(seed, minutes) => Ok(soak::run(seed, minutes)),
        Command::Platform(address) => standin::platform::spawn(address).map(|_handle| {
            loop {
                std::thread::park();
            }
        }),
        Command::Fabric(file) => standin::fabric::run(&file).map(|()| true),
        Command::Relay(from, to) => standin::relay::run(from, to).map(|()| true),
        Command::Backend(file) => standin::backend::run(&file).map(|()| true),
    };
    match ended {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

fn demo_command() -> impl Parser<Command> {
    let seconds = bpaf::long("seconds")
        .help("Duration of the callers' load")
        .argument("SECONDS")
        .fallback(16);
    let keep = bpaf::long("keep")
        .help("Keep everything running afterwards, until Enter is pressed")
        .switch();
    let loss_percent = bpaf::long("loss")
        .help("Share of the callers' packets that the fabric loses in each direction")
        .argument("PERCENT")
        .fallback(0);
    bpaf::construct!(demo::Options { seconds, keep, loss_percent })
        .map(Command::Demo)
        .to_options()
        .descr("Run the whole system over stand-ins, with stops, kills and a drain")
        .command("demo")
}

fn measure_command() -> impl Parser<Command> {
    let fixed_measurement = |name, description, measurement: Measurement| {
        bpaf::pure(measurement).to_options().descr(description).command(name)
    };
    let forward = fixed_measurement(
        "forward",
        "Processor time of a balancer per packet",
        Measurement::Forward,
    );
    let suspension = fixed_measurement(
        "suspension",
        "Flows that survive a suspension of their agent",
        Measurement::Suspension,
    );
    let silence = fixed_measurement(
        "silence",
        "Time until callers of a killed agent detect it",
        Measurement::Silence,
    );
    let routing = fixed_measurement("routing", "Placement against baselines", Measurement::Routing);
    let limits = fixed_measurement("limits", "Goodput under overload", Measurement::Limits);
    let retries = fixed_measurement(
        "retries",
        "Duplicate runs, and the cost of claims",
        Measurement::Retries,
    );
    let membership =
        fixed_measurement("membership", "Detection and traffic", Measurement::Membership);
    let configuration = fixed_measurement(
        "configuration",
        "Time until a change is in force",
        Measurement::Configuration,
    );
    let leaving =
        fixed_measurement("leaving", "Last new flow at a leaving agent", Measurement::Leaving);
    let finding = fixed_measurement(
        "finding",
        "Time to find the agent of a flow, by size of the fleet",
        Measurement::Finding,
    );
    let capacity = fixed_measurement(
        "capacity",
        "Cost per member, agent and class, for docs/CAPACITY.md",
        Measurement::Capacity,
    );
    bpaf::construct!([
        path_measurement(),
        opening_measurement(),
        forward,
        silence,
        suspension,
        routing,
        limits,
        retries,
        membership,
        configuration,
        leaving,
        finding,
        capacity,
        capacity_point()
    ])
    .map(Command::Measure)
    .to_options()
    .descr("Run one measurement")
    .command("measure")
}

fn model_command() -> impl Parser<Command> {
    bpaf::pure(Command::Model)
        .to_options()
        .descr("Check the models of the core protocol with spin")
        .command("model")
}

fn bench_argument() -> impl Parser<PathBuf> {
    bpaf::long("bench").help("The users' bench").argument::<PathBuf>("PROGRAM")
}

fn sites_argument() -> impl Parser<Vec<PathBuf>> {
    bpaf::long("site").help("File of a deployment").argument::<PathBuf>("FILE").many()
}

fn jobs_argument() -> impl Parser<usize> {
    bpaf::long("jobs").help("Number of concurrent plays").argument("COUNT").fallback(2)
}

fn why_argument() -> impl Parser<String> {
    bpaf::long("why").help("Purpose, for the journal").argument::<String>("TEXT")
}

fn compare_command() -> impl Parser<Command> {
    let bench = bench_argument();
    let sites = sites_argument();
    let days = bpaf::long("day").help("A day, by name").argument::<String>("DAY").many();
    let seeds = bpaf::long("seeds").help("Seeds of each day").argument("COUNT").fallback(3);
    let ways = bpaf::long("way")
        .help("A checkout and its name in the table; the first is the baseline")
        .argument::<compare::Way>("NAME=FOLDER")
        .many();
    let jobs = jobs_argument();
    let why = why_argument();
    let vary = bpaf::pure(false);
    bpaf::construct!(compare::Options { bench, sites, days, seeds, ways, jobs, why, vary })
        .map(Command::Compare)
        .to_options()
        .descr("Compare versions of the system on the same days and seeds of the users' bench")
        .command("compare")
}

fn play_days_command() -> impl Parser<Command> {
    let bench = bench_argument();
    let sites = sites_argument();
    let days = bpaf::long("day")
        .help("File of a day; by default all in deploy/days")
        .argument::<String>("FILE")
        .some("no day")
        .fallback_with(|| compare::day_files(Path::new("deploy/days")));
    let seeds = bpaf::long("seeds").help("Seeds of each day").argument("COUNT").fallback(1);
    let ways = bpaf::pure(vec![compare::Way { name: "here".into(), folder: ".".into() }]);
    let jobs = jobs_argument();
    let why = why_argument();
    let vary = bpaf::pure(true);
    bpaf::construct!(compare::Options { bench, sites, days, seeds, ways, jobs, why, vary })
        .map(Command::PlayDays)
        .to_options()
        .descr("Play days of our own on the users' bench, with varied moments and sizes")
        .command("play-days")
}

fn soak_command() -> impl Parser<Command> {
    let seed = bpaf::long("seed").help("First seed").argument("SEED").fallback(1);
    let minutes = bpaf::long("minutes").help("Duration in minutes").argument("MINUTES").fallback(1);
    bpaf::construct!(Command::Soak(seed, minutes))
        .to_options()
        .descr("Run the simulated core under random faults")
        .command("soak")
}

fn soak_processes() -> impl Parser<Command> {
    let seed = bpaf::long("seed").help("First seed").argument("SEED").fallback(1);
    let count = bpaf::long("count").help("Number of seeds").argument("COUNT").fallback(6);
    let seconds = bpaf::long("seconds")
        .help("Duration of the faults of each seed")
        .argument("SECONDS")
        .fallback(10);
    let busy = bpaf::long("busy")
        .help("Number of processes that keep processors busy meanwhile")
        .argument("COUNT")
        .fallback(0);
    let hold_ms = bpaf::long("hold-ms")
        .help("Time for which clients hold back the first request on a flow of a burst")
        .argument("MS")
        .fallback(0);
    let outages = bpaf::long("outages")
        .help("Also suspend processes for seconds beside other faults, and let servers crash for good")
        .switch();
    bpaf::construct!(soak::Series { seed, count, seconds, busy, hold_ms, outages })
        .map(Command::SoakProcesses)
        .to_options()
        .descr("Run the real programs over stand-ins under random faults")
        .command("soak-processes")
}

fn busy() -> impl Parser<Command> {
    bpaf::pure(Command::Busy)
        .to_options()
        .descr("Keep one processor busy until the process is killed")
        .command("busy")
}

fn capacity_point() -> impl Parser<Measurement> {
    let name = bpaf::positional::<String>("KIND");
    let count = bpaf::positional::<u32>("COUNT");
    bpaf::construct!(name, count)
        .parse(|(name, count)| {
            measure::capacity::Point::of(&name, count).ok_or("allowed: members, agents, classes")
        })
        .map(Measurement::CapacityPoint)
        .to_options()
        .descr("One point of the capacity measurement, in this process")
        .command("capacity-point")
}

fn path_measurement() -> impl Parser<Measurement> {
    bpaf::long("flows")
        .help("Flows to open, one after another")
        .argument("COUNT")
        .fallback(200)
        .map(Measurement::Path)
        .to_options()
        .descr("Latency of a call, and control traffic")
        .command("path")
}

fn opening_measurement() -> impl Parser<Measurement> {
    bpaf::long("mute-ms")
        .help("Time for which all replies to the caller are lost")
        .argument("MS")
        .fallback(0)
        .map(Measurement::Opening)
        .to_options()
        .descr("Time to open a flow while replies to its caller are lost")
        .command("opening")
}

fn platform() -> impl Parser<Command> {
    bpaf::positional("ADDRESS")
        .map(Command::Platform)
        .to_options()
        .descr("Stand-in for the platform")
        .command("platform")
}

fn fabric() -> impl Parser<Command> {
    bpaf::positional("FILE")
        .map(Command::Fabric)
        .to_options()
        .descr("Stand-in for the fabric")
        .command("fabric")
}

fn backend() -> impl Parser<Command> {
    bpaf::positional("FILE")
        .map(Command::Backend)
        .to_options()
        .descr("Stand-in for a backend server")
        .command("backend")
}

fn relay() -> impl Parser<Command> {
    let from = bpaf::positional("FROM");
    let to = bpaf::positional("TO");
    bpaf::construct!(Command::Relay(from, to))
        .to_options()
        .descr("Plain UDP relay, a baseline")
        .command("relay")
}
