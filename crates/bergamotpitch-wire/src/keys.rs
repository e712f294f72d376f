//! Keys: derived from the secret that all instances share.

/// `KeyBytes` is one derived key.
pub type KeyBytes = [u8; 32];

/// Bytes of a message authentication code.
pub const CODE_BYTES: usize = 16;

/// `Code` is a message authentication code: the first bytes of a keyed BLAKE3 hash.
pub type Code = [u8; CODE_BYTES];

/// `Keys` are the keys of one fleet, one for each use, so that a text sealed for one use never
/// passes for another.
#[derive(Clone)]
pub struct Keys {
    /// Seals datagrams.
    pub datagram: KeyBytes,
    /// Seals requests for a sheet.
    pub sheet_request: KeyBytes,
    /// Seals replies with a sheet.
    pub sheet_reply: KeyBytes,
}

impl Keys {
    /// `from_shared_key` derives the keys from the shared secret in the settings.
    ///
    /// ```
    /// use bergamotpitch_wire::Keys;
    /// let keys = Keys::from_shared_key("a secret of the whole fleet");
    /// assert_ne!(keys.datagram, keys.sheet_reply);
    /// ```
    pub fn from_shared_key(shared_key: &str) -> Self {
        let derive = |context: &str| blake3::derive_key(context, shared_key.as_bytes());
        Self {
            datagram: derive("bergamotpitch 2026-12 datagram"),
            sheet_request: derive("bergamotpitch 2026-12 sheet request"),
            sheet_reply: derive("bergamotpitch 2026-12 sheet reply"),
        }
    }
}

/// `code_of` computes the code of several byte strings in order.
///
/// Callers see to it that the boundaries between the parts are themselves part of the text.
pub fn code_of(key: &KeyBytes, parts: &[&[u8]]) -> Code {
    let mut hasher = blake3::Hasher::new_keyed(key);
    for part in parts {
        hasher.update(part);
    }
    let mut code = Code::default();
    code.copy_from_slice(&hasher.finalize().as_bytes()[..CODE_BYTES]);
    code
}

/// `codes_agree` compares two codes in constant time.
pub fn codes_agree(left: &Code, right: &Code) -> bool {
    // An early exit at the first differing byte would let a stranger find a code byte by byte from
    // the time an answer takes; the hash type compares in constant time.
    widen(left) == widen(right)
}

fn widen(code: &Code) -> blake3::Hash {
    let mut bytes = [0; blake3::OUT_LEN];
    bytes[..CODE_BYTES].copy_from_slice(code);
    blake3::Hash::from_bytes(bytes)
}
