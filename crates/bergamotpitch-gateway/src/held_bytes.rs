//! Held bytes: how much memory the bodies of requests in flight take.
//!
//! Load pattern: callers send many large bodies at once, and each is held until its request has
//! ended. A process that needs more memory than its limit is ended with all that it serves; a
//! request that is refused before its body is read costs one caller a moment.

use std::cell::Cell;
use std::rc::Rc;

/// `HeldBytes` counts what is held against a bound; copies share their count.
#[derive(Debug, Clone)]
pub struct HeldBytes {
    used: Rc<Cell<usize>>,
    bytes_max: usize,
}

/// `Hold` is one request's part of the held bytes; dropping it gives them back.
#[derive(Debug)]
pub struct Hold {
    held: HeldBytes,
    bytes: usize,
}

impl HeldBytes {
    /// `new` holds nothing yet.
    pub fn new(bytes_max: usize) -> Self {
        Self { used: Rc::default(), bytes_max }
    }

    /// `open` begins to hold for one request.
    pub fn open(&self) -> Hold {
        Hold { held: self.clone(), bytes: 0 }
    }

    /// `used` returns how many bytes are held, in all requests.
    pub fn used(&self) -> usize {
        self.used.get()
    }
}

impl Hold {
    /// `reach` raises what is held to `bytes`; it holds no more than before and returns false when
    /// that does not fit.
    ///
    /// ```
    /// use bergamotpitch_gateway::held_bytes::HeldBytes;
    ///
    /// let held = HeldBytes::new(100);
    /// let mut first = held.open();
    /// assert!(first.reach(80));
    /// assert!(!held.open().reach(30));
    /// drop(first);
    /// assert_eq!(held.used(), 0);
    /// ```
    pub fn reach(&mut self, bytes: usize) -> bool {
        let more = bytes.saturating_sub(self.bytes);
        let used = self.held.used.get() + more;
        if self.held.bytes_max < used {
            return false;
        }
        self.held.used.set(used);
        self.bytes += more;
        true
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        self.held.used.set(self.held.used.get() - self.bytes);
    }
}
