//! Deterministic bodies that a caller can verify byte by byte.

use bytes::Bytes;

/// Length of one part of a long body, in bytes.
pub const PART: usize = 64 * 1024;

/// Incremental hash over a body.
pub type Hasher = blake3::Hasher;

/// Returns one part of the long body, which is the same at every server.
#[must_use]
pub fn part(index: usize) -> Bytes {
    let mut part = vec![0; PART];
    let mut source = blake3::Hasher::new();
    source.update(&index.to_be_bytes());
    source.finalize_xof().fill(&mut part);
    part.into()
}

/// Returns the hash of the long body of `parts` parts.
#[must_use]
pub fn hash(parts: usize) -> String {
    let mut hasher = Hasher::new();
    for index in 0..parts {
        hasher.update(&part(index));
    }
    hasher.finalize().to_hex().to_string()
}

/// Returns the answer to a status check.
#[must_use]
pub fn status(number: u64) -> String {
    format!("request {number} is being processed\n").repeat(20)
}
