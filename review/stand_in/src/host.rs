//! Entry hosts: the project's daemon as separate processes, started as the deploy file says.

use crate::http::call;
use std::fs::File;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::Duration;

pub const SIGTERM: i32 = 15;
pub const SIGKILL: i32 = 9;
const PR_SET_PDEATHSIG: i32 = 1;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, argument: u64, a: u64, b: u64, c: u64) -> i32;
}

pub struct Host {
    pub name: String,
    pub zone: String,
    pub front: SocketAddr,
    ready: SocketAddr,
    metrics: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    program: Vec<String>,
    process: Mutex<Option<Child>>,
}

/// Addresses of a host, all on its own loopback address.
pub struct Addresses {
    pub ip: Ipv4Addr,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub control: SocketAddr,
}

impl Host {
    /// Writes the settings of a host, with the figures of a small deployment.
    pub fn prepare(
        name: &str,
        zone: &str,
        zones: &[&str],
        addresses: &Addresses,
        seeds: &[SocketAddr],
        store: SocketAddr,
        directory: &Path,
    ) -> Host {
        let Addresses { ip, front, ready, control } = addresses;
        let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
        let zones: String = zones.iter().map(|zone| format!("{zone} = \"ee-north\"\n")).collect();
        let text = format!(
            "node_name = \"{name}\"\nrole = \"entry\"\nmachine_class = \"edge\"\n\
             serves = [\"edge\",\"control_plane\"]\nip = \"{ip}\"\nzone = \"{zone}\"\n\
             region = \"ee-north\"\nport_range = [7720,7735]\nseeds = [{}]\nbootstrap = true\n\
             counts_as_loss = false\ndiscovery = \"platform\"\nentry = \"vip\"\n\
             heartbeat_ms = 1500\norders = \"call\"\n[zones]\n{zones}\
             [listen]\nfront = \"{front}\"\nready = \"{ready}\"\ncontrol = \"{control}\"\n\
             [limits]\ncpu_share = 0.25\ncores = 1\nmemory_mb = 260\nmax_fds = 4100\n\
             link_mbps = 1000.0\ndisk_mb = 0\n[fault_tolerance]\nmachines = 2\nzones = 1\n\
             regions = 0\n[bounds]\ncontact_ms = 3000\nack_ms = 4000\ndrain_ms = 2000\n\
             grace_s = 6\nloss_slack_ms = 200\nconfig_apply_ms = 2000\nrecovery_s = 12\n\
             hold_max_ms = 1000\nstop_ms = 50\ncancel_ms = 3000\nvisible_ms = 3000\n\
             resend_ms = 1300\n[platform]\naddress = \"{store}\"\nform = \"kv\"\n\
             writes_per_s = 400\nreads_per_s = 2000\nhistory_s = 20\nvalue_bytes = 1048576\n\
             ttl_min_ms = 1000\n",
            seeds.join(",")
        );
        let settings = directory.join(format!("{name}.toml"));
        std::fs::write(&settings, text).expect("the settings can be written");
        let program = deployed_program();
        // The port of the metrics stands in the deploy file, as an argument.
        let port = program.iter().skip_while(|word| *word != "--metrics-port").nth(1);
        let port = port.and_then(|text| text.parse().ok()).unwrap_or(9464);
        Host {
            name: name.to_owned(),
            zone: zone.to_owned(),
            front: *front,
            ready: *ready,
            metrics: SocketAddr::from((*ip, port)),
            settings,
            log: directory.join(format!("{name}.log")),
            program,
            process: Mutex::new(None),
        }
    }

    pub fn start(&self) -> io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let mut command = Command::new(&self.program[0]);
        command.args(&self.program[1..]);
        command.env_clear();
        for name in ["PATH", "HOME", "LANG"] {
            if let Some(value) = std::env::var_os(name) {
                command.env(name, value);
            }
        }
        command.env("HEATHERTRACK_BOOT", &self.settings);
        command.stdin(Stdio::null()).stderr(log.try_clone()?).stdout(log);
        // The process ends with this one, however this one ends.
        let end_with_parent = || {
            unsafe { prctl(PR_SET_PDEATHSIG, SIGKILL as u64, 0, 0, 0) };
            Ok(())
        };
        unsafe { command.pre_exec(end_with_parent) };
        *self.process.lock().unwrap() = Some(command.spawn()?);
        Ok(())
    }

    pub fn signal(&self, signal: i32) {
        if let Some(child) = &*self.process.lock().unwrap() {
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    /// Kills the process, if it runs, and waits for its end.
    pub fn kill(&self) {
        if let Some(mut child) = self.process.lock().unwrap().take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Returns whether the process has ended by itself.
    pub fn has_ended(&self) -> bool {
        let mut process = self.process.lock().unwrap();
        process.as_mut().is_none_or(|child| matches!(child.try_wait(), Ok(Some(_))))
    }

    pub fn is_ready(&self) -> bool {
        let timeout = Duration::from_millis(500);
        call(self.ready, "GET", "/api/ready", "host: x\r\n", "", timeout).status() == Some(200)
    }

    /// Returns the value of a gauge of the host's own metrics.
    pub fn gauge(&self, name: &str) -> Option<f64> {
        let timeout = Duration::from_millis(500);
        let answer = call(self.metrics, "GET", "/metrics", "host: x\r\n", "", timeout);
        let crate::http::Answer::Status(200, text) = answer else { return None };
        let line = text.lines().find(|line| line.starts_with(&format!("{name} ")))?;
        line.rsplit(' ').next()?.parse().ok()
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Returns the words of the `run` line of the deploy file.
fn deployed_program() -> Vec<String> {
    let text = std::fs::read_to_string("deploy/system.toml").expect("the deploy file can be read");
    let line = text.lines().find(|line| line.starts_with("run = ")).expect("a role has a program");
    line["run = ".len()..].trim_matches('"').split(' ').map(str::to_owned).collect()
}
