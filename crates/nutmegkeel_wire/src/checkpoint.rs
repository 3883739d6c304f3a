//! Encoding of a list of flows in the store: a version byte, then the list.

use nutmegkeel_core::l4::checkpoint::Checkpoint;

/// Version of the encoding. A process that uses another version ignores the list.
const VERSION: u8 = 3;

/// Encodes a list.
#[must_use]
pub fn encode(checkpoint: &Checkpoint) -> Vec<u8> {
    postcard::to_extend(checkpoint, vec![VERSION]).unwrap_or_else(|error| {
        // Encoding into a growable buffer cannot fail. Readers ignore an empty value.
        log::error!("list of flows cannot be encoded: {error}");
        Vec::new()
    })
}

/// Decodes a list; returns `None` if it has another version or is malformed.
#[must_use]
pub fn decode(bytes: &[u8]) -> Option<Checkpoint> {
    let (version, rest) = bytes.split_first()?;
    if *version != VERSION {
        return None;
    }
    postcard::from_bytes(rest).ok()
}
