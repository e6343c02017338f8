use super::Needs;
use heathertrack::dispatch;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Load and free capacity of a dispatcher.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// Free slots by upstream, fastest first. To keep the message small, an upstream is left out if
    /// eight faster ones have at least as much free capacity ([`dispatch::Load::shortened`]).
    pub free: Vec<FreeSlots>,
    /// Number of queued tasks.
    #[serde(rename = "waiting")]
    pub queued: u32,
    /// Sum of the expected run times of the queued tasks, in microseconds.
    pub backlog_us: u64,
    /// Total capacity of its upstreams, by worker size and number of slots.
    pub capacity: Vec<Capacity>,
}

/// Free slots of one upstream.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct FreeSlots {
    /// Ratio of run time to that at nominal speed; 2 is half as fast.
    pub slowness: f32,
    /// Number of free slots.
    pub count: u16,
    /// Free resources of the worker, which is the machine of the upstream.
    #[serde(rename = "room")]
    pub free_capacity: Needs,
}

/// Capacity of all upstreams with the same worker size and number of slots.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Capacity {
    /// Resources of each worker.
    pub size: Needs,
    /// Slots of each upstream.
    pub slots: u16,
    /// Seconds of work, at nominal speed, that the upstreams complete per second when all slots are
    /// busy.
    pub rate: f32,
}

impl From<&dispatch::Load> for Load {
    fn from(load: &dispatch::Load) -> Self {
        let load = load.shortened();
        Load {
            free: load.free.iter().map(FreeSlots::from).collect(),
            queued: load.queued,
            backlog_us: u64::try_from(load.backlog.as_micros()).unwrap_or(u64::MAX),
            capacity: load.capacity.iter().map(Capacity::from).collect(),
        }
    }
}

impl From<&Load> for dispatch::Load {
    fn from(load: &Load) -> Self {
        let non_empty = load.free.iter().filter(|slots| slots.count > 0);
        dispatch::Load {
            free: non_empty.map(dispatch::FreeSlots::from).collect(),
            queued: load.queued,
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
            free_capacity: (&slots.free_capacity).into(),
        }
    }
}

impl From<&FreeSlots> for dispatch::FreeSlots {
    fn from(slots: &FreeSlots) -> Self {
        dispatch::FreeSlots {
            slowness: f64::from(slots.slowness),
            count: u32::from(slots.count),
            free_capacity: (&slots.free_capacity).into(),
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
            // A rate is divided by the number of slots, so a zero sent by a peer is raised to 1.
            slots: u32::from(capacity.slots).max(1),
            rate: f64::from(capacity.rate),
        }
    }
}
