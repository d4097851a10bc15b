//! The record of a run: what was sent, answered and run.

use std::fs::File;
use std::io::BufWriter;
use std::io::Write as _;
use std::sync::Mutex;
use std::time::Instant;

/// Writes lines with the time since the start.
pub struct Record {
    start: Instant,
    file: Mutex<BufWriter<File>>,
}

impl Record {
    /// Creates the record at this path.
    pub fn create(path: &str) -> Self {
        let file = File::create(path).expect("the record can be created");
        Self {
            start: Instant::now(),
            file: Mutex::new(BufWriter::new(file)),
        }
    }

    /// Returns the seconds since the start.
    pub fn seconds(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    /// Adds a line.
    pub fn add(&self, line: &str) {
        let mut file = self.file.lock().expect("record lock");
        let _ = writeln!(file, "{:9.3} {line}", self.start.elapsed().as_secs_f64());
    }

    /// Adds a line and prints it.
    pub fn say(&self, line: &str) {
        println!("{:9.3} {line}", self.start.elapsed().as_secs_f64());
        self.add(line);
        let _ = self.file.lock().expect("record lock").flush();
    }
}
