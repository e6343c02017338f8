use crate::arguments::Arguments;
use crate::fault::Fault;
use crate::figures::{Ended, Figures};
use crate::messages::Messages;
use crate::setup::{
    DATA_CENTRES, HOSTS_EACH, SLOTS, Setup, UPSTREAM_ROUND_TRIP, UPSTREAMS_EACH, accelerators,
    capacity, slowness,
};
use crate::workload::{CUSTOMERS, Job, WORTHS, Workload};
use heathertrack_platform::{Etcd, HttpHostList};
use heathertrack_testkit::client::Client;
use heathertrack_testkit::fixture::{customers, eventually, free_address, platform_answers};
use heathertrack_testkit::platform::Platform;
use heathertrack_testkit::precise;
use heathertrack_testkit::upstream::{Mode, Setting, Upstream};
use heathertrackd::{Node, Settings, Trial};
use hyper::Method;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::task::JoinSet;

/// Time for estimates to settle before anything is counted.
const WARM_UP: Duration = Duration::from_millis(1_500);
/// Length of a burst, and how many times the usual load it brings.
const BURST: Duration = Duration::from_millis(500);
const BURST_FACTOR: f64 = 5.0;
/// Upstreams in a rack.
const RACK: usize = 8;

/// Keys of the jobs under way, so that they can be cancelled.
type UnderWay = Arc<Mutex<Vec<(usize, String)>>>;

/// An installation in this process: platform, entry hosts, upstreams.
pub struct Bench {
    arguments: Arguments,
    nodes: Vec<Node>,
    upstreams: Vec<Upstream>,
    callers: Vec<SocketAddr>,
    operators: Vec<SocketAddr>,
    clients: Vec<Client>,
}

impl Bench {
    pub async fn start(arguments: &Arguments, trial: Option<Trial>) -> Self {
        let platform = free_address();
        tokio::spawn(Platform::default().serve(platform));
        let mut listed = Vec::new();
        let upstreams = start_upstreams(arguments.setup, &mut listed).await;
        let settings: Vec<Settings> = (0..DATA_CENTRES * HOSTS_EACH)
            .map(|index| settings(index, platform, arguments.setup, trial))
            .collect();
        listed.extend(settings.iter().map(listed_host));
        prepare(platform, &listed).await;
        let mut nodes = Vec::new();
        for settings in settings {
            let store = Etcd::open(settings.platform.store.clone());
            let hosts = HttpHostList::open(settings.platform.host_list.clone());
            nodes.push(Node::bind(settings, store, hosts).await.expect("a host can start"));
        }
        let clients = (0..CUSTOMERS).map(|n| Client::new(&format!("token-{}", name(n)))).collect();
        let bench = Bench {
            arguments: arguments.clone(),
            callers: nodes.iter().map(|node| node.addresses().callers).collect(),
            operators: nodes.iter().map(|node| node.addresses().operators).collect(),
            nodes,
            upstreams,
            clients,
        };
        bench.wait_ready().await;
        bench
    }

    async fn wait_ready(&self) {
        for operators in &self.operators {
            eventually("a host is ready", || async {
                let client = Client::new("");
                let status: Option<heathertrack_wire::status::Status> =
                    client.get(operators, "/status").await;
                status.is_some_and(|s| s.ready && s.seats > 0 && s.seats <= 20)
            })
            .await;
        }
    }

    pub async fn stop(self) {
        let stopping = self.nodes.into_iter().map(Node::stop);
        let mut set: JoinSet<()> = stopping.collect();
        while set.join_next().await.is_some() {}
    }

    /// Sends jobs for the time of one run and gives its figures.
    pub async fn run(&self, variant: &str, load: f64) -> Figures {
        let fault = self.arguments.fault;
        let load = if fault == Some(Fault::Overload) { 2.0 } else { load };
        let span = Duration::from_secs_f64(self.arguments.seconds);
        self.calm();
        let mut workload = Workload::new(self.arguments.seed, load, fault);
        let mut jobs = JoinSet::new();
        let under_way = UnderWay::default();
        let began = Instant::now();
        let fault_at = WARM_UP + span / 2;
        let mut next = began;
        let mut before = None;
        let mut faulty = false;
        let mut failing_before = 0;
        loop {
            let now = began.elapsed();
            if now >= WARM_UP + span {
                break;
            }
            if before.is_none() && now >= WARM_UP {
                before = Some(Messages::read(&self.operators[0]).await);
            }
            if !faulty && now >= fault_at && fault.is_some() {
                faulty = true;
                self.break_something(&under_way);
                failing_before = self.starts_at_failing();
            }
            let bursting = fault.is_some_and(Fault::has_burst) && faulty && now < fault_at + BURST;
            next += workload.pause(if bursting { BURST_FACTOR } else { 1.0 });
            let job = workload.job(faulty, self.callers.len());
            tokio::time::sleep_until(next.into()).await;
            let counted = began.elapsed() >= WARM_UP;
            let end = began + WARM_UP + span;
            let after_fault = faulty || fault.is_none();
            jobs.spawn(self.send(job, counted, after_fault, end, under_way.clone()));
        }
        let ended: Vec<Ended> = jobs.join_all().await;
        let messages = Messages::read(&self.operators[0]).await;
        let messages = messages.since(&before.unwrap_or_default());
        let mut figures =
            Figures::of(variant, load, &ended, capacity() * span.as_secs_f64(), &messages);
        figures.fault = fault.map(|fault| fault.name().to_owned());
        let to_failing = self.starts_at_failing() - failing_before;
        let after = ended.iter().filter(|job| job.after_fault && job.counted);
        let after: usize = after.map(|job| job.tasks).sum();
        figures.share_to_failing = to_failing as f64 / after.max(1) as f64;
        figures
    }

    /// Sends one job after the client's latency; gives how it ended.
    fn send(
        &self,
        job: Job,
        counted: bool,
        after_fault: bool,
        end: Instant,
        under_way: UnderWay,
    ) -> impl Future<Output = Ended> + Send + 'static {
        let client = self.clients[job.customer].clone();
        let host = self.callers[job.host];
        let latency = self.arguments.setup.client_latency();
        let ideal = job.longest + 2 * latency + UPSTREAM_ROUND_TRIP;
        let keyed = self.arguments.fault == Some(Fault::Cancel);
        let span = Duration::from_secs_f64(self.arguments.seconds);
        async move {
            let key = if keyed { Some(format!("{}/1", client.ticket(&host).await)) } else { None };
            if let Some(key) = &key {
                let mut under_way = under_way.lock().expect("nobody panics with it");
                under_way.push((job.customer, key.clone()));
            }
            let began = Instant::now();
            precise::sleep(latency).await;
            let answer = client.submit(&host, key.as_deref(), &job.body).await;
            precise::sleep(latency).await;
            if let Some(key) = &key {
                let mut under_way = under_way.lock().expect("nobody panics with it");
                under_way.retain(|(_, other)| other != key);
            }
            let left = end.saturating_duration_since(Instant::now());
            Ended {
                customer: job.customer,
                tasks: job.tasks,
                status: answer.status,
                not_run: answer.says_not_run(),
                elapsed: began.elapsed(),
                ideal,
                work: job.work,
                counted,
                in_time: (Duration::from_nanos(1)..=span).contains(&left),
                after_fault,
            }
        }
    }

    /// Everything works again.
    fn calm(&self) {
        for (index, upstream) in self.upstreams.iter().enumerate() {
            upstream.set(setting(index));
        }
    }

    fn break_something(&self, under_way: &UnderWay) {
        let Some(fault) = self.arguments.fault else { return };
        for (index, upstream) in self.upstreams.iter().enumerate() {
            let place = index % UPSTREAMS_EACH;
            let usual = setting(index);
            if fault.has_straggler() && place == 2 {
                upstream.set(usual.slowness(10.0 * usual.slowness));
            }
            if fault == Fault::Failing && place == 2 {
                upstream.set(usual.mode(Mode::Fail));
            }
            if fault == Fault::Rack && index < RACK {
                upstream.set(usual.mode(Mode::Die));
            }
        }
        if fault == Fault::Cancel {
            self.cancel_half(under_way);
        }
    }

    fn cancel_half(&self, under_way: &UnderWay) {
        let mut random = StdRng::seed_from_u64(self.arguments.seed);
        let keys = under_way.lock().expect("nobody panics with it").clone();
        for (customer, key) in keys.into_iter().filter(|_| random.random_bool(0.5)) {
            let client = self.clients[customer].clone();
            let host = self.callers[0];
            tokio::spawn(async move { client.cancel(&host, &key).await });
        }
    }

    /// Starts at upstreams that fail everything.
    fn starts_at_failing(&self) -> usize {
        let failing = |index: usize| index % UPSTREAMS_EACH == 2;
        let all = self.upstreams.iter().enumerate().filter(|(index, _)| failing(*index));
        all.map(|(_, upstream)| upstream.starts().len()).sum()
    }
}

fn setting(index: usize) -> Setting {
    let latency_us = u64::try_from(UPSTREAM_ROUND_TRIP.as_micros()).unwrap_or_default();
    Setting { mode: Mode::Work, slowness: slowness(index % UPSTREAMS_EACH), latency_us }
}

fn name(customer: usize) -> String {
    format!("customer-{customer}")
}

async fn start_upstreams(setup: Setup, listed: &mut Vec<Value>) -> Vec<Upstream> {
    let (cores, memory_mb) = setup.worker();
    let mut upstreams = Vec::new();
    for index in 0..DATA_CENTRES * UPSTREAMS_EACH {
        let upstream = Upstream::new(SLOTS as usize, setting(index));
        let address = free_address();
        let listener = TcpListener::bind(address).await.expect("an upstream can listen");
        tokio::spawn(upstream.clone().serve_on(listener));
        listed.push(json!({
            "name": format!("u{index}"), "address": address.to_string(),
            "data_centre": data_centre(index / UPSTREAMS_EACH),
            "rack": format!("r{}", index / RACK), "role": "upstream", "state": "live",
            "slots": SLOTS, "connections": 64, "cores": cores, "memory_mb": memory_mb,
            "accelerators": accelerators(index % UPSTREAMS_EACH),
        }));
        upstreams.push(upstream);
    }
    upstreams
}

fn data_centre(index: usize) -> String {
    format!("dc-{}", index + 1)
}

fn settings(index: usize, platform: SocketAddr, setup: Setup, trial: Option<Trial>) -> Settings {
    let text = json!({
        "name": format!("e{index}"),
        "data_centre": data_centre(index / HOSTS_EACH),
        "listen": {
            "callers": free_address().to_string(),
            "peers": free_address().to_string(),
            "operators": free_address().to_string(),
        },
        "platform": {
            "store": [platform.to_string()],
            "host_list": format!("http://{platform}/hosts"),
        },
        "limits": {"drain_notice_ms": 0},
    });
    let mut settings = Settings::read("settings", &text.to_string()).expect("they are valid");
    settings.policy.objective = setup.objective();
    settings.policy.trial = trial;
    settings
}

fn listed_host(settings: &Settings) -> Value {
    json!({
        "name": settings.name.as_str(), "address": settings.listen.peers.to_string(),
        "data_centre": settings.data_centre.as_str(), "role": "entry", "state": "live",
    })
}

/// Writes the lists and the host list.
async fn prepare(platform: SocketAddr, hosts: &[Value]) {
    platform_answers(&platform).await;
    let client = Client::new("");
    let list = json!({"revision": 1, "hosts": hosts}).to_string();
    client.call(Method::POST, &platform, "/control/hosts", None, &list).await;
    let entry = |n: usize| (name(n), "plan".to_owned(), WORTHS[n]);
    let plans = customers(&(0..CUSTOMERS).map(entry).collect::<Vec<_>>());
    let allowances = json!({"plans": {"plan": {
        "tasks_at_once": 60_000, "starts_per_second": 60_000.0, "burst": 60_000.0,
        "tasks_per_job": 340, "task_cores": 2_000, "task_memory_mb": 8_192,
        "task_accelerators": 1, "deadline_ms": 30_000,
    }}});
    write_list(platform, "plans", &plans).await;
    write_list(platform, "allowances", &allowances).await;
}

async fn write_list(platform: SocketAddr, list: &str, value: &Value) {
    use heathertrack_platform::{Store, Swap};
    let key = format!("/heathertrack/lists/{list}");
    let swap = Swap { key, expected: 0, value: value.to_string().into_bytes() };
    Etcd::open([platform]).swap(vec![swap]).await.expect("the stand-in takes lists");
}
