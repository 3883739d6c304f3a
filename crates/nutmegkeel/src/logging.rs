//! Structured logs: one JSON object per line on standard output.

use log::LevelFilter;
use log4rs::config::{Appender, Config, Root};
use nutmegkeel_node::output::Output;

/// Name of the only appender.
const APPENDER: &str = "stdout";

/// Starts logging. A process that cannot log reports the error on standard error and serves anyway.
pub(crate) fn start() {
    if let Err(error) = try_start() {
        eprintln!("logging did not start: {error}");
    }
}

/// Flushes pending log lines; waits only for a limited time.
pub(crate) fn finish() {
    log::logger().flush();
}

fn try_start() -> Result<(), String> {
    let output = Output::spawn(Box::new(std::io::stdout())).map_err(|error| error.to_string())?;
    let config = Config::builder()
        .appender(Appender::builder().build(APPENDER, Box::new(output)))
        .build(Root::builder().appender(APPENDER).build(LevelFilter::Info))
        .map_err(|error| error.to_string())?;
    log4rs::init_config(config).map(|_| ()).map_err(|error| error.to_string())
}
