//! Child processes: start, stop, pause, kill and reap.

use anyhow::{Context, Result};
use rustix::process::{Pid, Signal, kill_process};
use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Timeout for a child to install its signal handler.
const SIGNAL_HANDLER_TIMEOUT: Duration = Duration::from_secs(20);

/// Polling interval while waiting for a child.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The program that a child runs; all but `Executable` are subcommands of the fleet's own executable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Program {
    /// The saddlerelay service.
    Product,
    /// The whole executable, without a subcommand.
    Executable,
    /// A stand-in for a system around the service.
    StandIn,
    /// Many hollow engines or relays in one process.
    Hollow,
}

/// The fleet's subcommand that runs `program`.
pub fn subcommand(program: Program) -> Option<&'static str> {
    match program {
        Program::Product => Some("run-product"),
        Program::Executable => None,
        Program::StandIn => Some("run-standin"),
        Program::Hollow => Some("run-hollow"),
    }
}

/// The path of the current executable.
pub fn own_executable() -> Result<PathBuf> {
    std::env::current_exe().context("cannot find the fleet's own executable")
}

/// How a child is started and restarted.
#[derive(Clone, Debug)]
pub struct ChildSpec {
    /// Its name in logs and reports.
    pub name: String,
    /// The executable.
    pub executable: PathBuf,
    /// The program that the executable runs.
    pub program: Program,
    /// Arguments after the subcommand.
    pub arguments: Vec<String>,
    /// File to which its standard output and error are appended.
    pub output: PathBuf,
}

/// A child process, killed and reaped when dropped.
pub struct RunningChild {
    /// How it was started.
    pub spec: ChildSpec,
    child: Child,
}

impl RunningChild {
    /// Starts a child; fails if its output file cannot be opened or the process cannot be spawned.
    pub fn start(spec: &ChildSpec) -> Result<Self> {
        let output = File::options().create(true).append(true).open(&spec.output);
        let output = output.with_context(|| format!("cannot write {}", spec.output.display()))?;
        let child = Command::new(&spec.executable)
            .args(subcommand(spec.program))
            .args(&spec.arguments)
            .stdin(Stdio::null())
            .stdout(output.try_clone()?)
            .stderr(output)
            .spawn()
            .with_context(|| format!("cannot start {}", spec.name))?;
        Ok(Self { spec: spec.clone(), child })
    }

    /// The process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(self.child.id() as i32);
        if let Some(pid) = pid {
            // The child may have exited already.
            let _ = kill_process(pid, signal);
        }
    }

    /// Sends SIGTERM once the process handles it; before that, the signal would kill it.
    pub async fn request_stop(&mut self) {
        self.wait_for_handler(Signal::TERM).await;
        self.signal_stop();
    }

    /// Sends SIGTERM without waiting for a handler.
    pub fn signal_stop(&self) {
        self.signal(Signal::TERM);
    }

    /// Sends SIGHUP, which reloads the settings, once the process handles it.
    pub async fn request_reload(&mut self) {
        self.wait_for_handler(Signal::HUP).await;
        self.signal_reload();
    }

    /// Sends SIGHUP without waiting for a handler.
    pub fn signal_reload(&self) {
        self.signal(Signal::HUP);
    }

    /// Waits until the process handles `signal` or has exited, for at most [`SIGNAL_HANDLER_TIMEOUT`].
    async fn wait_for_handler(&mut self, signal: Signal) {
        let deadline = Instant::now() + SIGNAL_HANDLER_TIMEOUT;
        while !self.handles(signal) && self.ended().is_none() && Instant::now() < deadline {
            compio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Whether the process has a handler for `signal`.
    fn handles(&self, signal: Signal) -> bool {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap_or_default();
        let mask = status.lines().find_map(|line| line.strip_prefix("SigCgt:"));
        let mask = mask.and_then(|mask| u64::from_str_radix(mask.trim(), 16).ok()).unwrap_or_default();
        mask & (1 << (signal.as_raw() - 1)) != 0
    }

    /// Pauses the process with SIGSTOP.
    pub fn freeze(&self) {
        self.signal(Signal::STOP);
    }

    /// Resumes the process with SIGCONT.
    pub fn thaw(&self) {
        self.signal(Signal::CONT);
    }

    /// Kills and reaps the process.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Whether the process exited successfully; `None` while it runs.
    pub fn ended(&mut self) -> Option<bool> {
        self.child.try_wait().ok().flatten().map(|status| status.success())
    }

    /// Waits for the exit for at most `limit`. Returns whether it was successful, or `None` on a timeout.
    pub async fn wait(&mut self, limit: Duration) -> Option<bool> {
        let deadline = Instant::now() + limit;
        loop {
            let ended = self.ended();
            if ended.is_some() || Instant::now() >= deadline {
                return ended;
            }
            compio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Resident memory in bytes and total processor time in milliseconds.
    pub fn usage(&self) -> Option<(u64, u64)> {
        let folder = PathBuf::from(format!("/proc/{}", self.child.id()));
        Some((resident_bytes(&folder)?, processor_milliseconds(&folder)?))
    }
}

fn resident_bytes(folder: &Path) -> Option<u64> {
    let status = std::fs::read_to_string(folder.join("status")).ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    let kilobytes: u64 = line.trim().trim_end_matches("kB").trim().parse().ok()?;
    Some(kilobytes * 1024)
}

/// Clock ticks per second in `/proc/PID/stat`.
const TICKS_PER_SECOND: u64 = 100;

fn processor_milliseconds(folder: &Path) -> Option<u64> {
    let stat = std::fs::read_to_string(folder.join("stat")).ok()?;
    let after_name = stat.rsplit_once(')')?.1;
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let user: u64 = fields.get(11)?.parse().ok()?;
    let system: u64 = fields.get(12)?.parse().ok()?;
    Some((user + system) * 1000 / TICKS_PER_SECOND)
}

impl Drop for RunningChild {
    fn drop(&mut self) {
        self.thaw();
        self.kill();
    }
}
