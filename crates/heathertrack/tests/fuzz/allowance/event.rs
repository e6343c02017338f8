use super::cluster::HOSTS;
use quickcheck::{Arbitrary, Gen};

/// Event at the hosts that share an allowance.
#[derive(Clone, Copy, Debug)]
pub enum Event {
    /// Time passes, in milliseconds.
    Advance(u16),
    /// Every running host reads the table of seats, and writes the change to its seats that
    /// is due.
    ReconcileAll,
    /// As [`Event::ReconcileAll`], for one host. `lost` means that the response to the write is
    /// lost.
    Reconcile { host: usize, lost: bool },
    /// Up to `count` tasks start, as far as there are permits. Their deadline is in `ms`.
    Start { host: usize, count: u8, ms: u16 },
    /// A task ends before its deadline. `task` is its index, modulo the number of tasks in flight.
    End { task: usize },
    /// The host `from` asks the host `to` to lend it `tasks` tasks and as many starts for `ms`.
    RequestLoan { from: usize, to: usize, tasks: u8, ms: u16 },
    /// A message in flight is delivered, or lost. `message` is its index, modulo their number.
    Deliver { message: usize, lost: bool },
    /// A host repays its unused loans.
    Repay { host: usize },
    /// The process on a host crashes.
    Kill { host: usize },
    /// A new process replaces that on a host.
    Restart { host: usize },
    /// A process is frozen, or resumed if `frozen` is false.
    Freeze { host: usize, frozen: bool },
    /// A process records a tick, by which it detects that it was frozen.
    Tick { host: usize },
    /// A process is frozen, and the platform declares it gone. Time passes until it would detect
    /// the pause.
    DeclareGone { host: usize },
    /// A host begins to stop and to give up its seats.
    Leave { host: usize },
}

fn below(g: &mut Gen, bound: usize) -> usize {
    usize::arbitrary(g) % bound
}

impl Arbitrary for Event {
    fn arbitrary(g: &mut Gen) -> Self {
        let host = below(g, HOSTS);
        let other = below(g, HOSTS);
        let ms = u16::arbitrary(g) % 1_000;
        match below(g, 32) {
            0 | 1 => Event::Advance(u16::arbitrary(g) % 300),
            2 => Event::Advance(u16::arbitrary(g) % 3_000),
            3..=5 => Event::ReconcileAll,
            6..=8 => Event::Reconcile { host, lost: below(g, 4) == 0 },
            9..=14 => Event::Start { host, count: u8::arbitrary(g) % 12, ms },
            15..=17 => Event::End { task: usize::arbitrary(g) },
            18..=20 => {
                Event::RequestLoan { from: host, to: other, tasks: u8::arbitrary(g) % 12, ms }
            }
            21..=24 => Event::Deliver { message: usize::arbitrary(g), lost: below(g, 5) == 0 },
            25 => Event::Repay { host },
            26 => Event::Kill { host },
            27 => Event::Restart { host },
            28 => Event::Freeze { host, frozen: below(g, 2) == 0 },
            29 => Event::Tick { host },
            30 => Event::DeclareGone { host },
            _ => Event::Leave { host },
        }
    }
}
