use std::collections::HashMap;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Limits how many events of each kind are written in one second. The second starts with the first
/// event after the previous one.
#[derive(Debug)]
pub struct Limiter {
    per_second: u32,
    kinds: Mutex<HashMap<&'static str, Window>>,
}

/// Events of one kind since the start of the current second.
#[derive(Debug)]
struct Window {
    started: Instant,
    written: u32,
    /// Number of events suppressed since the last one written.
    suppressed: u64,
}

impl Limiter {
    /// Creates a limiter that allows `per_second` events of each kind in one second.
    pub fn new(per_second: u32) -> Self {
        Limiter { per_second, kinds: Mutex::default() }
    }

    /// Returns how many events of this kind were suppressed since the last one written, or `None`
    /// if this one is suppressed too.
    pub fn allow(&self, kind: &'static str) -> Option<u64> {
        let now = Instant::now();
        let mut kinds = self.kinds.lock().ok()?;
        let new_window = || Window { started: now, written: 0, suppressed: 0 };
        let window = kinds.entry(kind).or_insert_with(new_window);
        if now.duration_since(window.started) >= Duration::from_secs(1) {
            window.started = now;
            window.written = 0;
        }
        if window.written >= self.per_second {
            window.suppressed += 1;
            return None;
        }
        window.written += 1;
        Some(std::mem::take(&mut window.suppressed))
    }
}
