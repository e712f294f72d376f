//! Windows: which sequence numbers of one sender have been seen.

const WORDS: usize = 16;
const WORD_BITS: u64 = 64;

/// Sequence numbers below the highest by this much or more count as seen.
///
/// A sender counts over all its receivers: with 50 peers and messages of a few datagrams each, two
/// messages to one peer lie some hundred numbers apart, and the network may swap them.
pub const WINDOW_SEQUENCES: u64 = WORDS as u64 * WORD_BITS;

/// `Window` is a sliding window over the sequence numbers of one sender.
#[derive(Debug, Clone, Default)]
pub struct Window {
    highest: u64,
    seen: [u64; WORDS],
}

impl Window {
    /// `admit` notes a sequence number and tells whether it is new.
    ///
    /// ```
    /// use bergamotpitch_wire::windows::Window;
    /// let mut window = Window::default();
    /// assert!(window.admit(7));
    /// assert!(!window.admit(7));
    /// assert!(window.admit(6));
    /// ```
    pub fn admit(&mut self, sequence: u64) -> bool {
        if self.highest < sequence {
            self.forget_up_to(sequence);
            self.highest = sequence;
        } else if WINDOW_SEQUENCES <= self.highest - sequence {
            return false;
        }
        let word = &mut self.seen[word_of(sequence)];
        let bit = 1 << (sequence % WORD_BITS);
        let is_new = *word & bit == 0;
        *word |= bit;
        is_new
    }

    fn forget_up_to(&mut self, sequence: u64) {
        if WINDOW_SEQUENCES <= sequence - self.highest {
            self.seen = [0; WORDS];
            return;
        }
        for skipped in self.highest + 1..=sequence {
            self.seen[word_of(skipped)] &= !(1 << (skipped % WORD_BITS));
        }
    }
}

fn word_of(sequence: u64) -> usize {
    (sequence / WORD_BITS) as usize % WORDS
}
