//! The record of a run: what was sent, answered and run.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Writes the lines of `record.txt`, each with its time in milliseconds since the start.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<BufWriter<File>>>,
}

impl Record {
    pub fn create(path: &str) -> Record {
        let file = File::create(path).unwrap_or_else(|error| {
            eprintln!("cannot write {path}: {error}");
            std::process::exit(2);
        });
        Record {
            start: Instant::now(),
            file: Arc::new(Mutex::new(BufWriter::new(file))),
        }
    }

    /// Milliseconds from the start of the run to `at`.
    pub fn millis(&self, at: Instant) -> u128 {
        at.saturating_duration_since(self.start).as_millis()
    }

    pub fn line(&self, text: impl AsRef<str>) {
        self.line_at(Instant::now(), text);
    }

    pub fn line_at(&self, at: Instant, text: impl AsRef<str>) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:>7} {}", self.millis(at), text.as_ref());
    }

    /// Writes a line to the record and to standard output.
    pub fn result(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.line(text);
        let _ = self.file.lock().unwrap().flush();
    }
}
