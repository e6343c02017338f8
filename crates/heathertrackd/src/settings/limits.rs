use heathertrack::claim::KeyWindow;
use heathertrack_document::{Fields, Findings, Node};
use std::time::Duration;

/// Limits of time and memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum number of concurrent connections of callers.
    pub connections: usize,
    /// Duration for which a ticket is valid.
    pub ticket_valid: Duration,
    /// Maximum age of an idempotency key minted by a caller, and maximum clock skew.
    pub minted: KeyWindow,
    /// Maximum number of job records kept at once.
    pub records: usize,
    /// Maximum total size of the finished answers kept, in bytes.
    pub answer_bytes: usize,
    /// Duration for which a stopping host still takes new work after its health check fails, so
    /// that the load balancer can notice.
    pub drain_notice: Duration,
    /// Number of threads of the async runtime; zero for one per core.
    pub threads: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            connections: 4_096,
            ticket_valid: Duration::from_secs(120),
            minted: KeyWindow::default(),
            records: 80_000,
            answer_bytes: 24 << 20,
            drain_notice: Duration::from_secs(2),
            threads: 0,
        }
    }
}

impl Limits {
    pub(super) fn from_node(node: &Node, findings: &mut Findings) -> Option<Self> {
        let defaults = Limits::default();
        let mut fields = node.fields(findings)?;
        let mut integer =
            |name, range, default: u64| integer_or(&mut fields, name, range, default, findings);
        let connections = integer("connections", 1..=1_000_000, defaults.connections as u64);
        let ticket_valid =
            integer("ticket_valid_ms", 1_000..=3_600_000, millis(defaults.ticket_valid));
        let max_key_age =
            integer("minted_key_age_ms", 1_000..=86_400_000, millis(defaults.minted.max_key_age));
        let skew = integer("clock_skew_ms", 10..=600_000, millis(defaults.minted.skew));
        let records = integer("records", 1..=10_000_000, defaults.records as u64);
        let answer_bytes = integer("answer_bytes", 0..=1 << 40, defaults.answer_bytes as u64);
        let drain_notice = integer("drain_notice_ms", 0..=600_000, millis(defaults.drain_notice));
        let threads = integer("threads", 0..=1_024, defaults.threads as u64);
        fields.finish(findings);
        Some(Limits {
            connections: connections? as usize,
            ticket_valid: Duration::from_millis(ticket_valid?),
            minted: KeyWindow {
                max_key_age: Duration::from_millis(max_key_age?),
                skew: Duration::from_millis(skew?),
            },
            records: records? as usize,
            answer_bytes: answer_bytes? as usize,
            drain_notice: Duration::from_millis(drain_notice?),
            threads: threads? as usize,
        })
    }
}

/// Reads an optional integer within `range`.
fn integer_or(
    fields: &mut Fields,
    name: &'static str,
    range: std::ops::RangeInclusive<u64>,
    default: u64,
    findings: &mut Findings,
) -> Option<u64> {
    match fields.optional(name) {
        Some(node) => node.integer(range, findings),
        None => Some(default),
    }
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
