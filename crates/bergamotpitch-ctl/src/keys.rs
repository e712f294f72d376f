//! Hashes of bearer keys, as they stand in the sheet.

/// `hash_key` returns the BLAKE3 hash of a bearer key, in hexadecimal.
///
/// ```
/// use bergamotpitch_ctl::keys::hash_key;
/// assert_eq!(hash_key("key-tulip-lane").len(), 64);
/// ```
pub fn hash_key(key: &str) -> String {
    blake3::hash(key.as_bytes()).to_hex().to_string()
}
