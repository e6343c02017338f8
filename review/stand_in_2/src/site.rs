//! A small deployment on loopback: a store, minions, entry hosts and clients.

use crate::host::{Host, Settings};
use crate::http::{self, Reply};
use crate::json::{Value, object};
use crate::minion::{Kind, Minion, Span};
use crate::record::Record;
use crate::store::Store;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

pub const ROUTE_HOST: &str = "shop.example";
pub const ROUTE_PREFIX: &str = "/jobs/";
pub const SERVICE: &str = "service";
/// Time after which a client sends a job again (`resend_ms`).
pub const RESEND: Duration = Duration::from_millis(1_300);

pub struct Site {
    pub record: Record,
    pub store: Store,
    store_address: SocketAddr,
    pub hosts: Vec<Host>,
    pub minions: Vec<Minion>,
    folder: PathBuf,
}

impl Site {
    /// Starts a store with a configuration. `case` is the folder of the case.
    pub fn start(case: &Path, guards: bool) -> Self {
        let record = Record::create(&case.join("record.txt")).expect("the record can be written");
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a temporary folder can be made");
        let (store, store_address) = Store::serve(&ip(1));
        let service = object([
            ("name", SERVICE.into()),
            ("health_path", "/health".into()),
            ("max_conns", 64.into()),
            ("protocol", "h1".into()),
            ("tls", false.into()),
            ("admission_check", guards.into()),
            ("standby", false.into()),
        ]);
        let route = object([
            ("name", "route".into()),
            ("host", ROUTE_HOST.into()),
            ("prefix", ROUTE_PREFIX.into()),
            ("kind", "non_idempotent".into()),
            ("timeout_ms", 1_500.into()),
            ("target_latency_ms", 60.into()),
            ("priority", 0.into()),
            ("service", SERVICE.into()),
            ("max_attempts", 3.into()),
            ("stretch", Value::Number(1.6)),
        ]);
        let limits = object([
            ("max_header_bytes", 16_384.into()),
            ("max_body_bytes", 262_144.into()),
            ("header_timeout_ms", 3_000.into()),
            ("idle_timeout_ms", 15_000.into()),
        ]);
        let configuration = object([
            ("version", 7.into()),
            ("routes", vec![route].into()),
            ("services", vec![service].into()),
            ("limits", limits),
        ]);
        store.put("op/config", &configuration);
        Site { record, store, store_address, hosts: Vec::new(), minions: Vec::new(), folder }
    }

    pub fn add_minion(&mut self, kind: Kind) {
        let number = self.minions.len();
        let id = format!("i-{number:08x}");
        let minion = Minion::start(&id, &ip(100 + number), kind, &self.store, &self.record);
        self.minions.push(minion);
    }

    pub fn add_host(&mut self, zone: &str, cpu_share: f64) {
        let number = self.hosts.len() + 1;
        let settings = Settings {
            name: &format!("edge-{zone}-{number}"),
            ip: &ip(10 + number),
            zone,
            cpu_share,
            store: self.store_address,
        };
        let seeds: Vec<SocketAddr> = self.hosts.iter().take(3).map(Host::control).collect();
        self.hosts.push(Host::prepare(&settings, &seeds, &self.folder, &self.record));
    }

    /// Starts all hosts. Exits with 2 if one doesn't become ready.
    pub fn start_hosts(&mut self) {
        self.hosts.iter_mut().for_each(Host::start);
        for host in &self.hosts {
            if !host.wait_ready() {
                self.record.say(format!("{} is not ready", host.name));
                self.cannot_run();
            }
        }
        // Time for links and ownership of the minions.
        thread::sleep(Duration::from_secs(2));
    }

    /// Ends the script, as the case could not run.
    pub fn cannot_run(&self) -> ! {
        let _ = std::fs::remove_dir_all(&self.folder);
        self.record.say("result: the case could not run");
        // Ends the hosts, which `exit` would leave running.
        for host in &self.hosts {
            host.signal(crate::host::Signal::Kill);
        }
        std::process::exit(2)
    }

    /// Ends the hosts, and writes the end of their logs to the record.
    pub fn end_hosts(&mut self) {
        for host in &mut self.hosts {
            host.signal(crate::host::Signal::Kill);
            host.wait_end();
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        } else {
            println!("logs in {}", self.folder.display());
        }
    }

    /// Returns the number of orders to all minions, and of those that were left unanswered.
    pub fn orders(&self) -> (u64, u64) {
        let orders = self.minions.iter().map(Minion::orders);
        orders.fold((0, 0), |sum, orders| (sum.0 + orders.0, sum.1 + orders.1))
    }

    /// Returns the runs of all minions by their begin.
    pub fn spans(&self) -> Vec<Span> {
        let mut spans: Vec<Span> = self.minions.iter().flat_map(Minion::spans).collect();
        spans.sort_by_key(|span| span.began);
        spans
    }
}

/// Returns a loopback address of this process, so that scripts beside each other don't share any.
pub fn ip(number: usize) -> String {
    let process = std::process::id() % 25_000;
    format!("127.{}.{}.{number}", 20 + process / 250, 1 + process % 250)
}

/// What a client does with a job.
#[derive(Clone, Debug)]
pub struct Job {
    pub id: String,
    pub body: String,
}

impl Job {
    /// Returns a job that needn't be kept, with one step.
    pub fn new(count: u64, work_ms: u64, cpu: u64, needs: Option<&str>) -> Self {
        Self::with_estimate(count, work_ms, work_ms, cpu, needs)
    }

    /// Returns a job of which each minion with a label may run one task at a time.
    pub fn one_per_minion(count: u64, work_ms: u64, cpu: u64, needs: &str) -> Self {
        let job = Self::new(count, work_ms, cpu, Some(needs));
        let body = job.body.replace("\"mem_mb\"", "\"max_per_server\":1,\"mem_mb\"");
        Job { body, ..job }
    }

    pub fn with_estimate(
        count: u64,
        work_ms: u64,
        estimate_ms: u64,
        cpu: u64,
        needs: Option<&str>,
    ) -> Self {
        static LAST: AtomicU64 = AtomicU64::new(0);
        let number = LAST.fetch_add(1, Ordering::Relaxed) + 1;
        let id = format!("{:016x}", u64::from(std::process::id()) << 32 | number);
        let mut step = vec![
            ("count".to_owned(), Value::from(count)),
            ("cpu".to_owned(), cpu.into()),
            ("mem_mb".to_owned(), 64.into()),
            ("estimate_ms".to_owned(), estimate_ms.into()),
        ];
        step.extend(needs.map(|label| ("needs".to_owned(), label.into())));
        let step = Value::Object(step.into_iter().collect());
        let body = object([
            ("spec", format!("work_ms={work_ms} cpu={cpu}").into()),
            ("best_effort", true.into()),
            ("steps", vec![step].into()),
        ]);
        Job { id, body: body.to_string() }
    }

    /// Submits the job once, and records what was sent and answered.
    pub fn submit(&self, host: &str, front: SocketAddr, wait: Duration, record: &Record) -> Reply {
        record.add(format!("client sends {} to {host}", self.id));
        let path = format!("{ROUTE_PREFIX}{}", self.id);
        let reply = http::call(front, "POST", ROUTE_HOST, &path, &self.body, wait);
        record.add(format!("client gets {reply:?} for {} from {host}", self.id));
        reply
    }

    /// Cancels the job, and records what was sent and answered.
    pub fn cancel(&self, host: &str, front: SocketAddr, record: &Record) -> Reply {
        record.add(format!("client cancels {} at {host}", self.id));
        let path = format!("{ROUTE_PREFIX}{}", self.id);
        let wait = Duration::from_millis(1_500);
        let reply = http::call(front, "DELETE", ROUTE_HOST, &path, "", wait);
        record.say(format!("{} was cancelled at {host}: {reply:?}", self.id));
        reply
    }
}
