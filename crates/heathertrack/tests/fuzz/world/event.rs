use super::HOSTS;
use quickcheck::{Arbitrary, Gen};

/// An event in the model.
#[derive(Clone, Copy, Debug)]
pub enum Event {
    Advance(u16),
    Mint { host: usize, ago_ms: u16 },
    Issue { host: usize },
    Submit { key: usize, host: usize, body: u8 },
    Cancel { key: usize, host: usize },
    Step { submission: usize, lost: bool },
    Start { job: usize },
    End { job: usize },
    GiveUp { job: usize },
    Kill { host: usize },
    Restart { host: usize, skew_ms: i8 },
    Freeze { host: usize, frozen: bool },
    Partition { host: usize, partitioned: bool },
    StepClock { host: usize, ms: i8 },
    Store { down: bool },
    Expire { host: usize },
    Sweep { host: usize },
    Stop { host: usize, to: usize, lost: bool },
    Gossip { from: usize, to: usize },
}

fn below(g: &mut Gen, bound: usize) -> usize {
    usize::arbitrary(g) % bound
}

impl Arbitrary for Event {
    fn arbitrary(g: &mut Gen) -> Self {
        let host = below(g, HOSTS);
        let to = below(g, HOSTS);
        // Small ranges, so that events often concern the same key, submission or job.
        let key = below(g, 4);
        let submission = below(g, 6);
        let job = below(g, 6);
        match below(g, 40) {
            0 => Event::Advance(u16::arbitrary(g) % 600),
            1 => Event::Advance(u16::arbitrary(g) % 60),
            2 => Event::Mint { host, ago_ms: u16::arbitrary(g) % 1_100 },
            3 => Event::Issue { host },
            4..=9 => Event::Submit { key, host, body: u8::from(below(g, 12) == 0) },
            10 => Event::Cancel { key, host },
            11..=22 => Event::Step { submission, lost: below(g, 5) == 0 },
            23..=26 => Event::Start { job },
            27 | 28 => Event::End { job },
            29 => Event::GiveUp { job },
            30 => Event::Kill { host },
            31 => Event::Restart { host, skew_ms: i8::arbitrary(g) % 40 },
            32 => Event::Freeze { host, frozen: below(g, 3) == 0 },
            33 => Event::Partition { host, partitioned: below(g, 3) == 0 },
            34 => Event::StepClock { host, ms: i8::arbitrary(g) % 40 },
            35 => Event::Store { down: below(g, 4) == 0 },
            36 => Event::Expire { host },
            37 => Event::Sweep { host },
            38 => Event::Stop { host, to, lost: below(g, 6) == 0 },
            _ => Event::Gossip { from: host, to },
        }
    }
}
