//! The record of a case: what was sent, answered and run, with the time since the start.

use std::fs::File;
use std::io::Write;
use std::path::PathBuf;
use std::process::exit;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// The exit code if the rule held.
pub const HELD: i32 = 0;
/// The exit code if the rule was broken.
pub const BROKEN: i32 = 1;
/// The exit code if the case could not run.
pub const COULD_NOT_RUN: i32 = 2;

/// A file of lines with times, shared by all threads of a case.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    /// Creates `record.txt` in the folder that the first argument of the program names.
    pub fn create() -> Record {
        let folder = std::env::args().nth(1).unwrap_or_else(|| ".".to_string());
        let path = PathBuf::from(folder).join("record.txt");
        match File::create(&path) {
            Ok(file) => Record {
                started: Instant::now(),
                file: Arc::new(Mutex::new(file)),
            },
            Err(error) => {
                eprintln!("{}: {error}", path.display());
                exit(COULD_NOT_RUN)
            }
        }
    }

    /// Milliseconds since the start of the case.
    pub fn elapsed_ms(&self) -> u128 {
        self.started.elapsed().as_millis()
    }

    /// Writes a line with the time.
    pub fn write(&self, line: &str) {
        let mut file = self.file.lock().expect("the record is not poisoned");
        let _ = writeln!(file, "{:>7} ms  {line}", self.elapsed_ms());
    }

    /// Writes a line to the record and to standard output.
    pub fn announce(&self, line: &str) {
        self.write(line);
        println!("{line}");
    }
}

/// Whether the case runs with its disruption: not with `TROUBLE=0`.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}
