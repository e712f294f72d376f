//! Event files: reading, and merging in order of time.

use bergamotpitch_core::events::EventRecord;

use crate::errors::{Result, unreadable_error};

/// `EventFile` is what one file held.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct EventFile {
    /// Events in the order in which they were written.
    pub events: Vec<EventRecord>,
    /// Lines that were passed over.
    pub bad_lines: Vec<BadLine>,
}

/// `BadLine` is a line that holds no event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BadLine {
    /// Number of the line, from 1.
    pub line: usize,
    /// True when it is the last line and has no end: its process was stopped while it wrote.
    pub is_cut: bool,
    /// What is wrong with it.
    pub reason: String,
}

/// `read_file` reads an event file.
///
/// # Errors
///
/// The file cannot be read.
pub fn read_file(file: &str) -> Result<EventFile> {
    let bytes = std::fs::read(file).map_err(|reason| unreadable_error(file, reason))?;
    Ok(parse_events(&String::from_utf8_lossy(&bytes)))
}

/// `parse_events` reads one event a line; a line that holds none is passed over and named.
///
/// ```
/// use bergamotpitch_timeline::files::parse_events;
/// let line = r#"{"time_us":1,"process":"router-1","number":1,"kind":"process_started"}"#;
/// let file = parse_events(&format!("{line}\n{}", &line[..20]));
/// assert_eq!(file.events.len(), 1);
/// assert!(file.bad_lines[0].is_cut);
/// ```
pub fn parse_events(text: &str) -> EventFile {
    let mut file = EventFile::default();
    let lines: Vec<&str> = text.split('\n').collect();
    let last = lines.len();
    for (index, line) in lines.into_iter().enumerate() {
        if line.trim().is_empty() {
            continue;
        }
        match serde_json::from_str(line) {
            Ok(event) => file.events.push(event),
            Err(error) => file.bad_lines.push(BadLine {
                line: index + 1,
                is_cut: index + 1 == last,
                reason: error.to_string(),
            }),
        }
    }
    file
}

/// `merge_events` orders the events of many files by time; events of one process that have the same
/// time stay in the order in which they were written.
///
/// The clocks of instances differ, so that two events of different processes may stand in the wrong
/// order when they are closer than that difference.
pub fn merge_events(files: Vec<EventFile>) -> Vec<EventRecord> {
    let mut events: Vec<EventRecord> = files.into_iter().flat_map(|file| file.events).collect();
    events.sort_by(|left, right| {
        left.time_us.cmp(&right.time_us).then_with(|| left.process.cmp(&right.process))
    });
    events
}
