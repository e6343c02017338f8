use super::model::UPSTREAMS;
use heathertrack::dispatch::Needs;
use quickcheck::{Arbitrary, Gen};

/// Input of a dispatcher.
#[derive(Clone, Copy, Debug)]
pub enum Event {
    /// Time passes.
    Advance { ms: u16 },
    /// A task arrives; its deadline is relative to now.
    Enqueue { declared_ms: u16, deadline_ms: u16, customer: u8, needs: Needs },
    /// A task is cancelled: `which` modulo the number of all tasks.
    Cancel { which: usize },
    /// A running task ends: `which` modulo the number of running tasks. `finish` from 0 to 7
    /// determines the outcome, see [`Model::end`](super::model::Model::end).
    End { which: usize, finish: u8 },
    /// The list marks an upstream as leaving, or no longer does.
    Leave { upstream: usize, leaving: bool },
    /// This host starts or stops dispatching to an upstream.
    Own { upstream: usize, owned: bool },
    /// Up to `count` queued tasks move to a peer.
    GiveAway { count: u8 },
}

impl Arbitrary for Event {
    fn arbitrary(g: &mut Gen) -> Self {
        let upstream = usize::arbitrary(g) % UPSTREAMS;
        match u8::arbitrary(g) % 16 {
            0 | 1 => Event::Advance { ms: u16::arbitrary(g) % 400 },
            2..=7 => Event::Enqueue {
                declared_ms: u16::arbitrary(g) % 300,
                deadline_ms: 100 + u16::arbitrary(g) % 5_000,
                customer: u8::arbitrary(g) % 3,
                needs: needs(u8::arbitrary(g)),
            },
            8 => Event::Cancel { which: usize::arbitrary(g) },
            9..=12 => Event::End { which: usize::arbitrary(g), finish: u8::arbitrary(g) % 8 },
            13 => Event::Leave { upstream, leaving: bool::arbitrary(g) },
            14 => Event::Own { upstream, owned: u8::arbitrary(g) % 4 != 0 },
            _ => Event::GiveAway { count: u8::arbitrary(g) % 4 },
        }
    }
}

/// Value of `finish` in [`Event::End`] with which the task succeeds.
pub const SUCCESS: u8 = 7;
/// Needs of which many fit on one upstream.
pub const SMALL: Needs = Needs { cores: 1, memory_mb: 1, accelerators: 0 };
/// Needs that fit only on the first upstream, the only one with an accelerator.
pub const ACCELERATED: Needs = Needs { cores: 1, memory_mb: 1, accelerators: 1 };
/// Needs of which one fits on an upstream, but not two.
pub const LARGE: Needs = Needs { cores: 9, memory_mb: 20_000, accelerators: 0 };
/// Needs that fit only on an upstream that runs nothing else.
pub const WHOLE_WORKER: Needs = Needs { cores: 16, memory_mb: 1, accelerators: 0 };

/// Maps a random byte to needs; half of the tasks are small.
fn needs(draw: u8) -> Needs {
    match draw % 8 {
        0 | 1 => ACCELERATED,
        2 | 3 => LARGE,
        _ => SMALL,
    }
}
