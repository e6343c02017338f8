//! The record of a run: what was sent, answered and run, with the time since its start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

#[derive(Clone, Debug)]
pub struct Record {
    file: Arc<Mutex<File>>,
    began: Instant,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Record { file: Arc::new(Mutex::new(File::create(path)?)), began: Instant::now() })
    }

    pub fn now(&self) -> Duration {
        self.began.elapsed()
    }

    pub fn add(&self, line: impl AsRef<str>) {
        let mut file = self.file.lock().unwrap();
        let line = format!("{:9.3} s  {}\n", self.now().as_secs_f64(), line.as_ref());
        // A record that cannot be written shows as missing lines.
        let _ = file.write_all(line.as_bytes());
    }

    /// Adds a line to the record and to standard output.
    pub fn say(&self, line: impl AsRef<str>) {
        println!("{:9.3} s  {}", self.now().as_secs_f64(), line.as_ref());
        self.add(line);
    }
}
