//! An entry host: a process of the project, started with the command of the deploy file.

use crate::http::{self, Reply};
use crate::record::Record;
use std::fs::File;
use std::net::{IpAddr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

const READY_TIMEOUT: Duration = Duration::from_secs(15);
/// Command of `deploy/system.toml`.
const COMMAND: &str = "target/release/heathertrackd --platform --metrics-port 9464";

unsafe extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
}

#[derive(Clone, Copy, Debug)]
pub enum Signal {
    Kill = 9,
    Terminate = 15,
}

#[derive(Debug)]
pub struct Host {
    pub name: String,
    pub front: SocketAddr,
    ready: SocketAddr,
    control: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    root: PathBuf,
    process: Option<Child>,
    record: Record,
}

/// What the settings of a host say.
#[derive(Clone, Debug)]
pub struct Settings<'a> {
    pub name: &'a str,
    /// A loopback address of its own, as all hosts use the same port for metrics.
    pub ip: &'a str,
    pub zone: &'a str,
    pub cpu_share: f64,
    pub store: SocketAddr,
}

impl Host {
    /// Writes the settings of a host into a folder.
    pub fn prepare(
        settings: &Settings,
        seeds: &[SocketAddr],
        folder: &Path,
        record: &Record,
    ) -> Self {
        let Settings { name, ip, zone, cpu_share, store } = settings;
        let [front, ready, control] = free_ports(ip);
        let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
        let text = format!(
            "node_name = \"{name}\"\nrole = \"entry\"\nmachine_class = \"edge\"\n\
             serves = [\"edge\",\"control_plane\"]\nip = \"{ip}\"\nzone = \"{zone}\"\n\
             region = \"r\"\nport_range = [0,0]\nseeds = [{}]\nbootstrap = true\n\
             discovery = \"platform\"\nentry = \"vip\"\nheartbeat_ms = 1500\norders = \"call\"\n\
             [listen]\nfront = \"{front}\"\nready = \"{ready}\"\ncontrol = \"{control}\"\n\
             [limits]\ncpu_share = {cpu_share}\ncores = 1\nmemory_mb = 260\nmax_fds = 4100\n\
             [bounds]\ngrace_s = 6\nconfig_apply_ms = 2000\ndrain_ms = 2000\ncontact_ms = 3000\n\
             hold_max_ms = 1000\nstop_ms = 50\nresend_ms = 1300\n\
             [platform]\naddress = \"{store}\"\nform = \"kv\"\nwrites_per_s = 400\n\
             reads_per_s = 2000\nhistory_s = 20\nvalue_bytes = 1048576\nttl_min_ms = 1000\n",
            seeds.join(",")
        );
        let path = folder.join(format!("{name}.toml"));
        std::fs::write(&path, text).expect("the settings can be written");
        Host {
            name: (*name).to_owned(),
            front,
            ready,
            control,
            settings: path,
            log: folder.join(format!("{name}.log")),
            root: std::env::current_dir().expect("there is a current folder"),
            process: None,
            record: record.clone(),
        }
    }

    pub fn control(&self) -> SocketAddr {
        self.control
    }

    pub fn start(&mut self) {
        let mut words = COMMAND.split(' ');
        let program = words.next().unwrap_or_default();
        let log = File::options().create(true).append(true).open(&self.log);
        let log = log.expect("the log can be written");
        let process = Command::new(self.root.join(program))
            .args(words)
            .env("HEATHERTRACK_BOOT", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("the log can be shared"))
            .stderr(log)
            .spawn()
            .expect("the program of the deploy file starts");
        self.record.say(format!("{} starts", self.name));
        self.process = Some(process);
    }

    /// Waits until the host is ready. Returns whether it is.
    pub fn wait_ready(&self) -> bool {
        let end = Instant::now() + READY_TIMEOUT;
        while Instant::now() < end {
            let wait = Duration::from_millis(500);
            let reply = http::call(self.ready, "GET", "ready", "/api/ready", "", wait);
            if matches!(reply, Reply::Status(200, _)) {
                return true;
            }
            thread::sleep(Duration::from_millis(20));
        }
        false
    }

    pub fn signal(&self, signal: Signal) {
        let Some(process) = &self.process else { return };
        self.record.say(format!("{} gets {signal:?}", self.name));
        // SAFETY: a plain system call with the id of a process that this one has started and not
        // waited for, so that the id is not used again.
        unsafe { kill(process.id() as i32, signal as i32) };
    }

    pub fn wait_end(&mut self) {
        if let Some(mut process) = self.process.take() {
            let _ = process.wait();
            self.record.say(format!("{} has ended", self.name));
        }
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        if let Some(process) = &mut self.process {
            // It may have ended before.
            let _ = process.kill();
            let _ = process.wait();
        }
    }
}

/// Returns three different free ports of an address.
fn free_ports(ip: &str) -> [SocketAddr; 3] {
    let ip: IpAddr = ip.parse().expect("an IP address");
    let listen = |_| TcpListener::bind((ip, 0)).expect("a loopback address has a free port");
    // All are held until the last one is chosen.
    let listeners = [0, 1, 2].map(listen);
    listeners.map(|listener| listener.local_addr().expect("a bound listener has an address"))
}
