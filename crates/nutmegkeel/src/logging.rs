//! Structured logs: one JSON object per line on standard output.

use log::LevelFilter;
use log4rs::append::console::{ConsoleAppender, Target};
use log4rs::config::{Appender, Config, Root};
use log4rs::encode::json::JsonEncoder;

/// Name of the one appender.
const APPENDER: &str = "stdout";

/// Starts logging; a process that cannot log still serves, and says so.
pub(crate) fn start() {
    let appender = ConsoleAppender::builder()
        .target(Target::Stdout)
        .encoder(Box::new(JsonEncoder::new()))
        .build();
    let config = Config::builder()
        .appender(Appender::builder().build(APPENDER, Box::new(appender)))
        .build(Root::builder().appender(APPENDER).build(LevelFilter::Info));
    let started = config
        .map_err(|error| error.to_string())
        .and_then(|config| log4rs::init_config(config).map_err(|error| error.to_string()));
    if let Err(error) = started {
        eprintln!("logging did not start: {error}");
    }
}
