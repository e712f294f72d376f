//! Held bytes: how much memory the bodies of requests and answers in flight take.
//!
//! Load pattern: callers send many large bodies at once, and each is held until its request has
//! ended. A process that needs more memory than its limit is ended with all that it serves; a
//! request that is refused before its body is read costs one caller a moment.
//!
//! Another one: a faulty upstream answers hundreds of requests with bytes without end. Each answer is bounded, and
//! together they would take all memory. What one of them may take therefore shrinks with what is left, as with the
//! dynamic thresholds of a switch's shared buffer (Choudhury and Hahne, 1998): the largest give way, and what
//! others need is small and still fits.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::{Bytes, BytesMut};

/// `FREE_SHARE` is how many times what is left one holder may take under [`Hold::reach_fairly`].
const FREE_SHARE: usize = 2;

/// `UNCOUNTED_BYTES` is what each request and answer may take besides: the buffers of its connection are that large in
/// any case.
pub const UNCOUNTED_BYTES: usize = 4 << 10;

/// `HeldBytes` counts what is held against a bound; copies share their count.
#[derive(Debug, Clone)]
pub struct HeldBytes {
    // Bytes that are about to be written may be dropped on any thread, as far as their type says.
    used: Arc<AtomicUsize>,
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
        Self { used: Arc::default(), bytes_max }
    }

    /// `open` begins to hold for one request.
    pub fn open(&self) -> Hold {
        Hold { held: self.clone(), bytes: 0 }
    }

    /// `used` returns how many bytes are held, in all requests.
    pub fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
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
        if self.held.bytes_max < self.held.used() + more {
            return false;
        }
        self.held.used.fetch_add(more, Ordering::Relaxed);
        self.bytes += more;
        true
    }

    /// `reach_fairly` does so, where one that holds much more than is left would take from the others.
    ///
    /// ```
    /// use bergamotpitch_gateway::held_bytes::HeldBytes;
    ///
    /// let held = HeldBytes::new(100);
    /// let mut large = held.open();
    /// assert!(large.reach_fairly(66));
    /// assert!(!large.reach_fairly(67));
    /// assert!(held.open().reach_fairly(20));
    /// ```
    pub fn reach_fairly(&mut self, bytes: usize) -> bool {
        let more = bytes.saturating_sub(self.bytes);
        let left = self.held.bytes_max.saturating_sub(self.held.used() + more);
        bytes <= self.bytes || (bytes <= FREE_SHARE * left && self.reach(bytes))
    }

    /// `bytes` returns how many it holds.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// `shrink` lowers what is held to `bytes`.
    pub fn shrink(&mut self, bytes: usize) {
        let less = self.bytes.saturating_sub(bytes);
        self.held.used.fetch_sub(less, Ordering::Relaxed);
        self.bytes -= less;
    }

    /// `keep` returns bytes that are held until the last of their copies is dropped, however long it takes to write
    /// them; nothing where there is no room.
    ///
    /// ```
    /// use bergamotpitch_gateway::held_bytes::HeldBytes;
    ///
    /// let held = HeldBytes::new(1 << 20);
    /// let event = held.open().keep(vec![0; 10_000].into()).unwrap();
    /// assert_eq!(held.used(), 10_000);
    /// drop(event);
    /// assert_eq!(held.used(), 0);
    /// ```
    pub fn keep(mut self, bytes: Bytes) -> Option<Bytes> {
        if bytes.len() <= UNCOUNTED_BYTES {
            return Some(bytes);
        }
        self.reach_fairly(bytes.len()).then(|| Bytes::from_owner(Kept { bytes, _hold: self }))
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        self.shrink(0);
    }
}

/// `Kept` gives its bytes back when it is dropped.
struct Kept {
    bytes: Bytes,
    _hold: Hold,
}

impl AsRef<[u8]> for Kept {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// `capacity_for` returns what a growing buffer takes that is about to hold `length` bytes.
pub fn capacity_for(buffer: &BytesMut, length: usize) -> usize {
    match buffer.capacity() {
        capacity if length <= capacity => capacity,
        capacity => length.max(2 * capacity),
    }
}
