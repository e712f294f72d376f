//! The `bergamotpitch-router` binary.

fn main() {}
