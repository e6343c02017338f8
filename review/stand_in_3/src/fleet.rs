use crate::record::Record;
use crate::store::{Door, Store};
use crate::{ROUTE_HOST, ROUTE_PREFIX, SERVICE};
use serde_json::json;
use std::fs::File;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// Port of the metrics in the deploy file.
const METRICS_PORT: u16 = 9464;

/// The machine of an entry host.
#[derive(Clone, Copy, Debug)]
pub struct Machine {
    pub cpu_share: f64,
    pub memory_mb: usize,
    pub max_fds: usize,
}

/// An entry host with its process.
pub struct Host {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub control: SocketAddr,
    pub door: Door,
    machine: Machine,
    settings: PathBuf,
    log: PathBuf,
    process: Option<Child>,
}

/// The entry hosts of a deployment.
pub struct Fleet {
    pub hosts: Vec<Host>,
    directory: PathBuf,
    daemon: PathBuf,
    record: Record,
}

/// Returns the first three bytes of a loopback network whose addresses are free at the metrics' port.
fn free_network(hosts: usize) -> String {
    let seed = std::process::id();
    for attempt in 0..200u32 {
        let number = seed.wrapping_mul(31).wrapping_add(attempt * 977);
        let network = format!("127.{}.{}", 1 + number / 251 % 250, number % 251);
        let is_free = |index: usize| {
            TcpListener::bind((format!("{network}.{}", 10 + index), METRICS_PORT)).is_ok()
        };
        if (0..hosts).all(is_free) {
            return network;
        }
    }
    panic!("no free loopback addresses");
}

fn free_port(ip: &str) -> u16 {
    let listener = TcpListener::bind((ip, 0)).expect("a free port");
    listener.local_addr().expect("an address").port()
}

impl Fleet {
    /// Prepares hosts, each with a machine in a zone, without starting them.
    pub async fn prepare(store: &Store, machines: &[(&str, Machine)], record: &Record) -> Self {
        let directory =
            std::env::temp_dir().join(format!("heathertrack-review-{}", std::process::id()));
        std::fs::create_dir_all(&directory).expect("a temporary folder");
        let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
        let network = free_network(machines.len());
        let mut hosts = Vec::new();
        for (index, (zone, machine)) in machines.iter().enumerate() {
            let ip = format!("{network}.{}", 10 + index);
            let address = |port: u16| -> SocketAddr { format!("{ip}:{port}").parse().unwrap() };
            let (front, ready) = (address(free_port(&ip)), address(free_port(&ip)));
            let control = address(free_port(&ip));
            let (store_address, door) = store.serve("127.0.0.1").await;
            let name = format!("edge-{zone}-{}", index + 1);
            let settings = directory.join(format!("{name}.toml"));
            let text = format!(
                "node_name = \"{name}\"\nrole = \"entry\"\nmachine_class = \"edge\"\n\
                 serves = [\"edge\", \"control_plane\"]\nip = \"{ip}\"\nzone = \"{zone}\"\n\
                 region = \"r\"\nseeds = []\nbootstrap = true\ndiscovery = \"platform\"\n\
                 entry = \"vip\"\nheartbeat_ms = 1500\norders = \"call\"\n\
                 [listen]\nfront = \"{front}\"\nready = \"{ready}\"\ncontrol = \"{control}\"\n\
                 [limits]\ncpu_share = {}\ncores = 1\nmemory_mb = {}\nmax_fds = {}\n\
                 [bounds]\ngrace_s = 6\nconfig_apply_ms = 2000\nresend_ms = 1300\n\
                 [platform]\naddress = \"{store_address}\"\nform = \"kv\"\nwrites_per_s = 400\n\
                 reads_per_s = 2000\n",
                machine.cpu_share, machine.memory_mb, machine.max_fds,
            );
            std::fs::write(&settings, text).expect("the settings can be written");
            let log = directory.join(format!("{name}.log"));
            let machine = *machine;
            hosts.push(Host {
                name,
                front,
                ready,
                control,
                door,
                machine,
                settings,
                log,
                process: None,
            });
        }
        let daemon = root.join("target/release/heathertrackd");
        Fleet { hosts, directory, daemon, record: record.clone() }
    }

    /// Writes a configuration with one queue.
    pub fn configure(&self, store: &Store, version: u64) {
        store.put(
            "op/config",
            &json!({
                "version": version,
                "routes": [{
                    "name": "jobs", "host": ROUTE_HOST, "prefix": ROUTE_PREFIX,
                    "kind": "non_idempotent", "timeout_ms": 60_000, "target_latency_ms": 60,
                    "priority": 0, "service": SERVICE, "max_attempts": 3, "stretch": 1.6,
                }],
                "services": [{ "name": SERVICE, "admission_check": true }],
                "limits": {
                    "max_header_bytes": 16_384, "max_body_bytes": 262_144,
                    "header_timeout_ms": 3_000, "idle_timeout_ms": 15_000,
                },
            }),
        );
    }

    /// Starts the process of a host, with the descriptors of its machine.
    pub fn start(&mut self, index: usize) {
        let daemon = self.daemon.clone();
        let host = &mut self.hosts[index];
        let log = File::options().create(true).append(true).open(&host.log).expect("a log file");
        let errors = log.try_clone().expect("a second handle");
        // The shell only lowers the limit of descriptors and is replaced by the daemon.
        let command = format!(
            "ulimit -n {}; exec \"$0\" --platform --metrics-port {METRICS_PORT}",
            host.machine.max_fds
        );
        let process = Command::new("/bin/sh")
            .args(["-c", &command])
            .arg(&daemon)
            .env_clear()
            .env("PATH", "/usr/bin:/bin")
            .env("HEATHERTRACK_BOOT", &host.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .expect("the daemon can be started");
        self.record.add(format!("{} starts", host.name));
        host.process = Some(process);
    }

    /// Starts all hosts and waits until each is ready. Returns false if one is not.
    pub async fn start_all(&mut self) -> bool {
        for index in 0..self.hosts.len() {
            self.start(index);
        }
        for index in 0..self.hosts.len() {
            if !self.wait_ready(index, Duration::from_secs(10)).await {
                return false;
            }
        }
        // Hosts link to each other and take over the workers.
        sleep(Duration::from_millis(1_500)).await;
        true
    }

    pub async fn wait_ready(&self, index: usize, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if self.is_ready(index).await {
                return true;
            }
            sleep(Duration::from_millis(10)).await;
        }
        false
    }

    pub async fn is_ready(&self, index: usize) -> bool {
        let answer = self.ready_answer(index, Duration::from_millis(500)).await;
        answer.is_some_and(|text| text.starts_with("HTTP/1.1 200"))
    }

    /// Returns whether a host answers the check of its readiness, whatever it answers.
    pub async fn is_answering(&self, index: usize) -> bool {
        let answer = self.ready_answer(index, Duration::from_secs(1)).await;
        answer.is_some_and(|text| text.starts_with("HTTP/1.1"))
    }

    async fn ready_answer(&self, index: usize, limit: Duration) -> Option<String> {
        let check = async {
            let mut stream = TcpStream::connect(self.hosts[index].ready).await.ok()?;
            let request = "GET /api/ready HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
            stream.write_all(request.as_bytes()).await.ok()?;
            let mut text = String::new();
            stream.read_to_string(&mut text).await.ok()?;
            Some(text)
        };
        timeout(limit, check).await.ok().flatten()
    }

    pub fn pid(&self, index: usize) -> Option<u32> {
        self.hosts[index].process.as_ref().map(Child::id)
    }

    /// Returns whether the process of a host has ended by itself.
    pub fn has_ended(&mut self, index: usize) -> bool {
        let process = self.hosts[index].process.as_mut();
        process.is_some_and(|process| process.try_wait().ok().flatten().is_some())
    }

    /// Sends a signal to the process of a host.
    pub fn signal(&self, index: usize, signal: &str) {
        let Some(pid) = self.pid(index) else { return };
        self.record.add(format!("{} gets SIG{signal}", self.hosts[index].name));
        let _ = Command::new("/bin/kill").args([&format!("-{signal}"), &pid.to_string()]).status();
    }

    /// Kills the process of a host, and waits for its end.
    pub fn kill(&mut self, index: usize) {
        let host = &mut self.hosts[index];
        if let Some(mut process) = host.process.take() {
            self.record.add(format!("{} is killed", host.name));
            let _ = process.kill();
            let _ = process.wait();
        }
    }

    /// Returns the peak and the present memory of a host's process in megabytes, and its descriptors.
    pub fn usage(&self, index: usize) -> Option<(usize, usize, usize)> {
        let pid = self.pid(index)?;
        let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
        let field = |name: &str| -> Option<usize> {
            let line = status.lines().find_map(|line| line.strip_prefix(name))?;
            line.trim().trim_end_matches(" kB").trim().parse::<usize>().ok().map(|kb| kb >> 10)
        };
        let fds = std::fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, Iterator::count);
        Some((field("VmHWM:")?, field("VmRSS:")?, fds))
    }

    /// Returns the log of a host.
    pub fn log(&self, index: usize) -> String {
        std::fs::read_to_string(&self.hosts[index].log).unwrap_or_default()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for index in 0..self.hosts.len() {
            self.kill(index);
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.directory);
        } else {
            println!("kept {}", self.directory.display());
        }
    }
}
