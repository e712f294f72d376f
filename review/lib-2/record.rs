//! Records: what was sent, answered and run, with the time since the start of the case.

use std::fs::File;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    pub fn create(path: &str) -> Record {
        let file = File::create(path).unwrap_or_else(|error| {
            eprintln!("{path}: {error}");
            std::process::exit(2)
        });
        Record { file: Arc::new(Mutex::new(file)), started: Instant::now() }
    }

    pub fn line(&self, text: &str) {
        let at = self.started.elapsed().as_secs_f64();
        let mut file = self.file.lock().expect("the record");
        // The outcome does not depend on the record.
        let _ = writeln!(file, "{at:8.3} {text}");
    }

    /// Writes a line and shows it.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }
}
