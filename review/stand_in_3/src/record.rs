use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// What was sent, answered and run, by time, in memory and in a file.
#[derive(Clone)]
pub struct Record(Arc<Inner>);

struct Inner {
    began: Instant,
    file: Mutex<File>,
}

impl Record {
    /// Creates the file at `path`.
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("the record can be written");
        Record(Arc::new(Inner { began: Instant::now(), file: Mutex::new(file) }))
    }

    /// Returns the milliseconds since the record began.
    pub fn now_ms(&self) -> f64 {
        self.0.began.elapsed().as_secs_f64() * 1_000.0
    }

    /// Adds a line with the present time.
    pub fn add(&self, line: impl AsRef<str>) {
        let now = self.now_ms();
        let mut file = self.0.file.lock().expect("no thread panics with the record");
        let _ = writeln!(file, "{now:>10.1} ms  {}", line.as_ref());
    }

    /// Adds a line, and prints it.
    pub fn say(&self, line: impl AsRef<str>) {
        println!("{}", line.as_ref());
        self.add(line);
    }
}
