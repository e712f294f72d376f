//! Time lines as text and as JSON lines.

use std::fmt::Write;

use bergamotpitch_core::events::EventRecord;

/// Microseconds in a second.
const SECOND_US: u64 = 1_000_000;

/// `render_text` writes one event a line: seconds since the first event, process, number, kind, and
/// what it is about.
///
/// ```
/// use bergamotpitch_timeline::files::parse_events;
/// use bergamotpitch_timeline::texts::render_text;
/// let line = r#"{"time_us":7,"process":"router-1","number":1,"kind":"process_started"}"#;
/// let text = render_text(&parse_events(line).events);
/// assert_eq!(text, "    0.000000 router-1     1 process_started\n");
/// ```
pub fn render_text(events: &[EventRecord]) -> String {
    let first_us = events.first().map_or(0, |event| event.time_us);
    let width = events.iter().map(|event| event.process.chars().count()).max().unwrap_or(0);
    let mut text = String::new();
    for event in events {
        let passed_us = event.time_us.saturating_sub(first_us);
        // Writing to a string does not fail.
        let _ = write!(
            text,
            "{:>5}.{:06} {:width$} {:>5} {}",
            passed_us / SECOND_US,
            passed_us % SECOND_US,
            event.process,
            event.number,
            event.kind
        );
        for (name, value) in subjects(event) {
            let _ = write!(text, " {name}={value}");
        }
        text.push('\n');
    }
    text
}

/// `render_json_lines` writes one event a line, as routers write them.
pub fn render_json_lines(events: &[EventRecord]) -> String {
    let mut text = String::new();
    for event in events {
        text.push_str(&serde_json::to_string(event).unwrap_or_default());
        text.push('\n');
    }
    text
}

fn subjects(event: &EventRecord) -> impl Iterator<Item = (&'static str, &str)> {
    [
        ("request", &event.request),
        ("team", &event.team),
        ("service", &event.service),
        ("upstream", &event.upstream),
        ("peer", &event.peer),
        ("detail", &event.detail),
    ]
    .into_iter()
    .filter_map(|(name, value)| Some((name, value.as_deref()?)))
}
