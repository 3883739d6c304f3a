//! Tests the output of log lines with a blocked reader.

use std::io::{self, Write};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use log::{Level, Record};
use log4rs::append::Append;
use nutmegkeel_node::output::Output;

/// An output that is not read: the first write never returns.
struct Stalled;

impl Write for Stalled {
    fn write(&mut self, _: &[u8]) -> io::Result<usize> {
        loop {
            std::thread::park();
        }
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// An output that stores what is written.
#[derive(Clone, Default)]
struct Buffer(Arc<Mutex<Vec<u8>>>);

impl Write for Buffer {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn log(output: &Output, text: &str) {
    let mut record = Record::builder();
    let record = record.level(Level::Info);
    output.append(&record.args(format_args!("{text}")).build()).expect("a line can be encoded");
}

/// Guards against an expired lease and an old configuration because the log is not read: the pipe
/// is full, and the threads that renew the lease and watch the configuration block in a write.
#[test]
fn blocked_output_does_not_block_logging_threads() {
    let output = Output::spawn(Box::new(Stalled)).expect("a thread can be started");
    let began = Instant::now();

    for number in 0..20_000 {
        log(&output, &format!("line {number}"));
    }
    output.flush();

    assert!(began.elapsed() < Duration::from_secs(5), "{:?}", began.elapsed());
}

#[test]
fn flush_waits_for_queued_lines() {
    let buffer = Buffer::default();
    let output = Output::spawn(Box::new(buffer.clone())).expect("a thread can be started");

    log(&output, "first");
    log(&output, "last");
    output.flush();

    let written = buffer.0.lock().unwrap_or_else(PoisonError::into_inner).clone();
    let text = String::from_utf8(written).expect("lines are text");
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(lines.len(), 2, "{text}");
    assert!(lines[1].contains("\"last\""), "{text}");
}
