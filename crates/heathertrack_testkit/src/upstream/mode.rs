use serde::{Deserialize, Serialize};

/// What the stand-in does with a task.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Mode {
    /// Runs it.
    #[default]
    Work,
    /// Fails it at once.
    Fail,
    /// Never answers.
    Hang,
    /// Closes the connection in mid-request.
    Die,
    /// Closes the connection without taking the task.
    Refuse,
}

/// How the stand-in behaves.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Setting {
    /// What it does with a task.
    pub mode: Mode,
    /// How many times longer a task takes than at ordinary speed.
    pub slowness: f64,
    /// Added to each answer, in microseconds: the way there and back.
    pub latency_us: u64,
}

impl Default for Setting {
    fn default() -> Self {
        Setting { mode: Mode::Work, slowness: 1.0, latency_us: 0 }
    }
}

impl Setting {
    /// Sets what it does with a task.
    pub fn mode(mut self, mode: Mode) -> Self {
        self.mode = mode;
        self
    }

    /// Sets how many times longer a task takes.
    pub fn slowness(mut self, slowness: f64) -> Self {
        self.slowness = slowness;
        self
    }
}
