//! The developers' tool: `cargo dev demo`, and the stand-ins as processes.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Parser;
use nutmegkeel_dev::{demo, standin};

#[derive(Clone, Debug)]
enum Command {
    Demo(demo::Options),
    Platform(std::net::SocketAddr),
    Fabric(PathBuf),
    Backend(PathBuf),
}

fn main() -> ExitCode {
    let commands = bpaf::construct!([demo_command(), platform(), fabric(), backend()]);
    let command = commands.to_options().descr("Demo, stand-ins and measurements").run();
    let ended = match command {
        Command::Demo(options) => demo::run(&options),
        Command::Platform(address) => standin::platform::spawn(address).map(|_handle| {
            loop {
                std::thread::park();
            }
        }),
        Command::Fabric(file) => standin::fabric::run(&file).map(|()| true),
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
    let seconds =
        bpaf::long("seconds").help("How long the callers call").argument("SECONDS").fallback(16);
    let keep = bpaf::long("keep")
        .help("Keep everything running afterwards, until Enter is pressed")
        .switch();
    bpaf::construct!(demo::Options { seconds, keep })
        .map(Command::Demo)
        .to_options()
        .descr("Run the whole system over stand-ins, with stops, kills and a drain")
        .command("demo")
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
