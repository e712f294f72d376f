//! Documents come back whole from packing, and damage is refused.

use bergamotpitch_core::packing::{UNPACKED_BYTES, pack, unpack};

#[test]
fn plain_document() {
    let text = b" { \"version\": 1 }";
    assert_eq!(unpack("sheet", text), Ok(text.to_vec()));
}

/// A value in the platform, or a peer's reply, was damaged on its way. Taken as a sheet, it would
/// give teams shares that nobody wrote.
#[test]
fn damaged_document() {
    let text = "team ".repeat(1_000);
    let packed = pack(text.as_bytes());
    assert_eq!(unpack("sheet", &packed), Ok(text.clone().into_bytes()));
    let mut unnoticed = 0;
    for at in 0..packed.len() {
        let cut = &packed[..at.max(1)];
        assert!(unpack("sheet", cut).is_err(), "cut at {at}");
        let mut flipped = packed.clone();
        flipped[at] ^= 0x10;
        // Some bits only fill up a byte; all others must show.
        if let Ok(unpacked) = unpack("sheet", &flipped) {
            assert_eq!(unpacked, text.as_bytes(), "flipped at {at}");
            unnoticed += 1;
        }
    }
    assert!(unnoticed <= 1, "{unnoticed} flips went unnoticed");
}

/// Someone stores a few kilobytes that unpack into more than the instance has memory. Without a
/// limit, every instance that reads them is ended by the system.
#[test]
fn swollen_document() {
    let packed = pack(&vec![b'a'; UNPACKED_BYTES + 1]);
    assert!(unpack("sheet", &packed).is_err());
}
