//! Stand-in of a minion.

use crate::http::{Answer, Request, Server};
use crate::json::{Value, object};
use crate::record::Record;
use crate::store::Store;
use std::collections::BTreeMap;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Longest lease (`hold_max_ms`).
const MAX_LEASE_MS: u64 = 1_000;
/// Time that a stop takes; `stop_ms` allows 50.
const STOP_TIME: Duration = Duration::from_millis(20);
/// Period of the entries in the store (`heartbeat_ms`).
const HEARTBEAT: Duration = Duration::from_millis(1_500);
const TICK: Duration = Duration::from_millis(2);

/// What a minion is.
#[derive(Clone, Debug)]
pub struct Kind {
    pub service: &'static str,
    pub zone: &'static str,
    /// Thousandths of a core.
    pub cpu: u64,
    pub labels: Vec<&'static str>,
    /// Whether it rejects what does not fit (`admission_check`).
    pub guards: bool,
}

/// One run of a task, as the minion saw it.
#[derive(Clone, Debug)]
pub struct Span {
    pub task: String,
    pub number: u64,
    pub minion: String,
    pub began: Duration,
    pub ended: Option<Duration>,
    pub how: &'static str,
    /// CPU in use on the minion once it had begun, in thousandths of a core.
    pub cpu_in_use: u64,
}

#[derive(Debug)]
struct Run {
    number: u64,
    began: Instant,
    work: Duration,
    cpu: u64,
    stops_at: Option<Instant>,
    span: usize,
}

#[derive(Debug)]
struct State {
    kind: Kind,
    started: Instant,
    born_ms: u64,
    lease_end_ms: u64,
    runs: BTreeMap<String, Run>,
    /// Highest ended or stopped number of each task.
    ended_numbers: BTreeMap<String, u64>,
    ends: Vec<(u64, String, u64, &'static str)>,
    last_end: u64,
    sequence: u64,
    /// Whether the process has ended.
    is_down: bool,
    /// Whether requests are lost on their way.
    is_cut_off: bool,
    /// Whether its entries don't reach the store.
    is_cut_from_store: bool,
    entered: Instant,
    /// Time after which orders to start are carried out, without an answer.
    start_delay: Option<Duration>,
    /// Time after which orders to stop are carried out, without an answer.
    stop_delay: Option<Duration>,
    spans: Vec<Span>,
    orders: u64,
    unanswered: u64,
}

#[derive(Clone, Debug)]
pub struct Minion {
    pub id: String,
    shared: Arc<(Mutex<State>, Condvar)>,
    server: Option<Server>,
    store: Store,
    record: Record,
}

impl Minion {
    /// Starts a minion, and enters it in the store.
    pub fn start(id: &str, ip: &str, kind: Kind, store: &Store, record: &Record) -> Self {
        let state = State {
            kind,
            started: Instant::now(),
            born_ms: unix_ms(),
            lease_end_ms: 0,
            runs: BTreeMap::new(),
            ended_numbers: BTreeMap::new(),
            ends: Vec::new(),
            last_end: 0,
            sequence: 0,
            is_down: false,
            is_cut_off: false,
            is_cut_from_store: false,
            entered: Instant::now(),
            start_delay: None,
            stop_delay: None,
            spans: Vec::new(),
            orders: 0,
            unanswered: 0,
        };
        let mut minion = Minion {
            id: id.to_owned(),
            shared: Arc::new((Mutex::new(state), Condvar::new())),
            server: None,
            store: store.clone(),
            record: record.clone(),
        };
        let serving = minion.clone();
        minion.server = Some(Server::start(ip, move |request| serving.handle(&request)));
        minion.enter();
        let ticking = minion.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(TICK);
                ticking.tick();
                ticking.keep_entry();
            }
        });
        minion
    }

    /// Renews the entry in the store. The platform removes it after three heartbeats of silence.
    fn keep_entry(&self) {
        let (is_silent, age) = {
            let state = self.shared.0.lock().unwrap();
            (state.is_cut_from_store || state.is_down, state.entered.elapsed())
        };
        if !is_silent && age >= HEARTBEAT {
            self.enter();
        } else if is_silent && age >= HEARTBEAT * 3 && age < HEARTBEAT * 4 {
            // As if it had never been entered, so that it isn't removed again.
            self.shared.0.lock().unwrap().entered -= HEARTBEAT;
            self.store.remove(&format!("servers/{}", self.id));
            self.record.say(format!("the entry of {} expires", self.id));
        }
    }

    /// Writes the minion's entry in the store.
    fn enter(&self) {
        let Some(server) = &self.server else { return };
        let mut state = self.shared.0.lock().unwrap();
        state.sequence += 1;
        state.entered = Instant::now();
        let capacity =
            object([("cpu", state.kind.cpu.into()), ("mem_mb", 32_768.into()), ("gpu", 0.into())]);
        let labels: Vec<Value> = state.kind.labels.iter().map(|label| (*label).into()).collect();
        let entry = object([
            ("service", state.kind.service.into()),
            ("address", server.address.to_string().into()),
            ("zone", state.kind.zone.into()),
            ("version", "v1".into()),
            ("slots", 8.into()),
            ("state", "ready".into()),
            ("cold_left_ms", 0.into()),
            ("capacity", capacity),
            ("labels", labels.into()),
            ("clock_ms", state.clock_ms().into()),
            ("seq", state.sequence.into()),
            ("born", state.born_ms.into()),
        ]);
        drop(state);
        self.store.put(&format!("servers/{}", self.id), &entry);
    }

    /// Leaves orders to stop unanswered, and carries them out after a delay.
    pub fn delay_stops(&self, delay: Option<Duration>) {
        self.shared.0.lock().unwrap().stop_delay = delay;
    }

    /// Leaves orders to start unanswered, and carries them out after a delay.
    pub fn delay_starts(&self, delay: Option<Duration>) {
        self.shared.0.lock().unwrap().start_delay = delay;
    }

    /// Partitions the minion from the store, not from the hosts.
    pub fn cut_from_store(&self, is_cut: bool) {
        self.shared.0.lock().unwrap().is_cut_from_store = is_cut;
        let state = if is_cut { "is partitioned from" } else { "reaches" };
        self.record.say(format!("{} {state} the store", self.id));
    }

    /// Ends the process: its runs are lost, connections are closed and refused.
    pub fn crash(&self) {
        if let Some(server) = &self.server {
            server.stop();
        }
        let mut state = self.shared.0.lock().unwrap();
        state.is_down = true;
        let tasks: Vec<String> = state.runs.keys().cloned().collect();
        for task in tasks {
            state.end(&task, "crashed", &self.record);
        }
        self.record.say(format!("{} crashes", self.id));
    }

    /// Starts a new process under the same id, which knows nothing of before.
    pub fn start_again(&self) {
        {
            let mut state = self.shared.0.lock().unwrap();
            state.started = Instant::now();
            state.born_ms = unix_ms();
            state.lease_end_ms = 0;
            state.ended_numbers.clear();
            state.ends.clear();
            state.last_end = 0;
            state.sequence = 0;
            state.is_down = false;
        }
        self.record.say(format!("{} starts again", self.id));
        if let Some(server) = &self.server {
            server.resume();
        }
        self.enter();
    }

    /// Loses all requests on their way; the minion runs on.
    pub fn cut_off(&self, is_cut_off: bool) {
        self.shared.0.lock().unwrap().is_cut_off = is_cut_off;
        let state = if is_cut_off { "is cut off" } else { "can be reached again" };
        self.record.say(format!("{} {state}", self.id));
    }

    /// Returns all runs so far.
    pub fn spans(&self) -> Vec<Span> {
        self.shared.0.lock().unwrap().spans.clone()
    }

    /// Returns the number of orders, and of those that were left unanswered.
    pub fn orders(&self) -> (u64, u64) {
        let state = self.shared.0.lock().unwrap();
        (state.orders, state.unanswered)
    }

    fn tick(&self) {
        let mut state = self.shared.0.lock().unwrap();
        let now = Instant::now();
        let has_lapsed = state.clock_ms() >= state.lease_end_ms;
        let how = |run: &Run| {
            if run.stops_at.is_some_and(|at| now >= at) {
                Some("stopped")
            } else if now >= run.began + run.work {
                Some("done")
            } else if has_lapsed {
                Some("lapsed")
            } else {
                None
            }
        };
        let ended: Vec<(String, &str)> =
            state.runs.iter().filter_map(|(task, run)| Some((task.clone(), how(run)?))).collect();
        for (task, how) in &ended {
            state.end(task, how, &self.record);
        }
        if !ended.is_empty() {
            self.shared.1.notify_all();
        }
    }

    fn handle(&self, request: &Request) -> Answer {
        if self.shared.0.lock().unwrap().is_cut_off {
            return None;
        }
        if request.instance != self.id {
            return Some((421, "{}".to_owned()));
        }
        let body = Value::parse(&request.body);
        match request.path.as_str() {
            "/api/run-start" => {
                let delay = {
                    let mut state = self.shared.0.lock().unwrap();
                    state.orders += 1;
                    state.unanswered += u64::from(state.start_delay.is_some());
                    state.start_delay
                };
                let Some(delay) = delay else { return Some(self.start_run(&body)) };
                self.record.add(format!(
                    "{} leaves the order to start {} run {} unanswered",
                    self.id,
                    body.get("task").text(),
                    body.get("run")
                ));
                let late = self.clone();
                thread::spawn(move || {
                    thread::sleep(delay);
                    if late.shared.0.lock().unwrap().is_down {
                        return;
                    }
                    let answer = late.start_run(&body);
                    late.record.add(format!("{} carries it out late: {answer:?}", late.id));
                });
                None
            }
            "/api/run-stop" => {
                let mut state = self.shared.0.lock().unwrap();
                state.orders += 1;
                if let Some(delay) = state.stop_delay {
                    state.unanswered += 1;
                    drop(state);
                    self.record.add(format!(
                        "{} leaves the order to stop {} run {} unanswered",
                        self.id,
                        body.get("task").text(),
                        body.get("run")
                    ));
                    let late = self.clone();
                    thread::spawn(move || {
                        thread::sleep(delay);
                        late.shared.0.lock().unwrap().stop(&body);
                    });
                    return None;
                }
                state.stop(&body);
                Some((200, object([("clock_ms", state.clock_ms().into())]).to_string()))
            }
            "/api/hold" => Some(self.hold(&body)),
            _ => Some((404, "{}".to_owned())),
        }
    }

    fn start_run(&self, body: &Value) -> (u16, String) {
        let mut state = self.shared.0.lock().unwrap();
        let task = body.get("task").text().to_owned();
        let number = body.get("run").whole().unwrap_or(0);
        let until = body.get("until_ms").whole().unwrap_or(0);
        let clock_ms = state.clock_ms();
        let answer = |status, reason: Option<&str>| {
            let mut fields = vec![("clock_ms".to_owned(), Value::from(clock_ms))];
            fields.extend(reason.map(|reason| ("reason".to_owned(), reason.into())));
            (status, Value::Object(fields.into_iter().collect()).to_string())
        };
        if until <= clock_ms {
            return answer(409, Some("late"));
        }
        state.renew(until);
        let known = state.runs.get(&task).map(|run| run.number);
        if known == Some(number) {
            return answer(200, None);
        }
        let ended = state.ended_numbers.get(&task).copied().unwrap_or(0);
        if number <= ended.max(known.unwrap_or(0)) {
            return answer(409, Some("old"));
        }
        let (work, cpu) = parse_spec(body.get("spec").text());
        let in_use = state.cpu_in_use() + cpu;
        if state.kind.guards && in_use > state.kind.cpu {
            return answer(409, Some("room"));
        }
        let span = Span {
            task: task.clone(),
            number,
            minion: self.id.clone(),
            began: self.record.now(),
            ended: None,
            how: "running",
            cpu_in_use: in_use,
        };
        self.record.add(format!("{} starts {task} run {number}, cpu in use {in_use}", self.id));
        state.spans.push(span);
        let span = state.spans.len() - 1;
        let run = Run { number, began: Instant::now(), work, cpu, stops_at: None, span };
        state.runs.insert(task, run);
        answer(200, None)
    }

    fn hold(&self, body: &Value) -> (u16, String) {
        let wait = Duration::from_millis(body.get("wait_ms").whole().unwrap_or(0).min(2_000));
        let end = Instant::now() + wait;
        let mut state = self.shared.0.lock().unwrap();
        if let Some(until) = body.get("until_ms").whole() {
            state.renew(until);
        }
        let acknowledged = body.get("acked_upto").whole().unwrap_or(0);
        state.ends.retain(|(sequence, ..)| *sequence > acknowledged);
        loop {
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() || !state.ends.is_empty() {
                break;
            }
            state = self.shared.1.wait_timeout(state, left).unwrap().0;
        }
        let percent = |run: &Run| {
            (run.began.elapsed().as_secs_f64() / run.work.as_secs_f64() * 100.0).min(99.0) as u64
        };
        let running = state.runs.iter().map(|(task, run)| {
            let row = [
                task.as_str().into(),
                run.number.into(),
                "".into(),
                percent(run).into(),
                run.cpu.into(),
            ];
            Value::List(row.into())
        });
        let ended = state.ends.iter().take(500).map(|(sequence, task, number, how)| {
            let row = [
                (*sequence).into(),
                task.as_str().into(),
                (*number).into(),
                (*how).into(),
                "".into(),
            ];
            Value::List(row.into())
        });
        let fields = [
            ("clock_ms", state.clock_ms().into()),
            ("born", state.born_ms.into()),
            ("running", running.collect::<Vec<_>>().into()),
            ("ended", ended.collect::<Vec<_>>().into()),
        ];
        (200, object(fields).to_string())
    }
}

impl State {
    fn clock_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    fn renew(&mut self, until: u64) {
        let granted = until.min(self.clock_ms() + MAX_LEASE_MS);
        self.lease_end_ms = self.lease_end_ms.max(granted);
    }

    fn cpu_in_use(&self) -> u64 {
        self.runs.values().map(|run| run.cpu).sum()
    }

    fn stop(&mut self, order: &Value) {
        let task = order.get("task").text();
        let number = order.get("run").whole().unwrap_or(0);
        match self.runs.get_mut(task) {
            Some(run) if run.number <= number => {
                run.stops_at.get_or_insert(Instant::now() + STOP_TIME);
            }
            _ => {
                let ended = self.ended_numbers.entry(task.to_owned()).or_default();
                *ended = number.max(*ended);
            }
        }
    }

    fn end(&mut self, task: &str, how: &'static str, record: &Record) {
        let Some(run) = self.runs.remove(task) else { return };
        let ended = self.ended_numbers.entry(task.to_owned()).or_default();
        *ended = run.number.max(*ended);
        self.last_end += 1;
        self.ends.push((self.last_end, task.to_owned(), run.number, how));
        let span = &mut self.spans[run.span];
        (span.ended, span.how) = (Some(record.now()), how);
        record.add(format!("{} ends {task} run {}: {how}", span.minion, run.number));
    }
}

/// Returns the time that a task takes and its CPU, from a spec such as `work_ms=900 cpu=4000`.
fn parse_spec(spec: &str) -> (Duration, u64) {
    let field = |name: &str| {
        let mut words = spec.split(' ').filter_map(|word| word.split_once('='));
        words.find(|(key, _)| *key == name).and_then(|(_, value)| value.parse().ok()).unwrap_or(0)
    };
    (Duration::from_millis(field("work_ms")), field("cpu"))
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64)
}
