//! The bytes of a list of flows as it lies in the store: a version, then the list.

use nutmegkeel_core::l4::checkpoint::Checkpoint;

/// Version of the encoding. A process of another version does without the list.
const VERSION: u8 = 3;

/// Encodes a list.
#[must_use]
pub fn encode(checkpoint: &Checkpoint) -> Vec<u8> {
    postcard::to_extend(checkpoint, vec![VERSION]).unwrap_or_else(|error| {
        // Encoding into a growing buffer has no way to fail; an empty value would not be understood.
        log::error!("list of flows cannot be encoded: {error}");
        Vec::new()
    })
}

/// Decodes a list; none if it is of another version or damaged.
#[must_use]
pub fn decode(bytes: &[u8]) -> Option<Checkpoint> {
    let (version, rest) = bytes.split_first()?;
    if *version != VERSION {
        return None;
    }
    postcard::from_bytes(rest).ok()
}
