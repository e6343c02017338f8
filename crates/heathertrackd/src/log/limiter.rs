use std::collections::HashMap;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Limits the rate at which each kind of event is written.
#[derive(Debug)]
pub struct Limiter {
    per_second: u32,
    kinds: Mutex<HashMap<&'static str, Window>>,
}

#[derive(Debug)]
struct Window {
    started: Instant,
    written: u32,
    suppressed: u64,
}

impl Limiter {
    /// Creates a limiter that allows `per_second` events of each kind.
    pub fn new(per_second: u32) -> Self {
        Limiter { per_second, kinds: Mutex::default() }
    }

    /// Returns how many events of this kind were suppressed since the last one written, or `None`
    /// if this one is suppressed too.
    pub fn allow(&self, kind: &'static str) -> Option<u64> {
        let now = Instant::now();
        let mut kinds = self.kinds.lock().ok()?;
        let fresh = || Window { started: now, written: 0, suppressed: 0 };
        let window = kinds.entry(kind).or_insert_with(fresh);
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
