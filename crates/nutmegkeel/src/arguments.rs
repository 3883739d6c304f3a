//! The command line.

use std::path::PathBuf;

use bpaf::Parser;

/// What the user asked for.
#[derive(Clone, Debug)]
pub(crate) enum Command {
    /// Run a balancer.
    Balancer(PathBuf),
    /// Run an agent.
    Agent(PathBuf),
    /// Check a settings file.
    CheckSettings(PathBuf),
}

/// Parses the command line; prints help or the fault and exits when there is nothing to run.
pub(crate) fn parse() -> Command {
    let commands = bpaf::construct!([balancer(), agent(), check_settings()]);
    commands
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr("Layer-4 load balancer: operators state targets per class of work")
        .run()
}

fn settings_file() -> impl Parser<PathBuf> {
    bpaf::long("settings").help("Settings file, JSON").argument("FILE")
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
        .descr("Run the agent beside a backend server")
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
