use heathertrack::dispatch;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// How busy a dispatcher is.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// Slowness and count of free slots, the fastest first.
    pub free: Vec<(f32, u16)>,
    /// Tasks waiting.
    pub waiting: u32,
    /// Expected time of the waiting tasks together, in microseconds.
    pub backlog_us: u64,
    /// Ordinary seconds of work done per second when all slots are busy.
    pub rate: f32,
}

impl From<&dispatch::Load> for Load {
    fn from(load: &dispatch::Load) -> Self {
        let free = |slots: &dispatch::FreeSlots| {
            (slots.slowness as f32, u16::try_from(slots.count).unwrap_or(u16::MAX))
        };
        Load {
            free: load.free.iter().map(free).collect(),
            waiting: load.waiting,
            backlog_us: u64::try_from(load.backlog.as_micros()).unwrap_or(u64::MAX),
            rate: load.rate as f32,
        }
    }
}

impl From<&Load> for dispatch::Load {
    fn from(load: &Load) -> Self {
        let free = |(slowness, count): &(f32, u16)| dispatch::FreeSlots {
            slowness: f64::from(*slowness),
            count: u32::from(*count),
        };
        dispatch::Load {
            free: load.free.iter().filter(|(_, count)| *count > 0).map(free).collect(),
            waiting: load.waiting,
            backlog: Duration::from_micros(load.backlog_us),
            rate: f64::from(load.rate),
        }
    }
}
