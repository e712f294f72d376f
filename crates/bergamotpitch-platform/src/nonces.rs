//! Nonces: random numbers by which a writer knows its own write again.

/// `fresh_nonce` makes a nonce of 128 random bits in hexadecimal.
///
/// ```
/// use bergamotpitch_platform::nonces::fresh_nonce;
/// assert_ne!(fresh_nonce(), fresh_nonce());
/// ```
pub fn fresh_nonce() -> String {
    format!("{:032x}", fresh_number())
}

/// `fresh_number` makes a nonce of 128 random bits.
///
/// # Panics
///
/// When the system has no random source; nothing can be claimed safely then.
///
/// ```
/// use bergamotpitch_platform::nonces::fresh_number;
/// assert_ne!(fresh_number(), fresh_number());
/// ```
pub fn fresh_number() -> u128 {
    let mut bytes = [0; 16];
    getrandom::fill(&mut bytes).expect("the system has a random source");
    u128::from_le_bytes(bytes)
}
