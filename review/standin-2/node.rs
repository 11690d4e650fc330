//! Nodes under test: separate processes with the command of the deploy file.

use std::fs;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use crate::record::Record;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGSTOP: i32 = 19;

/// Processes that were started and have not been waited for.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());
/// Temporary folder of this run.
static FOLDER: Mutex<Option<PathBuf>> = Mutex::new(None);

/// Ends all processes that this run started, and removes its temporary folder.
pub fn kill_all() {
    for pid in STARTED.lock().unwrap().drain(..) {
        send_signal(pid, SIGKILL);
    }
    if let Some(folder) = FOLDER.lock().unwrap().take() {
        let _ = fs::remove_dir_all(folder);
    }
}

pub fn send_signal(pid: u32, signal: i32) {
    unsafe { kill(pid as i32, signal) };
}

/// Counts a process that this run started, so that it ends with the run.
pub fn record_started(pid: u32) {
    STARTED.lock().unwrap().push(pid);
}

/// Settings of a node that a case chooses.
#[derive(Clone, Debug)]
pub struct NodePlan {
    pub name: &'static str,
    pub zone: &'static str,
    pub memory_mb: usize,
    /// Number of the node, for its loopback address.
    pub number: u8,
    pub store: SocketAddr,
}

/// Process of a node.
pub struct Node {
    child: Child,
    settings: PathBuf,
    pub front: SocketAddr,
    pub ready: SocketAddr,
}

fn free_port(ip: Ipv4Addr) -> Result<u16, String> {
    let listener = TcpListener::bind((ip, 0)).map_err(|error| error.to_string())?;
    let port = listener
        .local_addr()
        .map_err(|error| error.to_string())?
        .port();
    Ok(port)
}

/// Returns a port that is free for both TCP and UDP.
fn peer_port(ip: Ipv4Addr) -> Result<u16, String> {
    for _ in 0..50 {
        let port = free_port(ip)?;
        if UdpSocket::bind((ip, port)).is_ok() {
            return Ok(port);
        }
    }
    Err("no port for other nodes".to_owned())
}

/// Address of a node: one of its own, so that each listens for metrics at the port of the deploy file.
fn node_ip(number: u8) -> Ipv4Addr {
    let run = std::process::id();
    Ipv4Addr::new(127, (run >> 8) as u8 % 200 + 20, run as u8, number)
}

/// Reads the command of the deploy file.
fn deploy_command() -> Result<Vec<String>, String> {
    let text = fs::read_to_string("deploy/system.toml").map_err(|error| error.to_string())?;
    let line = text
        .lines()
        .find_map(|line| line.trim().strip_prefix("run = \""));
    let line = line
        .and_then(|line| line.strip_suffix('"'))
        .ok_or("no command in the deploy file")?;
    Ok(line.split(' ').map(str::to_owned).collect())
}

/// Starts the process of a node, with the command of the deploy file.
fn spawn(settings: &Path) -> Result<Child, String> {
    let command = deploy_command()?;
    let mut process = Command::new(&command[0]);
    process.args(&command[1..]).env_clear();
    for name in ["PATH", "HOME", "LANG"] {
        if let Ok(value) = std::env::var(name) {
            process.env(name, value);
        }
    }
    process.env("PLUMGATE_SETTINGS", settings);
    process
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(Stdio::null());
    let child = process.spawn();
    let child = child.map_err(|error| format!("{}: {error}", command[0]))?;
    record_started(child.id());
    Ok(child)
}

impl Node {
    /// Kills the process.
    pub fn kill(&mut self) {
        send_signal(self.pid(), SIGKILL);
        let _ = self.child.wait();
    }

    /// Starts the process again after it was killed, with the same settings.
    pub fn restart(&mut self) -> Result<(), String> {
        self.child = spawn(&self.settings)?;
        Ok(())
    }

    /// Starts a node with settings like those of the pages' small deployments.
    pub fn start(plan: &NodePlan, record: &Record) -> Result<Self, String> {
        let ip = node_ip(plan.number);
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        *FOLDER.lock().unwrap() = Some(folder.clone());
        let (front, ready) = (free_port(ip)?, free_port(ip)?);
        let peers = peer_port(ip)?;
        let settings = format!(
            "nodeName={name}\nrole=gateway\nmachineClass=edge\nserves=edge\nip={ip}\nzone={zone}\n\
             region=tx-central\nzones.tx-central-a=tx-central\nzones.tx-central-b=tx-central\n\
             listen.front={ip}:{front}\nlisten.ready={ip}:{ready}\ninternalPorts={peers},{peers}\n\
             bootstrap=true\nlimits.cpuShare=0.09\nlimits.cpuCores=1\nlimits.memoryMb={memory}\n\
             limits.maxFds=3075\nlimits.linkMbps=200.0\nlimits.diskMb=0\ndiscovery=platform\nentry=vip\n\
             heartbeatMs=1200\nbounds.contactMs=4000\nbounds.drainMs=3000\nbounds.graceS=8\n\
             bounds.configApplyMs=3000\nbounds.revokeStrict=true\nbounds.revokeMs=5000\n\
             bounds.budgetRatio=0.2\nbounds.budgetWindowS=10\nbounds.budgetExtra=202\n\
             platform.address={store}\nplatform.form=table\nplatform.writesPerS=1200\n\
             platform.readsPerS=6000\nplatform.historyS=20\n",
            name = plan.name,
            zone = plan.zone,
            memory = plan.memory_mb,
            store = plan.store,
        );
        let path = folder.join(format!("{}.conf", plan.name));
        fs::write(&path, settings).map_err(|error| error.to_string())?;
        let child = spawn(&path)?;
        record.note(&format!("node {} starts at {ip}:{front}", plan.name));
        Ok(Self {
            child,
            settings: path,
            front: SocketAddr::from((ip, front)),
            ready: SocketAddr::from((ip, ready)),
        })
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Returns whether the process runs.
    pub fn runs(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Waits until the node answers that it is ready, twice in a row as the platform asks.
    pub fn wait_until_ready(&mut self) -> Result<(), String> {
        let deadline = Instant::now() + Duration::from_secs(20);
        let mut count = 0;
        while Instant::now() < deadline {
            if !self.runs() {
                return Err("the node ended at its start".to_owned());
            }
            count = if self.is_ready() { count + 1 } else { 0 };
            if count == 2 {
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(300));
        }
        Err("the node does not become ready".to_owned())
    }

    /// Returns whether the node answers that it is ready.
    pub fn is_ready(&self) -> bool {
        use std::io::{Read, Write};
        let Ok(mut stream) = TcpStream::connect(self.ready) else {
            return false;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
        let _ = stream.write_all(b"GET /ready HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n");
        let mut answer = Vec::new();
        let _ = stream.read_to_end(&mut answer);
        answer.starts_with(b"HTTP/1.1 200")
    }

    /// Returns the memory of the process that no file backs, in kilobytes.
    pub fn memory_kb(&self) -> u64 {
        let text = fs::read_to_string(format!("/proc/{}/status", self.pid())).unwrap_or_default();
        let line = text.lines().find_map(|line| line.strip_prefix("RssAnon:"));
        let number = line.and_then(|line| line.split_whitespace().next());
        number
            .and_then(|number| number.parse().ok())
            .unwrap_or_default()
    }
}
