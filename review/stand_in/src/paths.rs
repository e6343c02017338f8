//! While a host is stopped as planned, the host that takes its minions over loses the path to some
//! of them.

use crate::Verdict;
use crate::handover::overlaps;
use crate::host::SIGTERM;
use crate::record::Record;
use crate::site::{MINIONS_PER_ZONE, Site, ZONES, job};
use std::thread;
use std::time::{Duration, Instant};

/// Zone in which the host is stopped.
const ZONE: &str = ZONES[0];
/// Work of the tasks of the job at the leaving host. It has a task for each minion of the zone.
const FIRST_MS: u64 = 4_800;
/// Tasks of the job at the next host, and their work.
const SECOND_TASKS: u32 = 3;
const SECOND_MS: u64 = 3_500;
/// Time that a client waits for the answer.
const DEADLINE: Duration = Duration::from_secs(15);
/// Attempts of a client.
const ATTEMPTS: u32 = 3;
/// Time from the first job to SIGTERM, from there to the second job, and from there to the cut.
const UNTIL_TERM: Duration = Duration::from_millis(300);
const UNTIL_SECOND: Duration = Duration::from_millis(500);
const UNTIL_CUT: Duration = Duration::from_millis(400);
/// Number of minions whose path is cut: a fifth of all would be three.
const CUT_MINIONS: usize = 3;
/// Duration of the cut.
const CUT: Duration = Duration::from_secs(5);

pub fn run(record: &Record, trouble: bool) -> Verdict {
    let site = Site::start(record)?;
    let leaving = site.dispatcher(ZONE)?;
    let next = (0..site.hosts.len()).find(|i| site.hosts[*i].zone == ZONE && *i != leaving)?;
    let submit = |host: usize, tasks: u32, work_ms: u64| {
        let site = site.clone();
        let id = site.new_id();
        let running = id.clone();
        let body = job(tasks, work_ms);
        let job = thread::spawn(move || site.run_job(host, &id, &body, DEADLINE, ATTEMPTS));
        (running, job)
    };
    let (_, first) = submit(leaving, MINIONS_PER_ZONE as u32, FIRST_MS);
    thread::sleep(UNTIL_TERM);
    record.note(&format!("SIGTERM     {}", site.hosts[leaving].name));
    site.hosts[leaving].signal(SIGTERM);
    thread::sleep(UNTIL_SECOND);
    let (id, second) = submit(next, SECOND_TASKS, SECOND_MS);
    thread::sleep(UNTIL_CUT);
    let runs = record.runs();
    let runs_second = |name: &str| runs.iter().any(|run| run.task.starts_with(&id) && run.minion == name);
    let minions = site.minions.iter().filter(|minion| runs_second(&minion.id));
    let cut: Vec<_> = minions.take(CUT_MINIONS).collect();
    if trouble {
        for minion in &cut {
            record.note(&format!("path cut    {} to {}", site.hosts[next].name, minion.id));
            minion.set_cut(next, true);
        }
    }
    let end = Instant::now() + CUT;
    thread::sleep(end.saturating_duration_since(Instant::now()));
    for minion in &cut {
        minion.set_cut(next, false);
    }
    record.note("paths open");
    let answers = [first.join().ok()?, second.join().ok()?];
    thread::sleep(Duration::from_secs(1));
    site.stop();
    if cut.is_empty() || !answers.iter().any(|answer| answer.status() == Some(200)) {
        return None;
    }
    Some(overlaps(record))
}
