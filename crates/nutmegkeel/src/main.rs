//! Binary that runs a balancer or an agent, and the commands and queries of operators.

mod arguments;
mod explain;
mod logging;
mod operator;
mod platform;
mod run;

use std::process::ExitCode;

use arguments::Command;

fn main() -> ExitCode {
    let command = arguments::parse();
    let result = match command {
        Command::Balancer(file) => run::balancer(&file),
        Command::Agent(file) => run::agent(&file),
        Command::PlatformBalancer(policy) => run::platform_balancer(policy),
        Command::PlatformAgent(policy) => run::platform_agent(policy),
        Command::PlatformStatus(at, json) => platform::status(at, json).map_err(Into::into),
        Command::CheckPlatformSettings => run::check_platform_settings(),
        Command::Explain(query) => explain::run(&query).map_err(Into::into),
        Command::CheckSettings(file) => run::check_settings(&file),
        Command::ListClasses(access) => operator::list_classes(&access).map_err(Into::into),
        Command::ShowClass(access, name) => {
            operator::show_class(&access, &name).map_err(Into::into)
        }
        Command::SetClass(access, change) => {
            operator::set_class(&access, change).map_err(Into::into)
        }
        Command::Status(access, class, json) => {
            operator::status(&access, class.as_deref(), json).map_err(Into::into)
        }
        Command::Drain(access, address) => operator::drain(&access, address).map_err(Into::into),
    };
    logging::finish();
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("{fault}");
            fault.exit_code()
        }
    }
}
