//! Parser of the command line.

use std::net::SocketAddr;
use std::path::PathBuf;

use bpaf::Parser;
use nutmegkeel_core::l4::policy::{Mechanism, Policy};

use crate::explain::Query;
use crate::operator::{Access, Change};

/// Command or query that the user requested.
#[derive(Clone, Debug)]
pub(crate) enum Command {
    /// Run a balancer.
    Balancer(PathBuf),
    /// Run an agent.
    Agent(PathBuf),
    /// Run a balancer on the users' platform.
    PlatformBalancer(Policy),
    /// Run an agent on the users' platform.
    PlatformAgent(Policy),
    /// Query: the state of a balancer on the users' platform, as text or JSON.
    PlatformStatus(SocketAddr, bool),
    /// Check the settings file that the platform wrote.
    CheckPlatformSettings,
    /// Query: the history of a flow, or the refusals of flows by cause, from log lines.
    Explain(Query),
    /// Check a settings file.
    CheckSettings(PathBuf),
    /// Query: the classes in force.
    ListClasses(Access),
    /// Query: one class.
    ShowClass(Access, String),
    /// Command: change a class.
    SetClass(Access, Change),
    /// Query: all processes, or those of one class, as text or JSON.
    Status(Access, Option<String>, bool),
    /// Command: drain a process.
    Drain(Access, SocketAddr),
}

/// Parses the command line. Prints help or an error and exits if there is no command to run.
pub(crate) fn parse() -> Command {
    let commands = bpaf::construct!([
        balancer(),
        agent(),
        check_settings(),
        platform(),
        explain(),
        class(),
        status(),
        drain()
    ]);
    commands
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr("Layer-4 load balancer: operators state targets per class of work")
        .footer("Exit codes: 0 done, 2 wrong usage, 3 refused and not run, 4 may have run, 5 not known there")
        .run()
}

fn settings_file() -> impl Parser<PathBuf> {
    bpaf::long("settings").help("Settings file, JSON").argument("FILE")
}

fn access() -> impl Parser<Access> {
    let at = bpaf::long("at").help("Administration address of any balancer").argument("ADDRESS");
    let token_file = bpaf::long("token-file").help("File that holds the token").argument("FILE");
    bpaf::construct!(Access { at, token_file })
}

fn balancer() -> impl Parser<Command> {
    settings_file()
        .map(Command::Balancer)
        .to_options()
        .descr("Run a balancer")
        .footer("Example: nutmegkeel balancer --settings /run/nutmegkeel/balancer.json")
        .command("balancer")
}

fn agent() -> impl Parser<Command> {
    settings_file()
        .map(Command::Agent)
        .to_options()
        .descr("Run the agent on the host of a backend server")
        .footer("Example: nutmegkeel agent --settings /run/nutmegkeel/agent.json")
        .command("agent")
}

fn check_settings() -> impl Parser<Command> {
    bpaf::positional("FILE")
        .map(Command::CheckSettings)
        .to_options()
        .descr("Check a settings file and name every fault in it")
        .footer("Example: nutmegkeel check-settings balancer.json")
        .command("check-settings")
}

fn policy() -> impl Parser<Policy> {
    bpaf::long("without")
        .help("Switch a mechanism off, to measure its effect or in an emergency; may be repeated")
        .argument::<Mechanism>("NAME")
        .many()
        .map(Policy::without)
}

fn platform() -> impl Parser<Command> {
    let balancer = policy()
        .map(Command::PlatformBalancer)
        .to_options()
        .descr("Run a balancer for flows without a routing token")
        .command("balancer");
    let agent = policy()
        .map(Command::PlatformAgent)
        .to_options()
        .descr("Run the agent for flows without a routing token, on the host of a backend server")
        .command("agent");
    let check_settings = bpaf::pure(Command::CheckPlatformSettings)
        .to_options()
        .descr("Check the settings file that the platform wrote")
        .command("check-settings");
    let at = bpaf::long("at")
        .help("A balancer's address for messages: its host, and the first internal port")
        .argument("ADDRESS");
    let json = bpaf::long("json").help("Print JSON").switch();
    let status = bpaf::construct!(Command::PlatformStatus(at, json))
        .to_options()
        .descr("Show the state of a balancer: configuration, evacuated failure domains, agents")
        .footer("Example: nutmegkeel platform status --at 10.1.0.10:7720")
        .command("status");
    bpaf::construct!([balancer, agent, check_settings, status])
        .to_options()
        .descr("Run on the users' platform, with the settings file that it writes")
        .footer("Example: nutmegkeel platform balancer")
        .command("platform")
}

fn explain() -> impl Parser<Command> {
    let flow = bpaf::long("flow")
        .help("Only this flow: CLIENT:PORT>SERVICE:PORT, or a part of it")
        .argument::<String>("FLOW")
        .optional();
    let files = bpaf::positional::<PathBuf>("FILE").help("Logs; standard input if none").many();
    bpaf::construct!(Query { flow, files })
        .map(Command::Explain)
        .to_options()
        .descr("Show the history of a flow, or count refusals by cause, from log lines")
        .footer("Example: nutmegkeel explain --flow '100.64.0.7:40001>198.18.0.1:443' *.log")
        .command("explain")
}

fn class() -> impl Parser<Command> {
    bpaf::construct!([list_classes(), show_class(), set_class()])
        .to_options()
        .descr("List, show or change classes of work")
        .command("class")
}

fn list_classes() -> impl Parser<Command> {
    access()
        .map(Command::ListClasses)
        .to_options()
        .descr("List the classes in force")
        .footer("Example: nutmegkeel class list --at 10.0.0.1:7002 --token-file token")
        .command("list")
}

fn show_class() -> impl Parser<Command> {
    let access = access();
    let name = bpaf::positional("NAME");
    bpaf::construct!(Command::ShowClass(access, name))
        .to_options()
        .descr("Show one class as JSON")
        .footer("Example: nutmegkeel class show --at 10.0.0.1:7002 --token-file token intake")
        .command("show")
}

fn set_class() -> impl Parser<Command> {
    let access = access();
    let change = change();
    bpaf::construct!(Command::SetClass(access, change))
        .to_options()
        .descr("Change the targets of a class, or create a class; targets that are left out stay")
        .footer(
            "Example: nutmegkeel class set --at 10.0.0.1:7002 --token-file token \
             --leave-within-ms 1500 intake",
        )
        .command("set")
}

fn change() -> impl Parser<Change> {
    let imbalance_percent = bpaf::long("imbalance-percent")
        .help("Busiest backend server over the mean, 101 to 1000 percent")
        .argument("PERCENT")
        .optional();
    let leave_within_ms = bpaf::long("leave-within-ms")
        .help("Time within which a leaving backend server stops accepting calls, 500 to 60000")
        .argument("MS")
        .optional();
    let settle_within_ms = bpaf::long("settle-within-ms")
        .help("Time within which a change is in force everywhere, 1000 to 60000")
        .argument("MS")
        .optional();
    let deadline_ms = bpaf::long("deadline-ms")
        .help("Deadline of a request that states none, 50 to 600000")
        .argument("MS")
        .optional();
    let id = bpaf::long("id")
        .help("Identity of the change; give the same one to repeat a change that is in doubt")
        .argument("ID")
        .optional();
    let name = bpaf::positional("NAME");
    bpaf::construct!(Change {
        imbalance_percent,
        leave_within_ms,
        settle_within_ms,
        deadline_ms,
        id,
        name
    })
}

fn status() -> impl Parser<Command> {
    let access = access();
    let class = bpaf::long("class").help("Only this class").argument("NAME").optional();
    let json = bpaf::long("json").help("Print JSON").switch();
    bpaf::construct!(Command::Status(access, class, json))
        .to_options()
        .descr("Show all processes, and where the newest configuration is in force")
        .footer("Example: nutmegkeel status --at 10.0.0.1:7002 --token-file token --class intake")
        .command("status")
}

fn drain() -> impl Parser<Command> {
    let access = access();
    let address = bpaf::positional("ADDRESS").help("Address for frames, as `status` shows it");
    bpaf::construct!(Command::Drain(access, address))
        .to_options()
        .descr("Drain a process: it gets no new flows, finishes open ones and exits")
        .footer("Example: nutmegkeel drain --at 10.0.0.1:7002 --token-file token 10.0.3.7:7000")
        .command("drain")
}
