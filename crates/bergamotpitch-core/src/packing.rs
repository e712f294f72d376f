//! Packing: documents are compressed where they are stored or sent.
//!
//! A sheet of 6,500 teams and 5,900 upstreams is 3.5 MB of JSON; the platform holds values up to
//! 1 MB. Most of it repeats, so that it packs into a fraction.

use miniz_oxide::deflate::compress_to_vec_zlib;
use miniz_oxide::inflate::decompress_to_vec_zlib_with_limit;

use crate::errors::{Result, unreadable_error};

/// Largest document that is unpacked, in bytes.
pub const UNPACKED_BYTES: usize = 32 << 20;

/// Effort of packing, as zlib counts it.
const LEVEL: u8 = 6;

/// Effort of packing what is packed while others wait for it.
const FAST_LEVEL: u8 = 1;

/// `pack` compresses a document.
///
/// ```
/// use bergamotpitch_core::packing::{pack, unpack};
/// let text = "a team has a name and a share; ".repeat(100);
/// let packed = pack(text.as_bytes());
/// assert!(packed.len() < text.len() / 10);
/// assert_eq!(unpack("sheet", &packed).unwrap(), text.as_bytes());
/// ```
pub fn pack(document: &[u8]) -> Vec<u8> {
    compress_to_vec_zlib(document, LEVEL)
}

/// `pack_fast` compresses bytes of any form at a fraction of the time and to somewhat more.
///
/// ```
/// use bergamotpitch_core::packing::{pack_fast, unpack_bytes};
/// let bytes = [1, 2, 3, 4].repeat(1_000);
/// let packed = pack_fast(&bytes);
/// assert!(packed.len() < bytes.len() / 10);
/// assert_eq!(unpack_bytes("entries", &packed).unwrap(), bytes);
/// ```
pub fn pack_fast(bytes: &[u8]) -> Vec<u8> {
    compress_to_vec_zlib(bytes, FAST_LEVEL)
}

/// `unpack_bytes` returns bytes that were packed.
///
/// # Errors
///
/// Fails when they are damaged, or more than [`UNPACKED_BYTES`] of them were packed.
pub fn unpack_bytes(file: &str, packed: &[u8]) -> Result<Vec<u8>> {
    // A few kilobytes can be made to unpack into gigabytes; without the limit they would end the
    // process.
    decompress_to_vec_zlib_with_limit(packed, UNPACKED_BYTES)
        .map_err(|error| unreadable_error(file, format!("cannot be unpacked: {error}")))
}

/// `unpack` returns a document that was packed; one that was not packed is returned as it is.
///
/// # Errors
///
/// Fails when the bytes are damaged, or the document is larger than [`UNPACKED_BYTES`].
pub fn unpack(file: &str, packed: &[u8]) -> Result<Vec<u8>> {
    // JSON opens with a bracket or white space, what is packed with a byte that is neither.
    let is_plain = packed
        .first()
        .is_none_or(|byte| byte.is_ascii_whitespace() || matches!(byte, b'{' | b'[' | b'/'));
    if is_plain {
        return Ok(packed.to_vec());
    }
    unpack_bytes(file, packed)
}
