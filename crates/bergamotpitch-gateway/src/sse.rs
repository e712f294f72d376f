//! Server-sent events: where one event ends, and its id.
//!
//! Events are passed on whole. An upstream may stop in the middle of one; the part that came is
//! then never passed on, so that what follows after a resumption cannot be joined to it.

use bytes::{Bytes, BytesMut};

use crate::held_bytes::capacity_for;

/// `BOUNDARY_BYTES_MAX` is the length of the longest end of an event.
const BOUNDARY_BYTES_MAX: usize = 4;

/// `EventCutter` cuts a stream of bytes into whole events.
#[derive(Debug, Default)]
pub struct EventCutter {
    pending: BytesMut,
    last_id: Option<String>,
}

impl EventCutter {
    /// `push` takes in bytes and returns all events that are whole now.
    ///
    /// ```
    /// use bergamotpitch_gateway::sse::EventCutter;
    ///
    /// let mut cutter = EventCutter::default();
    /// assert_eq!(cutter.push(b"id: 1\ndata: a\n\nid: 2\nda".as_slice().into()), "id: 1\ndata: a\n\n");
    /// assert_eq!(cutter.last_id(), Some("1"));
    /// assert!(!cutter.is_at_boundary());
    /// ```
    pub fn push(&mut self, data: Bytes) -> Bytes {
        let whole = if self.pending.is_empty() {
            let end = end_of_events(&data);
            self.pending.extend_from_slice(&data[end..]);
            data.slice(..end)
        } else {
            // What was looked at before holds no end, but for the first bytes of one.
            let from = self.pending.len().saturating_sub(BOUNDARY_BYTES_MAX - 1);
            self.pending.extend_from_slice(&data);
            let end = match end_of_events(&self.pending[from..]) {
                0 => 0,
                end => from + end,
            };
            self.pending.split_to(end).freeze()
        };
        if let Some(id) = last_id(&whole) {
            self.last_id = Some(id);
        }
        whole
    }

    /// `last_id` returns the id of the last whole event that had one.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// `bytes_with` returns what an unfinished event takes once more bytes of it have come.
    pub fn bytes_with(&self, more: usize) -> usize {
        capacity_for(&self.pending, self.pending.len() + more)
    }

    /// `is_at_boundary` tells whether nothing is left of an unfinished event.
    pub fn is_at_boundary(&self) -> bool {
        self.pending.is_empty()
    }

    /// `restart` drops what is left of an unfinished event.
    pub fn restart(&mut self) {
        self.pending = BytesMut::new();
    }

    /// `go_back` takes in that events after `last` are not passed on.
    pub fn go_back(&mut self, last: Option<String>) {
        self.last_id = last;
        self.restart();
    }

    /// `after` drops the events up to and with the id `last`, which were passed on before; an
    /// upstream may begin a resumed stream with events that the caller has.
    pub fn after(events: Bytes, last: Option<&str>) -> Bytes {
        let Some(last) = last.and_then(|id| id.parse::<u64>().ok()) else { return events };
        let mut rest = events;
        while let Some(end) = end_of_first_event(&rest) {
            let id = last_id(&rest[..end]).and_then(|id| id.parse::<u64>().ok());
            if id.is_none_or(|id| last < id) {
                return rest;
            }
            rest = rest.slice(end..);
        }
        rest
    }
}

fn end_of_events(data: &[u8]) -> usize {
    let blank = data.windows(2).rposition(|pair| pair == b"\n\n").map_or(0, |at| at + 2);
    let crlf = data.windows(4).rposition(|four| four == b"\r\n\r\n").map_or(0, |at| at + 4);
    blank.max(crlf)
}

fn end_of_first_event(data: &[u8]) -> Option<usize> {
    let blank = data.windows(2).position(|pair| pair == b"\n\n").map(|at| at + 2);
    let crlf = data.windows(4).position(|four| four == b"\r\n\r\n").map(|at| at + 4);
    match (blank, crlf) {
        (Some(blank), Some(crlf)) => Some(blank.min(crlf)),
        (blank, crlf) => blank.or(crlf),
    }
}

fn last_id(events: &[u8]) -> Option<String> {
    let line = events.rsplit(|byte| *byte == b'\n').find_map(|line| line.strip_prefix(b"id:"))?;
    let text = std::str::from_utf8(line).ok()?;
    Some(text.trim().to_owned())
}
