//! Output of log lines: encoded by the logging thread, written by a separate thread that may block.
//!
//! Guards against an output that is not read. A write to a full pipe blocks, and would block every
//! thread that logs, such as those that renew the lease and watch the configuration. Lines that do
//! not fit in the queue are counted and left out.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread;
use std::time::{Duration, Instant};

use log::Record;
use log4rs::append::Append;
use log4rs::encode::Encode;
use log4rs::encode::json::JsonEncoder;
use log4rs::encode::writer::simple::SimpleWriter;
use metrics::counter;

use crate::metric;

/// Number of lines that may wait for the writer: 400 KB at 400 bytes each, and several seconds'
/// worth at the budgets of the busiest kinds.
const QUEUE_CAPACITY: usize = 1_000;

/// Maximum time that a process waits at its end for the last lines to be written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// Interval between two checks whether the last lines are written.
const FLUSH_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// An appender that never blocks.
#[derive(Debug)]
pub struct Output {
    encoder: JsonEncoder,
    lines: SyncSender<Vec<u8>>,
    /// Number of lines that are queued and not yet written.
    pending: Arc<AtomicUsize>,
}

impl Output {
    /// Starts the writing thread.
    ///
    /// # Errors
    /// When the thread cannot be started.
    pub fn spawn(writer: Box<dyn Write + Send>) -> io::Result<Self> {
        let (lines, queued) = sync_channel(QUEUE_CAPACITY);
        let pending = Arc::new(AtomicUsize::new(0));
        let counted = Arc::clone(&pending);
        thread::Builder::new()
            .name("output".to_owned())
            .spawn(move || write_all(&queued, &counted, writer))?;
        Ok(Self { encoder: JsonEncoder::new(), lines, pending })
    }
}

impl Append for Output {
    fn append(&self, record: &Record<'_>) -> anyhow::Result<()> {
        let mut line = SimpleWriter(Vec::new());
        self.encoder.encode(&mut line, record)?;
        self.pending.fetch_add(1, Ordering::Relaxed);
        if self.lines.try_send(line.0).is_err() {
            self.pending.fetch_sub(1, Ordering::Relaxed);
            counter!(metric::LINES_LEFT_OUT, "reason" => "output").increment(1);
        }
        Ok(())
    }

    fn flush(&self) {
        let until = Instant::now() + FLUSH_TIMEOUT;
        while self.pending.load(Ordering::Relaxed) > 0 && Instant::now() < until {
            thread::sleep(FLUSH_POLL_INTERVAL);
        }
    }
}

fn write_all(lines: &Receiver<Vec<u8>>, pending: &AtomicUsize, mut writer: Box<dyn Write + Send>) {
    while let Ok(line) = lines.recv() {
        if writer.write_all(&line).and_then(|()| writer.flush()).is_err() {
            counter!(metric::LINES_LEFT_OUT, "reason" => "output").increment(1);
        }
        pending.fetch_sub(1, Ordering::Relaxed);
    }
}
