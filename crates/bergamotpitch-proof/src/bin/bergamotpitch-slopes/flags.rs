//! Command line of the slopes tool.

// The macro writes the items; their docs are the help texts in it.
#![allow(missing_docs)]

use std::path::PathBuf;

xflags::xflags! {
    /// Measure what control costs against its sizes.
    cmd bergamotpitch-slopes {
        /// File that the results are written to as JSON.
        required --out path: PathBuf
        /// Picture of the slopes, as SVG.
        optional --plot path: PathBuf
        /// Page whose tables are filled from the results.
        optional --page path: PathBuf
        /// Results to take instead of measuring, for a page whose text has changed.
        optional --from path: PathBuf
        /// Date that is written into the results.
        optional --date date: String
        /// Measure only this part: sheets, wires, claims, memberships, memories, takeovers or ticks.
        optional --only part: String
        /// Real time that one point may take, in milliseconds.
        optional --limit-ms limit_ms: u64
    }
}
