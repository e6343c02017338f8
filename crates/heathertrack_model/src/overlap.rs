//! Check for two runs of a task at once, from nothing but the spans of runs on upstreams.

use heathertrack::pool::Task;
use std::collections::BTreeMap;
use std::time::Duration;

/// A run on an upstream, from its begin to its end.
#[derive(Clone, Debug, PartialEq)]
pub struct Span {
    /// Task of the run.
    pub task: Task,
    /// Index of the upstream.
    pub upstream: usize,
    /// Begin, from the time at which the first callers might arrive.
    pub begin: Duration,
    /// End, likewise.
    pub end: Duration,
    /// Whether the order to start it was executed late.
    pub started_late: bool,
}

/// Two runs of a task that were in progress at once.
#[derive(Clone, Debug, PartialEq)]
pub struct Overlap {
    /// The run that began first.
    pub first: Span,
    /// The other run.
    pub second: Span,
}

/// Returns each pair of runs of a task that were in progress at once. Runs whose start was executed late
/// are left out: no host can prevent them.
pub fn overlaps(spans: &[Span]) -> Vec<Overlap> {
    let mut by_task: BTreeMap<&Task, Vec<&Span>> = BTreeMap::new();
    for span in spans.iter().filter(|span| !span.started_late) {
        by_task.entry(&span.task).or_default().push(span);
    }
    let mut found = Vec::new();
    for spans in by_task.values_mut() {
        spans.sort_by_key(|span| span.begin);
        for (index, first) in spans.iter().enumerate() {
            let during = spans[index + 1..].iter().take_while(|second| second.begin < first.end);
            found.extend(
                during.map(|second| Overlap { first: (*first).clone(), second: (*second).clone() }),
            );
        }
    }
    found
}
