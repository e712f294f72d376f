//! See the crate's description in its manifest.
