//! The `bergamotpitch-standin` binary.

fn main() {}
