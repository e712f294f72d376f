//! Events: the event file, written by a thread of its own.

use std::fs::{File, OpenOptions};
use std::io::{BufWriter, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender, sync_channel};
use std::thread::JoinHandle;
use std::time::Duration;

use arc_swap::ArcSwapOption;
use bergamotpitch_control::outputs::Event;
use bergamotpitch_core::events::EventRecord;

use crate::contexts::{Context, unix_time_us};
use crate::errors::{Result, event_file_error, start_error};

/// Events that may wait for the file; more are dropped and counted.
const CHANNEL_ENTRIES: usize = 65_536;

/// Longest time that a written event stays in the buffer.
const FLUSH_INTERVAL: Duration = Duration::from_millis(50);

/// `EventSender` is the way to the event file.
#[derive(Clone, Debug, Default)]
pub struct EventSender {
    sender: Option<SyncSender<Note>>,
    dropped: Arc<AtomicU64>,
}

#[derive(Debug)]
enum Note {
    Event { time_us: u64, event: Event },
    Close,
}

impl EventSender {
    /// `emit` hands an event to the file's thread; it never waits.
    pub fn emit(&self, event: Event) {
        let Some(sender) = &self.sender else { return };
        // A full disk or a slow file must not hold up requests: the event is dropped and counted.
        if sender.try_send(Note::Event { time_us: unix_time_us(), event }).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// `dropped` counts the events that did not get into the file.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }
}

/// `EventWriter` is the thread that writes the event file.
#[derive(Debug)]
pub struct EventWriter {
    sender: EventSender,
    thread: Option<JoinHandle<()>>,
}

/// `ContextCell` holds the context once it is made; names of ids are looked up in it.
pub type ContextCell = Arc<ArcSwapOption<Context>>;

impl EventWriter {
    /// `open` opens the event file, if there is to be one, and starts its thread.
    ///
    /// # Errors
    ///
    /// `EventFile` when the file cannot be opened.
    pub fn open(file: Option<&str>, context: ContextCell) -> Result<Self> {
        let Some(file) = file else {
            return Ok(Self { sender: EventSender::default(), thread: None });
        };
        let opened = OpenOptions::new()
            .create(true)
            .append(true)
            .open(file)
            .map_err(|error| event_file_error(file, error))?;
        let (sender, receiver) = sync_channel(CHANNEL_ENTRIES);
        let thread = std::thread::Builder::new()
            .name("events".to_owned())
            .spawn(move || write_events(opened, &receiver, &context))
            .map_err(start_error)?;
        let sender = EventSender { sender: Some(sender), dropped: Arc::default() };
        Ok(Self { sender, thread: Some(thread) })
    }

    /// `sender` is the way to the file.
    pub fn sender(&self) -> EventSender {
        self.sender.clone()
    }

    /// `close` writes what waits and ends the thread.
    pub fn close(self) {
        if let Some(sender) = &self.sender.sender {
            let _ = sender.send(Note::Close);
        }
        if let Some(thread) = self.thread {
            let _ = thread.join();
        }
    }
}

fn write_events(file: File, receiver: &Receiver<Note>, context: &ContextCell) {
    let mut writer = BufWriter::new(file);
    loop {
        match receiver.recv_timeout(FLUSH_INTERVAL) {
            Ok(Note::Event { time_us, event }) => {
                let Some(context) = context.load_full() else { continue };
                write_event(&mut writer, &context, time_us, event);
            }
            Err(RecvTimeoutError::Timeout) => {
                let _ = writer.flush();
            }
            Ok(Note::Close) | Err(RecvTimeoutError::Disconnected) => break,
        }
    }
    let _ = writer.flush();
}

fn write_event(writer: &mut BufWriter<File>, context: &Context, time_us: u64, event: Event) {
    let record = record_of_event(context, time_us, event);
    let Ok(mut line) = serde_json::to_vec(&record) else { return };
    line.push(b'\n');
    if let Err(error) = writer.write_all(&line) {
        log::warn!("an event could not be written: {error}");
    }
}

/// `record_of_event` turns ids into names; an id without a name in the sheet is shown as a number.
pub fn record_of_event(context: &Context, time_us: u64, event: Event) -> EventRecord {
    let snapshot = context.snapshot.load();
    EventRecord {
        time_us,
        process: context.settings.instance.clone(),
        number: event.kind.number(),
        kind: event.kind,
        request: event.request.map(|request| context.request_name(request)),
        team: event.team.map(|team| {
            snapshot.team(team).map_or_else(|| team.to_string(), |team| team.name.clone())
        }),
        service: None,
        upstream: event.upstream.map(|upstream| {
            snapshot
                .upstream(upstream)
                .map_or_else(|| upstream.to_string(), |upstream| upstream.name.clone())
        }),
        peer: event.peer.map(|peer| peer.to_string()),
        detail: event.detail,
    }
}
