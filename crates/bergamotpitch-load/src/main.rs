//! The `bergamotpitch-load` binary.

fn main() {}
