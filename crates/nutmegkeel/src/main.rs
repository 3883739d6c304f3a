//! The one binary: balancer, agent, and the operator's commands and queries.

mod arguments;
mod logging;
mod run;

use std::process::ExitCode;

use arguments::Command;

fn main() -> ExitCode {
    let command = arguments::parse();
    let ended = match command {
        Command::Balancer(file) => run::balancer(&file),
        Command::Agent(file) => run::agent(&file),
        Command::CheckSettings(file) => run::check_settings(&file),
    };
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("{fault}");
            fault.exit_code()
        }
    }
}
