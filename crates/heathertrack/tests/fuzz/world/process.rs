use super::{EPOCH_MS, WINDOW};
use heathertrack::clock::Time;
use heathertrack::home::{Clocks, SubmissionRegistry, TicketHandover};
use heathertrack::membership::Successions;
use heathertrack::name::{DataCentre, Host};
use heathertrack::record::{Limits, RecordHandover};
use heathertrack::ticket::{Home, Incarnation, Issuer, Secret};

/// A process on an entry host.
pub struct Process {
    pub home: Home,
    /// A job is represented by its index, both as running job and as answer.
    pub submissions: SubmissionRegistry<usize, usize>,
    pub successions: Successions,
    pub frozen: bool,
    pub partitioned: bool,
    /// Difference of the wall clock from true time.
    pub skew_ms: i64,
    /// True time at the start of the process.
    started_ms: u64,
}

/// Returns the index of the host that a process runs on.
pub fn host_index(home: &Home) -> usize {
    home.host.as_str()[1..].parse().expect("hosts are named e0, e1, ...")
}

/// Returns the secret of a process, distinct by incarnation.
fn secret(incarnation: u64) -> Secret {
    Secret([incarnation as u8; 32])
}

impl Process {
    pub fn new(host: usize, incarnation: u64, now_ms: u64, skew_ms: i64) -> Self {
        let home = Home {
            data_centre: DataCentre::new("ee-north-1"),
            host: Host::new(format!("e{host}")),
            incarnation: Incarnation(incarnation),
        };
        let clocks = clocks(now_ms, now_ms, skew_ms);
        let issuer = Issuer::new(home.clone(), secret(incarnation));
        let submissions = SubmissionRegistry::new(issuer, WINDOW, Limits::default(), clocks);
        // The model never expires successions, so the retention has no effect.
        let successions = Successions::new(4 * WINDOW.claim_ttl());
        let (frozen, partitioned) = (false, false);
        Process { home, submissions, successions, frozen, partitioned, skew_ms, started_ms: now_ms }
    }

    /// Returns what the clocks of the process show at the true time `now_ms`.
    pub fn clocks(&self, now_ms: u64) -> Clocks {
        clocks(self.started_ms, now_ms, self.skew_ms)
    }

    /// Takes over the records and tickets of a process that stopped. `stopped_now` is the time on
    /// the clock of that process.
    pub fn take_over(
        &mut self,
        from: &Home,
        tickets: Vec<TicketHandover>,
        records: Vec<RecordHandover<usize>>,
        stopped_now: Time,
        now_ms: u64,
    ) {
        let now = self.clocks(now_ms).now;
        for record in records {
            let left = record.accept_until.since(stopped_now);
            self.submissions.adopt_record(RecordHandover { accept_until: now + left, ..record }, 1);
        }
        for handover in tickets {
            self.submissions.adopt_tickets(handover, now);
        }
        self.successions.record(from.clone(), self.home.clone(), now);
    }

    /// Accepts the tickets of an earlier process. Used only while the incarnation check is turned
    /// off.
    pub fn adopt_tickets_of(&mut self, home: &Home, now_ms: u64) {
        let now = self.clocks(now_ms).now;
        let secret = secret(home.incarnation.0);
        self.submissions.adopt_tickets(TicketHandover { home: home.clone(), secret, now }, now);
    }
}

fn clocks(started_ms: u64, now_ms: u64, skew_ms: i64) -> Clocks {
    Clocks {
        now: Time::from_millis(now_ms - started_ms),
        wall_ms: EPOCH_MS.saturating_add(now_ms).saturating_add_signed(skew_ms),
    }
}
