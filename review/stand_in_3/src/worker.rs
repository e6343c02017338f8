use crate::SERVICE;
use crate::http::{Received, serve};
use crate::record::Record;
use crate::store::Store;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, timeout};

/// Longest lease that a worker grants.
const HOLD_MAX_MS: u64 = 1_000;
/// Time that a stop takes.
const STOP_TIME: Duration = Duration::from_millis(10);
/// Ends in one list.
const MAX_ENDS: usize = 500;

/// A worker (minion). The `spec` of a job tells it what a task does: `w=MILLISECONDS c=MILLICORES
/// m=MEGABYTES`.
#[derive(Clone)]
pub struct Worker(Arc<Shared>);

struct Shared {
    id: String,
    zone: String,
    capacity: (u64, u64),
    began: Instant,
    born: u64,
    record: Record,
    state: Mutex<State>,
    changed: Notify,
}

#[derive(Default)]
struct State {
    until_ms: u64,
    running: BTreeMap<String, Running>,
    /// Highest run of each task that was stopped or has ended.
    settled: BTreeMap<String, u64>,
    ended: Vec<(u64, String, u64, &'static str)>,
    ends: u64,
    /// Whether the path to the worker is cut: calls get no answer and are not executed.
    is_cut: bool,
    /// All runs so far.
    runs: Vec<Run>,
    is_draining: bool,
}

struct Running {
    run: u64,
    began: Instant,
    work: Duration,
    needs: (u64, u64),
    index: usize,
}

/// A run of a task, with the times of its begin and its end in milliseconds of the record.
#[derive(Clone, Debug)]
pub struct Run {
    pub worker: String,
    pub task: String,
    pub run: u64,
    pub began_ms: f64,
    pub ended_ms: Option<f64>,
    pub how: &'static str,
}

impl Worker {
    pub async fn start(
        id: &str,
        zone: &str,
        capacity: (u64, u64),
        record: &Record,
        store: &Store,
    ) -> Self {
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64;
        let worker = Worker(Arc::new(Shared {
            id: id.to_owned(),
            zone: zone.to_owned(),
            capacity,
            began: Instant::now(),
            born,
            record: record.clone(),
            state: Mutex::default(),
            changed: Notify::new(),
        }));
        let serving = worker.clone();
        let address = serve("127.0.0.1:0".parse().unwrap(), move |request| {
            let worker = serving.clone();
            async move { worker.handle(request).await }
        });
        let address = address.await;
        worker.register(store, address);
        let (beating, store) = (worker.clone(), store.clone());
        tokio::spawn(async move {
            loop {
                sleep(Duration::from_millis(1_500)).await;
                if !beating.0.state.lock().unwrap().is_cut {
                    beating.register(&store, address);
                }
            }
        });
        let ticking = worker.clone();
        tokio::spawn(async move {
            loop {
                sleep(Duration::from_millis(2)).await;
                ticking.tick();
            }
        });
        worker
    }

    fn register(&self, store: &Store, address: SocketAddr) {
        let shared = &self.0;
        let state = if shared.state.lock().unwrap().is_draining { "draining" } else { "ready" };
        store.put(
            &format!("servers/{}", shared.id),
            &json!({
                "service": SERVICE, "address": address.to_string(), "zone": shared.zone,
                "version": "v1", "slots": 8, "state": state, "cold_left_ms": 0,
                "capacity": { "cpu": shared.capacity.0, "mem_mb": shared.capacity.1, "gpu": 0 },
                "labels": ["a", "r1"], "seq": self.clock_ms() / 1_500 + 1, "born": shared.born,
            }),
        );
    }

    /// Cuts the path to the worker, or restores it. Its runs go on until their lease ends.
    pub fn cut(&self, is_cut: bool) {
        self.0.state.lock().unwrap().is_cut = is_cut;
        self.0.record.add(format!(
            "worker {} is {}",
            self.0.id,
            if is_cut { "cut off" } else { "reached again" }
        ));
    }

    /// Returns all runs so far.
    pub fn runs(&self) -> Vec<Run> {
        self.0.state.lock().unwrap().runs.clone()
    }

    pub fn running(&self) -> usize {
        self.0.state.lock().unwrap().running.len()
    }

    fn clock_ms(&self) -> u64 {
        self.0.began.elapsed().as_millis() as u64
    }

    /// Ends runs that are done, and all runs when the lease has ended.
    fn tick(&self) {
        let clock_ms = self.clock_ms();
        let mut state = self.0.state.lock().unwrap();
        let has_lapsed = clock_ms >= state.until_ms;
        let over: Vec<String> = state
            .running
            .iter()
            .filter(|(_, running)| has_lapsed || running.began.elapsed() >= running.work)
            .map(|(task, _)| task.clone())
            .collect();
        for task in &over {
            let is_done = state.running[task].began.elapsed() >= state.running[task].work;
            self.end(&mut state, task, if is_done { "done" } else { "lapsed" });
        }
    }

    fn end(&self, state: &mut State, task: &str, how: &'static str) {
        let Some(running) = state.running.remove(task) else { return };
        let settled = state.settled.entry(task.to_owned()).or_default();
        *settled = (*settled).max(running.run);
        state.ends += 1;
        let number = state.ends;
        state.ended.push((number, task.to_owned(), running.run, how));
        state.runs[running.index].ended_ms = Some(self.0.record.now_ms());
        state.runs[running.index].how = how;
        self.0.record.add(format!("worker {}: {task} run {} ends {how}", self.0.id, running.run));
        self.0.changed.notify_waiters();
    }

    async fn handle(&self, request: Received) -> Option<(u16, Value)> {
        if self.0.state.lock().unwrap().is_cut {
            return None;
        }
        if request.instance != self.0.id {
            return Some((421, json!({})));
        }
        let body = &request.body;
        let answer = match request.path.as_str() {
            "/api/run-start" => self.start_run(body),
            "/api/run-stop" => self.stop_run(body),
            "/api/hold" => self.hold(body).await,
            _ => (400, json!({})),
        };
        if self.0.state.lock().unwrap().is_cut {
            return None;
        }
        Some(answer)
    }

    fn extend(&self, state: &mut State, until_ms: u64) {
        state.until_ms = state.until_ms.max(until_ms.min(self.clock_ms() + HOLD_MAX_MS));
    }

    fn start_run(&self, body: &Value) -> (u16, Value) {
        self.tick();
        let task = body["task"].as_str().unwrap_or_default().to_owned();
        let run = body["run"].as_u64().unwrap_or_default();
        let until_ms = body["until_ms"].as_u64().unwrap_or_default();
        let clock_ms = self.clock_ms();
        let mut state = self.0.state.lock().unwrap();
        let refused = |reason: &str| {
            self.0.record.add(format!("worker {}: {task} run {run} refused: {reason}", self.0.id));
            (409, json!({ "clock_ms": clock_ms, "reason": reason }))
        };
        if until_ms <= clock_ms {
            return refused("late");
        }
        self.extend(&mut state, until_ms);
        let known = state.running.get(&task).map(|running| running.run);
        if known == Some(run) {
            return (200, json!({ "clock_ms": clock_ms }));
        }
        if known.is_some() || state.settled.get(&task).is_some_and(|settled| *settled >= run) {
            return refused("old");
        }
        let spec = body["spec"].as_str().unwrap_or_default();
        let field = |name: &str, default: u64| {
            let found = spec.split(' ').find_map(|part| part.strip_prefix(name));
            found.and_then(|text| text.parse().ok()).unwrap_or(default)
        };
        let needs = (field("c=", 1_000), field("m=", 64));
        let used = state
            .running
            .values()
            .fold((0, 0), |sum, running| (sum.0 + running.needs.0, sum.1 + running.needs.1));
        if used.0 + needs.0 > self.0.capacity.0 || used.1 + needs.1 > self.0.capacity.1 {
            return refused("room");
        }
        let index = state.runs.len();
        state.runs.push(Run {
            worker: self.0.id.clone(),
            task: task.clone(),
            run,
            began_ms: self.0.record.now_ms(),
            ended_ms: None,
            how: "running",
        });
        let work = Duration::from_millis(field("w=", 100));
        self.0.record.add(format!("worker {}: {task} run {run} begins", self.0.id));
        state.running.insert(task, Running { run, began: Instant::now(), work, needs, index });
        (200, json!({ "clock_ms": clock_ms }))
    }

    fn stop_run(&self, body: &Value) -> (u16, Value) {
        let task = body["task"].as_str().unwrap_or_default().to_owned();
        let run = body["run"].as_u64().unwrap_or_default();
        {
            let mut state = self.0.state.lock().unwrap();
            let settled = state.settled.entry(task.clone()).or_default();
            *settled = (*settled).max(run);
        }
        let worker = self.clone();
        tokio::spawn(async move {
            sleep(STOP_TIME).await;
            let mut state = worker.0.state.lock().unwrap();
            if state.running.get(&task).is_some_and(|running| running.run <= run) {
                worker.end(&mut state, &task, "stopped");
            }
        });
        (200, json!({ "clock_ms": self.clock_ms() }))
    }

    async fn hold(&self, body: &Value) -> (u16, Value) {
        let acked = body["acked_upto"].as_u64().unwrap_or_default();
        let wait = Duration::from_millis(body["wait_ms"].as_u64().unwrap_or_default());
        let end = Instant::now() + wait;
        self.tick();
        {
            let mut state = self.0.state.lock().unwrap();
            if let Some(until_ms) = body["until_ms"].as_u64() {
                self.extend(&mut state, until_ms);
            }
            state.ended.retain(|(number, ..)| *number > acked);
        }
        loop {
            let changed = self.0.changed.notified();
            if !self.0.state.lock().unwrap().ended.is_empty() {
                break;
            }
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            let _ = timeout(left, changed).await;
        }
        self.tick();
        let state = self.0.state.lock().unwrap();
        let percent = |running: &Running| {
            let share =
                running.began.elapsed().as_secs_f64() / running.work.as_secs_f64().max(0.001);
            (share * 100.0).min(99.0) as u64
        };
        let running: Vec<Value> = state
            .running
            .iter()
            .map(|(task, running)| {
                json!([task, running.run, "", percent(running), running.needs.0])
            })
            .collect();
        let ended: Vec<Value> = state
            .ended
            .iter()
            .take(MAX_ENDS)
            .map(|(number, task, run, how)| json!([number, task, run, how, ""]))
            .collect();
        let clock_ms = self.clock_ms();
        let born = self.0.born;
        (200, json!({ "clock_ms": clock_ms, "born": born, "running": running, "ended": ended }))
    }
}
