use serde::{Deserialize, Serialize};

/// What the stand-in does with a task.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Mode {
    /// Runs the task.
    #[default]
    Work,
    /// Records the start, then answers with status 500 at once.
    Fail,
    /// Records the start, then never responds.
    Hang,
    /// Records the start, then closes the connection without a response.
    #[serde(rename = "die")]
    DropConnection,
    /// Closes the connection without recording a start.
    Refuse,
}

/// Behaviour of the stand-in.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Setting {
    /// What the stand-in does with a task.
    pub mode: Mode,
    /// Factor of the run time of tasks; 1 is the nominal speed.
    pub slowness: f64,
    /// Time added to each response for the network round trip, in microseconds.
    pub latency_us: u64,
}

impl Default for Setting {
    fn default() -> Self {
        Setting { mode: Mode::Work, slowness: 1.0, latency_us: 0 }
    }
}

impl Setting {
    /// Sets what the stand-in does with a task.
    pub fn mode(mut self, mode: Mode) -> Self {
        self.mode = mode;
        self
    }

    /// Sets the factor of the run time of tasks.
    pub fn slowness(mut self, slowness: f64) -> Self {
        self.slowness = slowness;
        self
    }
}
