//! Holds the text of the newest configuration for processes that ask for it.

use std::io::{self, ErrorKind, Read, Write};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use flate2::Compression;
use flate2::read::GzDecoder;
use flate2::write::GzEncoder;
use log::warn;
use nutmegkeel_core::l4::route::Table;
use nutmegkeel_platform::configuration;
use nutmegkeel_platform::transfer::Transfer;

use crate::lock::lock;
use crate::web::Answer;

/// Part of a text's length that compression may add, as a divisor.
const PACKING_DIVISOR: u64 = 64;

/// The newest configuration as it was written, shared between threads.
#[derive(Clone, Debug, Default)]
pub struct Source {
    newest: Arc<Mutex<Configuration>>,
    transfer: Transfer,
}

#[derive(Debug, Default)]
struct Configuration {
    version: u64,
    text: Text,
}

/// The text of a configuration.
#[derive(Debug)]
enum Text {
    /// As the operator wrote it.
    Plain(Vec<u8>),
    /// Compressed, as processes send it to each other.
    Packed(Vec<u8>),
}

impl Default for Text {
    fn default() -> Self {
        Self::Plain(Vec::new())
    }
}

impl Source {
    /// Creates a source without a configuration, for texts within these limits.
    #[must_use]
    pub fn open(transfer: Transfer) -> Self {
        Self { newest: Arc::default(), transfer }
    }

    /// Returns the length of the longest compressed text, in bytes. Compression adds little to a
    /// text that it cannot shorten.
    pub(super) const fn packed_bytes(&self) -> u64 {
        self.transfer.value_bytes.saturating_add(self.transfer.value_bytes / PACKING_DIVISOR)
    }

    /// Returns the time within which a compressed text arrives after it has begun.
    pub(super) const fn packed_time(&self) -> Duration {
        self.transfer.time_for(self.packed_bytes())
    }

    /// Returns the newest text, compressed. It is compressed when it is first requested: most
    /// balancers receive it from another one in compressed form and keep it so.
    ///
    /// Guards against a change that takes effect seconds late on half of a failure domain: hosts
    /// may have links of 10 Mbit/s, and a delegate sends the text to all others in its domain one
    /// after the other.
    fn packed(&self) -> Vec<u8> {
        let mut newest = lock(&self.newest);
        if let Text::Plain(plain) = &newest.text {
            newest.text = Text::Packed(pack(plain));
        }
        match &newest.text {
            Text::Packed(packed) => packed.clone(),
            Text::Plain(_) => Vec::new(),
        }
    }

    /// Returns the version of the newest configuration, or zero if there is none.
    pub(super) fn version(&self) -> u64 {
        lock(&self.newest).version
    }

    /// Returns the answer to a process that asks for the newest text.
    pub(in crate::l4) fn answer(&self) -> Answer {
        if lock(&self.newest).version == 0 {
            return Answer::new(404, "");
        }
        Answer::new(200, self.packed())
    }

    /// Applies a text as the operator wrote it, and returns its routes. One that cannot be read
    /// changes nothing.
    pub(super) fn apply(&self, bytes: &[u8]) -> Option<Table> {
        self.apply_text(bytes, || Text::Plain(bytes.to_vec()))
    }

    /// Applies a compressed text that another process sent, and returns its routes.
    pub(super) fn apply_packed(&self, packed: Vec<u8>) -> Option<Table> {
        let plain = match unpack(&packed, self.transfer.value_bytes) {
            Ok(plain) => plain,
            Err(fault) => {
                warn!(event = "configuration_unreadable", fault:% = fault;
                    "configuration cannot be decompressed");
                return None;
            }
        };
        self.apply_text(&plain, || Text::Packed(packed))
    }

    fn apply_text(&self, plain: &[u8], text: impl FnOnce() -> Text) -> Option<Table> {
        let decoded = match configuration::decode(plain) {
            Ok(decoded) => decoded,
            Err(fault) => {
                warn!(event = "configuration_unreadable", fault:% = fault;
                    "configuration cannot be read, the one in force stays");
                return None;
            }
        };
        for fault in &decoded.faults {
            warn!(event = "route_left_out", fault:% = fault; "invalid route left out");
        }
        let mut newest = lock(&self.newest);
        if decoded.table.version > newest.version {
            *newest = Configuration { version: decoded.table.version, text: text() };
        }
        Some(decoded.table)
    }
}

fn pack(plain: &[u8]) -> Vec<u8> {
    let mut encoder = GzEncoder::new(Vec::new(), Compression::fast());
    // Writing into memory cannot fail. If it did, the empty text would be rejected by the process
    // that fetches it.
    encoder.write_all(plain).and_then(|()| encoder.finish()).unwrap_or_else(|error| {
        warn!(event = "configuration_not_packed", fault:% = error;
            "configuration cannot be compressed for other processes");
        Vec::new()
    })
}

/// Decompresses a text of at most `limit` bytes.
fn unpack(packed: &[u8], limit: u64) -> io::Result<Vec<u8>> {
    let mut plain = Vec::new();
    GzDecoder::new(packed).take(limit.saturating_add(1)).read_to_end(&mut plain)?;
    if u64::try_from(plain.len()).unwrap_or(u64::MAX) > limit {
        return Err(io::Error::new(
            ErrorKind::FileTooLarge,
            format!("text is longer than {limit} bytes"),
        ));
    }
    Ok(plain)
}
