//! The `bergamotpitch-ctl` binary.

fn main() {}
