//! Shared keys: one is used, older and newer ones are accepted, so that a rotation breaks no flow.

use std::collections::BTreeMap;
use std::fmt;

use aes::Aes128;
use aes::cipher::KeyInit;
use ring::hmac;

/// Number of a key, visible in each frame and connection ID.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Index(pub u8);

/// Length of a shared key in bytes.
pub const LENGTH: usize = 32;

/// What is derived from one shared key. Never printed.
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

/// All keys that are accepted and the one that is used.
#[derive(Clone, Debug)]
pub struct Ring {
    keys: BTreeMap<Index, Key>,
    used: Index,
}

/// Why a key ring could not be made.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    /// A key text that is not 64 hexadecimal digits.
    #[error("key {0}: must be {digits} hexadecimal digits", digits = 2 * LENGTH)]
    Text(u8),
    /// The used index has no key.
    #[error("used key {0}: no key with this index is given")]
    Unused(u8),
}

impl Ring {
    /// A ring of keys given as hexadecimal text by index.
    ///
    /// # Errors
    /// Names the index of the first key that is malformed, or a used index without a key.
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

    /// The key with this index, if it is accepted.
    #[must_use]
    pub fn get(&self, index: Index) -> Option<&Key> {
        self.keys.get(&index)
    }

    /// The key for what is sent now, and its index.
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
