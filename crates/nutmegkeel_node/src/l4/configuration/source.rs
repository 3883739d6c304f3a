//! The configuration as the operator wrote it, for processes that ask.

use std::io::{self, Read, Write};
use std::sync::{Arc, Mutex};

use flate2::Compression;
use flate2::read::GzDecoder;
use flate2::write::GzEncoder;
use log::warn;
use nutmegkeel_core::l4::route::Table;
use nutmegkeel_platform::configuration;

use crate::lock::lock;
use crate::web::Answer;

/// Longest text of a configuration, in bytes: the store holds values of a megabyte, which fits 4,000 routes.
const LARGEST: u64 = 4 << 20;

/// The configuration as it was written, for balancers that ask.
#[derive(Clone, Debug, Default)]
pub struct Source {
    newest: Arc<Mutex<Newest>>,
}

#[derive(Debug, Default)]
struct Newest {
    version: u64,
    text: Text,
}

/// The text of a configuration.
#[derive(Debug)]
enum Text {
    /// As the operator wrote it.
    Plain(Vec<u8>),
    /// Compressed, as balancers hand it to each other.
    Packed(Vec<u8>),
}

impl Default for Text {
    fn default() -> Self {
        Self::Plain(Vec::new())
    }
}

impl Source {
    /// The newest text, compressed. It is compressed when it is first asked for: most balancers have it
    /// from another one, and keep it as it came.
    ///
    /// Guards against a change that is in force seconds later on half of a failure domain: hosts have
    /// links of 10 Mbit/s, and a delegate hands the text to all others there one after the other.
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

    /// Version of the newest configuration; zero if there is none.
    pub(super) fn version(&self) -> u64 {
        lock(&self.newest).version
    }

    /// What a process that asks for the newest text is told.
    pub(in crate::l4) fn answer(&self) -> Answer {
        if lock(&self.newest).version == 0 {
            return Answer::new(404, "");
        }
        Answer::new(200, self.packed())
    }

    /// Takes in a text as the operator wrote it; returns its routes. One that cannot be read changes nothing.
    pub(super) fn take(&self, bytes: &[u8]) -> Option<Table> {
        self.take_as(bytes, || Text::Plain(bytes.to_vec()))
    }

    /// The same for one that another balancer handed over.
    pub(super) fn take_packed(&self, packed: Vec<u8>) -> Option<Table> {
        let plain = match unpack(&packed) {
            Ok(plain) => plain,
            Err(fault) => {
                warn!(event = "configuration_unreadable", fault:% = fault; "cannot be unpacked");
                return None;
            }
        };
        self.take_as(&plain, || Text::Packed(packed))
    }

    fn take_as(&self, plain: &[u8], text: impl FnOnce() -> Text) -> Option<Table> {
        let decoded = match configuration::decode(plain) {
            Ok(decoded) => decoded,
            Err(fault) => {
                warn!(event = "configuration_unreadable", fault:% = fault; "kept the one in force");
                return None;
            }
        };
        for fault in &decoded.faults {
            warn!(event = "route_left_out", fault:% = fault; "route not understood");
        }
        let mut newest = lock(&self.newest);
        if decoded.table.version > newest.version {
            *newest = Newest { version: decoded.table.version, text: text() };
        }
        Some(decoded.table)
    }
}

fn pack(plain: &[u8]) -> Vec<u8> {
    let mut encoder = GzEncoder::new(Vec::new(), Compression::fast());
    // Writing into memory has no way to fail; an empty text is refused by whoever fetches it.
    encoder.write_all(plain).and_then(|()| encoder.finish()).unwrap_or_else(|error| {
        warn!(event = "configuration_not_packed", fault:% = error; "cannot be handed over");
        Vec::new()
    })
}

fn unpack(packed: &[u8]) -> io::Result<Vec<u8>> {
    let mut plain = Vec::new();
    GzDecoder::new(packed).take(LARGEST).read_to_end(&mut plain)?;
    Ok(plain)
}
