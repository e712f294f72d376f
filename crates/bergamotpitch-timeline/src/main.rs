//! The `bergamotpitch-timeline` binary.

fn main() {}
