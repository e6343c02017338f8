use super::Needs;
use heathertrack::dispatch;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// How busy a dispatcher is.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// Free slots by upstream, the fastest first; not all of them, see [`dispatch::Load::brief`].
    pub free: Vec<FreeSlots>,
    /// Tasks waiting.
    pub waiting: u32,
    /// Expected time of the waiting tasks together, in microseconds.
    pub backlog_us: u64,
    /// What it serves in all, by size of the workers.
    pub capacity: Vec<Capacity>,
}

/// Free slots on one upstream.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct FreeSlots {
    /// How many times slower than ordinary.
    pub slowness: f32,
    /// Slots free.
    pub count: u16,
    /// What its worker has left to give.
    pub room: Needs,
}

/// The upstreams of one size.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Capacity {
    /// Size of the worker of each.
    pub size: Needs,
    /// Slots of each.
    pub slots: u16,
    /// Ordinary seconds of work that all of them do per second when all slots are busy.
    pub rate: f32,
}

impl From<&dispatch::Load> for Load {
    fn from(load: &dispatch::Load) -> Self {
        let load = load.brief();
        Load {
            free: load.free.iter().map(FreeSlots::from).collect(),
            waiting: load.waiting,
            backlog_us: u64::try_from(load.backlog.as_micros()).unwrap_or(u64::MAX),
            capacity: load.capacity.iter().map(Capacity::from).collect(),
        }
    }
}

impl From<&Load> for dispatch::Load {
    fn from(load: &Load) -> Self {
        let some = load.free.iter().filter(|slots| slots.count > 0);
        dispatch::Load {
            free: some.map(dispatch::FreeSlots::from).collect(),
            waiting: load.waiting,
            backlog: Duration::from_micros(load.backlog_us),
            capacity: load.capacity.iter().map(dispatch::Capacity::from).collect(),
        }
    }
}

impl From<&dispatch::FreeSlots> for FreeSlots {
    fn from(slots: &dispatch::FreeSlots) -> Self {
        FreeSlots {
            slowness: slots.slowness as f32,
            count: u16::try_from(slots.count).unwrap_or(u16::MAX),
            room: (&slots.room).into(),
        }
    }
}

impl From<&FreeSlots> for dispatch::FreeSlots {
    fn from(slots: &FreeSlots) -> Self {
        dispatch::FreeSlots {
            slowness: f64::from(slots.slowness),
            count: u32::from(slots.count),
            room: (&slots.room).into(),
        }
    }
}

impl From<&dispatch::Capacity> for Capacity {
    fn from(capacity: &dispatch::Capacity) -> Self {
        Capacity {
            size: (&capacity.size).into(),
            slots: u16::try_from(capacity.slots).unwrap_or(u16::MAX),
            rate: capacity.rate as f32,
        }
    }
}

impl From<&Capacity> for dispatch::Capacity {
    fn from(capacity: &Capacity) -> Self {
        dispatch::Capacity {
            size: (&capacity.size).into(),
            // A peer's zero would divide by it.
            slots: u32::from(capacity.slots).max(1),
            rate: f64::from(capacity.rate),
        }
    }
}
