//! Shared keys: one is used for sending, and others are accepted too, so that a key rotation breaks
//! no flow.

use std::collections::BTreeMap;
use std::fmt;

use aes::Aes128;
use aes::cipher::KeyInit;
use ring::hmac;

/// Index of a key, sent in clear in each frame and connection ID.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Index(pub u8);

/// Length of a shared key in bytes.
pub const LENGTH: usize = 32;

/// Keys derived from one shared key. `Debug` does not print them.
#[derive(Clone)]
pub struct Key {
    pub(crate) frame: [u8; LENGTH],
    pub(crate) cid_tag: [u8; LENGTH],
    pub(crate) cid_block: Aes128,
    pub(crate) reset: hmac::Key,
}

impl fmt::Debug for Key {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("Key(secret)")
    }
}

impl Key {
    fn derive(secret: &[u8; LENGTH]) -> Self {
        let block = blake3::derive_key("nutmegkeel connection id block v1", secret);
        let reset = blake3::derive_key("nutmegkeel stateless reset v1", secret);
        let mut block_key = [0; 16];
        block_key.copy_from_slice(&block[..16]);
        Self {
            frame: blake3::derive_key("nutmegkeel frame v1", secret),
            cid_tag: blake3::derive_key("nutmegkeel connection id tag v1", secret),
            cid_block: Aes128::new(&block_key.into()),
            reset: hmac::Key::new(hmac::HMAC_SHA256, &reset),
        }
    }
}

/// All accepted keys, one of which is used for sending.
#[derive(Clone, Debug)]
pub struct Ring {
    keys: BTreeMap<Index, Key>,
    used: Index,
}

/// Reason why a key ring is invalid.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    /// The text of a key is not 64 hexadecimal digits.
    #[error("key {0}: must be {digits} hexadecimal digits", digits = 2 * LENGTH)]
    Text(u8),
    /// The used index has no key.
    #[error("used key {0}: no key with this index is given")]
    Unused(u8),
}

impl Ring {
    /// Creates a ring from keys as hexadecimal text by index.
    ///
    /// # Errors
    /// If a key is malformed or the used index has no key.
    pub fn open(texts: &BTreeMap<u8, String>, used: u8) -> Result<Self, Fault> {
        let mut keys = BTreeMap::new();
        for (index, text) in texts {
            let secret = parse_hex(text).ok_or(Fault::Text(*index))?;
            keys.insert(Index(*index), Key::derive(&secret));
        }
        if !keys.contains_key(&Index(used)) {
            return Err(Fault::Unused(used));
        }
        Ok(Self { keys, used: Index(used) })
    }

    /// Returns the key with this index if it is accepted.
    #[must_use]
    pub fn get(&self, index: Index) -> Option<&Key> {
        self.keys.get(&index)
    }

    /// Returns the key used for sending and its index.
    #[must_use]
    pub fn used(&self) -> (Index, &Key) {
        (self.used, &self.keys[&self.used])
    }
}

fn parse_hex(text: &str) -> Option<[u8; LENGTH]> {
    let text = text.trim();
    if text.len() != 2 * LENGTH || !text.is_ascii() {
        return None;
    }
    let mut secret = [0; LENGTH];
    for (at, byte) in secret.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&text[2 * at..2 * at + 2], 16).ok()?;
    }
    Some(secret)
}
