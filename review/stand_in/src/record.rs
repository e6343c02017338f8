//! Record of what was sent, answered and run, written to `record.txt`.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// One run of a task on a minion.
#[derive(Clone, Debug)]
pub struct Run {
    pub task: String,
    pub number: u32,
    pub minion: String,
    pub began: Instant,
    /// `None` while it runs.
    pub ended: Option<Instant>,
    pub how: &'static str,
}

#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
    runs: Arc<Mutex<Vec<Run>>>,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("the record can be written");
        Record {
            start: Instant::now(),
            file: Arc::new(Mutex::new(file)),
            runs: Arc::default(),
        }
    }

    /// Milliseconds from the start of the record to an instant.
    pub fn ms(&self, at: Instant) -> u128 {
        at.saturating_duration_since(self.start).as_millis()
    }

    /// Writes a line with the current time.
    pub fn note(&self, text: &str) {
        self.note_at(Instant::now(), text);
    }

    pub fn note_at(&self, at: Instant, text: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:>7} ms  {text}", self.ms(at));
    }

    pub fn began(&self, task: &str, number: u32, minion: &str, at: Instant) -> usize {
        self.note_at(at, &format!("run begins  {task} run {number} on {minion}"));
        let mut runs = self.runs.lock().unwrap();
        runs.push(Run {
            task: task.to_owned(),
            number,
            minion: minion.to_owned(),
            began: at,
            ended: None,
            how: "running",
        });
        runs.len() - 1
    }

    pub fn ended(&self, index: usize, how: &'static str, at: Instant) {
        let run = {
            let mut runs = self.runs.lock().unwrap();
            (runs[index].ended, runs[index].how) = (Some(at), how);
            runs[index].clone()
        };
        let text = format!("run ends    {} run {} on {}: {how}", run.task, run.number, run.minion);
        self.note_at(at, &text);
    }

    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap().clone()
    }
}
