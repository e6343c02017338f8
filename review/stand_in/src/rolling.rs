//! All hosts are stopped as planned and started again, one after the other, while clients keep their
//! connections open between jobs.

use crate::Verdict;
use crate::host::SIGTERM;
use crate::http::Connection;
use crate::record::Record;
use crate::site::{HOST_HEADER, PREFIX, Site, ZONES, job};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Number of clients of each zone.
const CLIENTS: usize = 120;
/// Longest time of a client between two jobs, in milliseconds. Idle connections are kept for 15 s
/// (`idle_timeout_ms`).
const MAX_PAUSE_MS: usize = 8_000;
/// Work of a job's task, and the time that a client waits.
const WORK_MS: u64 = 100;
const DEADLINE: Duration = Duration::from_millis(1_500);
/// Number of times that each host is stopped.
const ROUNDS: usize = 2;
/// Bound of the deployment (`grace_s`).
const GRACE: Duration = Duration::from_secs(6);
/// Time until a process that has ended is started again, and from there to the next stop.
const RESTART_DELAY: Duration = Duration::from_millis(300);
const PAUSE: Duration = Duration::from_millis(1_000);

/// A request whose connection ended without a complete answer.
struct Cut {
    id: String,
    host: usize,
    sent: Instant,
    ended: Instant,
}

pub fn run(record: &Record, trouble: bool) -> Verdict {
    let site = Site::start(record)?;
    let finished = Arc::new(AtomicBool::new(false));
    let cuts: Arc<Mutex<Vec<Cut>>> = Arc::default();
    let mut clients = Vec::new();
    for zone in ZONES.iter().flat_map(|zone| [zone; CLIENTS]) {
        let (site, finished, cuts) = (site.clone(), finished.clone(), cuts.clone());
        clients.push(thread::spawn(move || serve_client(&site, zone, &finished, &cuts)));
    }
    thread::sleep(Duration::from_millis(MAX_PAUSE_MS as u64 / 2));
    let mut stops: Vec<(usize, Instant)> = Vec::new();
    for index in (0..ROUNDS).flat_map(|_| 0..site.hosts.len()) {
        if !trouble {
            thread::sleep(Duration::from_millis(2_600) + RESTART_DELAY + PAUSE);
            continue;
        }
        let host = &site.hosts[index];
        record.note(&format!("SIGTERM     {}", host.name));
        let began = Instant::now();
        stops.push((index, began));
        host.signal(SIGTERM);
        while !host.has_ended() && began.elapsed() < GRACE {
            thread::sleep(Duration::from_millis(5));
        }
        // Ends the process if it is still there, as the platform does.
        host.kill();
        record.note(&format!("ended       {} after {} ms", host.name, began.elapsed().as_millis()));
        thread::sleep(RESTART_DELAY);
        host.start().ok()?;
        thread::sleep(PAUSE);
    }
    finished.store(true, Ordering::Relaxed);
    let answered: usize = clients.into_iter().filter_map(|client| client.join().ok()).sum();
    site.stop();
    record.note(&format!("{answered} jobs were answered 200"));
    if answered == 0 {
        return None;
    }
    Some(lost(record, &stops, &cuts.lock().unwrap()))
}

/// Sends jobs on one connection, which is opened anew through the balancer when it has ended. Returns
/// the number of jobs that were answered 200.
fn serve_client(site: &Site, zone: &str, finished: &AtomicBool, cuts: &Mutex<Vec<Cut>>) -> usize {
    let mut answered = 0;
    let mut open: Option<(usize, Connection)> = None;
    while !finished.load(Ordering::Relaxed) {
        if open.is_none() {
            let host = site.forward(zone, None);
            open = Connection::open(site.hosts[host].front, DEADLINE).map(|new| (host, new));
        }
        thread::sleep(Duration::from_millis(site.draw(MAX_PAUSE_MS) as u64));
        let Some((host, connection)) = &mut open else { continue };
        let (id, sent) = (site.new_id(), Instant::now());
        let headers = format!("host: {HOST_HEADER}\r\nx-deadline-ms: {}\r\n", DEADLINE.as_millis());
        let answer = connection.post(&format!("{PREFIX}{id}"), &headers, &job(1, WORK_MS));
        let ended = Instant::now();
        let name = &site.hosts[*host].name;
        site.record.note_at(sent, &format!("job sent    {id} to {name}"));
        site.record.note_at(ended, &format!("job answer  {id} from {name}: {answer:?}"));
        answered += usize::from(answer.is_some_and(|(status, _)| status == 200));
        if answer.is_none() && ended.duration_since(sent) < DEADLINE {
            cuts.lock().unwrap().push(Cut { id, host: *host, sent, ended });
        }
        if answer.is_none_or(|(_, stays_open)| !stays_open) {
            open = None;
        }
    }
    answered
}

/// Returns the jobs that had been passed on to a minion when their connection ended without an
/// answer, around a planned stop of the host that took them.
fn lost(record: &Record, stops: &[(usize, Instant)], cuts: &[Cut]) -> Vec<String> {
    let runs = record.runs();
    let mut broken = Vec::new();
    for cut in cuts {
        let around = |(host, at): &&(usize, Instant)| {
            *host == cut.host && *at <= cut.ended && cut.ended <= *at + GRACE + Duration::from_secs(1)
        };
        let Some((_, stop)) = stops.iter().find(around) else { continue };
        let began = runs.iter().find(|run| run.task.starts_with(&cut.id) && run.began <= cut.ended);
        let Some(run) = began else { continue };
        broken.push(format!(
            "LOST: {} was sent {} ms after the SIGTERM, began on {} {} ms later, and its connection \
             ended without an answer after {} ms",
            cut.id,
            cut.sent.saturating_duration_since(*stop).as_millis(),
            run.minion,
            run.began.saturating_duration_since(cut.sent).as_millis(),
            cut.ended.duration_since(cut.sent).as_millis()
        ));
    }
    broken
}
