//! Logs: structured lines on standard output, bounded in number, written by a thread of their own.
//!
//! A reader of standard output that stops reading would block the writer. Lines therefore go into
//! a bounded buffer that a separate thread writes out; when the buffer or the budget of a second
//! is spent, lines are left out and counted, and requests go on.

use std::fmt::{self, Write as _};
use std::io::Write as _;
use std::ops::Range;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use bergamotpitch_control::traffic::facts::RequestFacts;
use bergamotpitch_core::events::EventKind;
use log::{LevelFilter, Log, Metadata, Record};

/// `LINES_PER_SECOND` bounds the volume: three lines each for 250 requests a second, which is more
/// than a router with a quarter of a core serves.
const LINES_PER_SECOND: u32 = 800;

/// `BUFFER_BYTES` bounds the memory of lines that a slow reader has not taken.
const BUFFER_BYTES: usize = 256 << 10;

/// `WRITE_INTERVAL` is the time between two writes; a write for each line would cost a wake-up
/// each.
const WRITE_INTERVAL: Duration = Duration::from_millis(250);

/// `ATOMIC_WRITE_BYTES` is the most that a pipe takes in one piece.
const ATOMIC_WRITE_BYTES: usize = 4_096;

/// `REQUEST_EVENTS` are the numbers of events that touch one request.
const REQUEST_EVENTS: Range<u16> = 100..200;

/// `REQUEST_TARGET` marks lines on one request.
const REQUEST_TARGET: &str = "request";

/// `BELIEF_TARGET` marks lines on what this process believes: configuration, upstreams, peers, the
/// platform. They have the budget of warnings, as a flood of requests would otherwise hide why they
/// were decided so.
const BELIEF_TARGET: &str = "belief";

/// `LineLog` is the log of this process.
#[derive(Debug)]
pub struct LineLog {
    instance: String,
    start: Instant,
    buffer: Arc<Mutex<Buffer>>,
}

#[derive(Debug, Default)]
struct Buffer {
    lines: String,
    second: u64,
    written_lines: u32,
    left_out: u64,
    is_closing: bool,
}

/// `install` makes a line log the log of this process and starts its writer.
pub fn install(instance: &str, level: LevelFilter) -> LogHandle {
    let buffer = Arc::new(Mutex::new(Buffer::default()));
    let log = LineLog {
        instance: instance.to_owned(),
        start: Instant::now(),
        buffer: Arc::clone(&buffer),
    };
    if log::set_boxed_logger(Box::new(log)).is_ok() {
        log::set_max_level(level);
    }
    let shared = Arc::clone(&buffer);
    let writer =
        std::thread::Builder::new().name("log".to_owned()).spawn(move || write_all(&shared));
    LogHandle { buffer, writer: writer.ok() }
}

/// `LogHandle` writes out what is left when it is closed.
#[derive(Debug)]
pub struct LogHandle {
    buffer: Arc<Mutex<Buffer>>,
    writer: Option<std::thread::JoinHandle<()>>,
}

impl LogHandle {
    /// `close` waits until all lines are written.
    pub fn close(self) {
        lock(&self.buffer).is_closing = true;
        if let Some(writer) = self.writer {
            writer.thread().unpark();
            // A writer that panicked has nothing left to write.
            let _ = writer.join();
        }
    }
}

impl Log for LineLog {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        let elapsed = self.start.elapsed();
        let mut buffer = lock(&self.buffer);
        let is_urgent = record.level() <= log::Level::Warn || record.target() == BELIEF_TARGET;
        if !buffer.admit(elapsed.as_secs(), is_urgent) {
            return;
        }
        // Writing into a string does not fail.
        let _ = writeln!(
            buffer.lines,
            "t={:.3} level={} instance={} {}",
            elapsed.as_secs_f64(),
            record.level(),
            self.instance,
            record.args()
        );
    }

    fn flush(&self) {}
}

impl Buffer {
    fn admit(&mut self, second: u64, is_urgent: bool) -> bool {
        if self.second != second {
            self.second = second;
            self.written_lines = 0;
        }
        // Warnings and beliefs may use the budget twice over, so that a flood of requests hides none.
        let limit = if is_urgent { 2 * LINES_PER_SECOND } else { LINES_PER_SECOND };
        if limit <= self.written_lines || BUFFER_BYTES <= self.lines.len() {
            self.left_out += 1;
            return false;
        }
        self.written_lines += 1;
        true
    }

    fn take(&mut self) -> String {
        let mut lines = std::mem::take(&mut self.lines);
        if self.left_out != 0 {
            let _ = writeln!(lines, "event=lines_left_out count={}", self.left_out);
            self.left_out = 0;
        }
        lines
    }
}

/// `SHOWN_PARTS_MAX` bounds the parts of a prompt in one line.
const SHOWN_PARTS_MAX: usize = 16;

/// `SharedParts` shows the parts of a prompt that other requests may hold too.
#[derive(Debug)]
pub struct SharedParts<'a>(pub &'a RequestFacts);

impl fmt::Display for SharedParts<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.0.prefix.len() < 2 {
            return formatter.write_str("-");
        }
        for (index, part) in self.0.shared_parts().take(SHOWN_PARTS_MAX).enumerate() {
            let comma = if index == 0 { "" } else { "," };
            write!(formatter, "{comma}{part:x}")?;
        }
        Ok(())
    }
}

/// `decision` writes one line on a decision, with its event number and name.
pub fn decision(kind: EventKind, details: std::fmt::Arguments<'_>) {
    let number = kind as u16;
    let target = if REQUEST_EVENTS.contains(&number) { REQUEST_TARGET } else { BELIEF_TARGET };
    log::info!(target: target, "event={number} name={kind} {details}");
}

fn write_all(buffer: &Mutex<Buffer>) {
    loop {
        std::thread::park_timeout(WRITE_INTERVAL);
        let (lines, is_closing) = {
            let mut buffer = lock(buffer);
            (buffer.take(), buffer.is_closing)
        };
        let mut output = std::io::stdout();
        for part in parts_of_lines(&lines) {
            // Nobody is left to be told when standard output is closed.
            let _ = output.write_all(part.as_bytes());
        }
        if is_closing {
            return;
        }
    }
}

/// `parts_of_lines` cuts text into parts of whole lines that a pipe takes at once, or of one line that
/// is longer. Larger writes mix with those of other processes on the same pipe.
///
/// ```
/// use bergamotpitch_gateway::logs::parts_of_lines;
///
/// let text = format!("{}\n{}\n", "a".repeat(3_000), "b".repeat(3_000));
/// let lengths: Vec<usize> = parts_of_lines(&text).map(str::len).collect();
/// assert_eq!(lengths, [3_001, 3_001]);
/// ```
pub fn parts_of_lines(text: &str) -> impl Iterator<Item = &str> {
    let mut rest = text;
    std::iter::from_fn(move || {
        let end = end_of_part(rest)?;
        let (part, after) = rest.split_at(end);
        rest = after;
        Some(part)
    })
}

fn end_of_part(text: &str) -> Option<usize> {
    let line_ends = text.match_indices('\n').map(|(index, _)| index + 1);
    let fitting = line_ends.clone().take_while(|end| *end <= ATOMIC_WRITE_BYTES).last();
    let first = || line_ends.clone().next().unwrap_or(text.len());
    (!text.is_empty()).then(|| fitting.unwrap_or_else(first))
}

fn lock(buffer: &Mutex<Buffer>) -> std::sync::MutexGuard<'_, Buffer> {
    buffer.lock().unwrap_or_else(PoisonError::into_inner)
}
