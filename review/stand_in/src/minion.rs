//! Stand-in of a minion: runs tasks under a lease, as PROTOCOL.md says under "Running tasks".
//!
//! The `spec` of a job tells what its tasks need and how long they run, e.g.
//! `work_ms=3000 cpu=4000`.

use crate::http::{Request, serve};
use crate::json::Json;
use crate::record::Record;
use crate::store::{ADDRESS, Store};
use std::collections::BTreeMap;
use std::net::TcpListener;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Longest lease (`hold_max_ms`).
const HOLD_MAX_MS: u64 = 1_000;
/// Duration of a stop; the bound is `stop_ms`, 50 ms.
const STOP_TIME: Duration = Duration::from_millis(10);
/// Period of the minion's entry in the store (`heartbeat_ms`).
const HEARTBEAT: Duration = Duration::from_millis(1_500);
/// Most ends in one answer.
const MAX_ENDS: usize = 500;
pub const CORES: u64 = 16;

struct Running {
    cpu: u64,
    began: Instant,
    work: Duration,
    /// When an ordered stop is complete.
    stops_at: Option<Instant>,
    index: usize,
}

struct State {
    started: Instant,
    born: u64,
    runs: BTreeMap<(String, u32), Running>,
    /// Ends that are not acknowledged: number, task, run, how.
    ended: Vec<(u64, String, u32, &'static str)>,
    last_end: u64,
    /// Highest run of each task that was stopped or ended here.
    highest: BTreeMap<String, u32>,
    lease_until_ms: u64,
}

pub struct Minion {
    pub id: String,
    /// Whether the path from each host is cut: its requests are neither executed nor answered.
    cuts: Vec<AtomicBool>,
    state: Mutex<State>,
    changed: Condvar,
    record: Record,
}

impl Minion {
    /// Starts a minion with a listener for each host, and registers it in the store.
    pub fn start(
        id: &str,
        zone: &str,
        rack: &str,
        listeners: Vec<TcpListener>,
        store: &Store,
        record: &Record,
    ) -> Arc<Minion> {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        let minion = Arc::new(Minion {
            id: id.to_owned(),
            cuts: listeners.iter().map(|_| AtomicBool::new(false)).collect(),
            state: Mutex::new(State {
                started: Instant::now(),
                born: since_epoch.map_or(0, |at| at.as_millis() as u64),
                runs: BTreeMap::new(),
                ended: Vec::new(),
                last_end: 0,
                highest: BTreeMap::new(),
                lease_until_ms: 0,
            }),
            changed: Condvar::new(),
            record: record.clone(),
        });
        let key = format!("servers/{id}");
        let addresses = listeners.iter().filter_map(|listener| listener.local_addr().ok()).collect();
        store.set_paths(&key, addresses);
        for (host, listener) in listeners.into_iter().enumerate() {
            let serving = minion.clone();
            serve(listener, move |request| {
                if serving.is_cut(host) {
                    serving.wait_while_cut(host);
                    return None;
                }
                let answer = serving.handle(request);
                if serving.is_cut(host) {
                    serving.wait_while_cut(host);
                    return None;
                }
                Some(answer)
            });
        }
        let (running, store) = (minion.clone(), store.clone());
        let (zone, rack) = (zone.to_owned(), rack.to_owned());
        thread::spawn(move || {
            for sequence in 1u64.. {
                store.put(&key, &running.entry(&zone, &rack, sequence));
                let next = Instant::now() + HEARTBEAT;
                while Instant::now() < next {
                    thread::sleep(Duration::from_millis(2));
                    let mut state = running.state.lock().unwrap();
                    running.advance(&mut state);
                }
            }
        });
        minion
    }

    /// Cuts or restores the path from a host.
    pub fn set_cut(&self, host: usize, cut: bool) {
        self.cuts[host].store(cut, Ordering::SeqCst);
    }

    fn is_cut(&self, host: usize) -> bool {
        self.cuts[host].load(Ordering::SeqCst)
    }

    fn wait_while_cut(&self, host: usize) {
        while self.is_cut(host) {
            thread::sleep(Duration::from_millis(5));
        }
    }

    fn entry(&self, zone: &str, rack: &str, sequence: u64) -> String {
        let born = self.state.lock().unwrap().born;
        format!(
            "{{\"service\":\"desk\",\"address\":\"{ADDRESS}\",\"zone\":\"{zone}\",\"version\":\"v1\",\
             \"slots\":8,\"state\":\"ready\",\"cold_left_ms\":0,\"seq\":{sequence},\"born\":{born},\
             \"machine\":\"m-{}\",\"capacity\":{{\"cpu\":{},\"mem_mb\":32768,\"gpu\":0}},\
             \"labels\":[\"a\",\"{rack}\"]}}",
            self.id,
            CORES * 1_000
        )
    }

    /// Brings the state up to the current time: ends runs that are done or stopped, and all runs
    /// if the lease has expired.
    fn advance(&self, state: &mut State) {
        let now = Instant::now();
        let lapses_at = state.started + Duration::from_millis(state.lease_until_ms);
        let mut due: Vec<(Instant, (String, u32), &'static str)> = Vec::new();
        for (key, run) in &state.runs {
            let done = (run.began + run.work, "done");
            let stopped = run.stops_at.map(|at| (at, "stopped"));
            let ends = [Some(done), stopped, Some((lapses_at, "lapsed"))];
            let first = ends.into_iter().flatten().min_by_key(|(at, _)| *at);
            if let Some((at, how)) = first.filter(|(at, _)| *at <= now) {
                due.push((at, key.clone(), how));
            }
        }
        if due.is_empty() {
            return;
        }
        due.sort();
        for (at, key, how) in due {
            if let Some(run) = state.runs.remove(&key) {
                self.record.ended(run.index, how, at);
            }
            state.last_end += 1;
            let highest = state.highest.entry(key.0.clone()).or_default();
            *highest = (*highest).max(key.1);
            state.ended.push((state.last_end, key.0, key.1, how));
        }
        self.changed.notify_all();
    }

    fn handle(&self, request: &Request) -> (u16, String) {
        if request.path == "/health" {
            return (200, "{}".to_owned());
        }
        let expected = request.header("x-expect-instance");
        if !expected.is_empty() && expected != self.id {
            return (421, "{}".to_owned());
        }
        let body = Json::parse(&request.body);
        let mut state = self.state.lock().unwrap();
        self.advance(&mut state);
        match request.path.as_str() {
            "/api/run-start" => self.start_run(&mut state, &body),
            "/api/run-stop" => {
                let key = (body.get("task").text().to_owned(), body.get("run").number().unwrap_or(0) as u32);
                let highest = state.highest.entry(key.0.clone()).or_default();
                *highest = (*highest).max(key.1);
                if let Some(run) = state.runs.get_mut(&key) {
                    run.stops_at.get_or_insert(Instant::now() + STOP_TIME);
                }
                (200, format!("{{\"clock_ms\":{}}}", state.clock_ms()))
            }
            "/api/hold" => {
                let acknowledged = body.get("acked_upto").number().unwrap_or(0);
                state.ended.retain(|(number, ..)| *number > acknowledged);
                state.renew(body.get("until_ms").number());
                let wait = body.get("wait_ms").number().unwrap_or(0).min(2_000);
                let end = Instant::now() + Duration::from_millis(wait);
                while state.ended.is_empty() && Instant::now() < end {
                    let left = end.saturating_duration_since(Instant::now());
                    state = self.changed.wait_timeout(state, left).unwrap().0;
                    self.advance(&mut state);
                }
                (200, state.listing())
            }
            _ => (400, "{}".to_owned()),
        }
    }

    fn start_run(&self, state: &mut State, body: &Json) -> (u16, String) {
        let task = body.get("task").text().to_owned();
        let number = body.get("run").number().unwrap_or(0) as u32;
        let until_ms = body.get("until_ms").number().unwrap_or(0);
        let clock_ms = state.clock_ms();
        let refuse = |reason: &str| {
            (409, format!("{{\"clock_ms\":{clock_ms},\"reason\":\"{reason}\"}}"))
        };
        if task.is_empty() || number == 0 {
            return (400, format!("{{\"clock_ms\":{clock_ms}}}"));
        }
        if until_ms <= clock_ms {
            return refuse("late");
        }
        state.renew(Some(until_ms));
        if state.runs.contains_key(&(task.clone(), number)) {
            return (200, format!("{{\"clock_ms\":{clock_ms}}}"));
        }
        if state.highest.get(&task).is_some_and(|highest| *highest >= number) {
            return refuse("old");
        }
        let field = |name: &str| {
            let words = body.get("spec").text().split(' ').filter_map(|word| word.split_once('='));
            words.into_iter().find(|(key, _)| *key == name).and_then(|(_, text)| text.parse().ok())
        };
        // A job with two steps may give a work time for each, as `work0_ms` and `work1_ms`.
        let step = task.split('.').nth(2).unwrap_or("0");
        let work_ms = field(&format!("work{step}_ms")).or(field("work_ms")).unwrap_or(100);
        let cpu = field("cpu").unwrap_or(1_000);
        let used: u64 = state.runs.values().map(|run| run.cpu).sum();
        if used + cpu > CORES * 1_000 {
            return refuse("room");
        }
        let began = Instant::now();
        let index = self.record.began(&task, number, &self.id, began);
        let work = Duration::from_millis(work_ms);
        state.runs.insert((task, number), Running { cpu, began, work, stops_at: None, index });
        (200, format!("{{\"clock_ms\":{clock_ms}}}"))
    }
}

impl State {
    /// Reading of the minion's steady clock.
    fn clock_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Extends the lease of everything that runs here; it is never shortened.
    fn renew(&mut self, until_ms: Option<u64>) {
        let Some(until_ms) = until_ms else { return };
        let until_ms = until_ms.min(self.clock_ms() + HOLD_MAX_MS);
        self.lease_until_ms = self.lease_until_ms.max(until_ms);
    }

    fn listing(&self) -> String {
        let running = self.runs.iter().map(|((task, number), run)| {
            let share = run.began.elapsed().as_secs_f64() / run.work.as_secs_f64().max(1e-3);
            let percent = (share * 100.0).min(99.0) as u32;
            format!("[\"{task}\",{number},\"\",{percent},{}]", run.cpu)
        });
        let running: Vec<String> = running.collect();
        let ended = self.ended.iter().take(MAX_ENDS).map(|(sequence, task, number, how)| {
            format!("[{sequence},\"{task}\",{number},\"{how}\",\"\"]")
        });
        let ended: Vec<String> = ended.collect();
        format!(
            "{{\"clock_ms\":{},\"born\":{},\"running\":[{}],\"ended\":[{}]}}",
            self.clock_ms(),
            self.born,
            running.join(","),
            ended.join(",")
        )
    }
}
