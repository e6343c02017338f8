use super::HOSTS;
use quickcheck::{Arbitrary, Gen};

/// An event in the model. A key, submission or job is given by its index, modulo their number.
#[derive(Clone, Copy, Debug)]
pub enum Event {
    /// Time passes, in milliseconds.
    Advance(u16),
    /// A caller mints a key on the clock of a host, as if `ago_ms` earlier.
    Mint { host: usize, ago_ms: u16 },
    /// A host issues a ticket.
    Issue { host: usize },
    /// A caller submits a job under a key to an entry host.
    Submit { key: usize, host: usize, body: u8 },
    /// A caller cancels the job of a key at an entry host.
    Cancel { key: usize, host: usize },
    /// A submission advances by one step; `lost` means that the store's response is lost.
    Step { submission: usize, lost: bool },
    /// The task of a job starts.
    Start { job: usize },
    /// A started job ends with an answer.
    End { job: usize },
    /// A job fails: its deadline passed, a task failed, or it was cancelled.
    GiveUp { job: usize },
    /// The process on a host crashes.
    Kill { host: usize },
    /// A new process replaces that on a host; its wall clock is off by `skew_ms`.
    Restart { host: usize, skew_ms: i8 },
    /// A process is suspended, or resumed.
    Freeze { host: usize, frozen: bool },
    /// A host loses its connections to the others, or gets them back.
    Partition { host: usize, partitioned: bool },
    /// The wall clock of a host is stepped.
    StepClock { host: usize, ms: i8 },
    /// The store fails, or recovers.
    Store { down: bool },
    /// A host removes the records whose keys are no longer accepted.
    Expire { host: usize },
    /// A host removes expired claims from the store.
    Sweep { host: usize },
    /// A host stops and hands its records over to another; `lost` means that they don't arrive.
    Stop { host: usize, to: usize, lost: bool },
    /// One host passes the successions that it knows on to another.
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
