//! Child processes: started, stopped, frozen, killed, and always reaped.

use anyhow::{Context, Result};
use rustix::process::{Pid, Signal, kill_process};
use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// How long a child that has only just started may take until it can be asked to stop.
const STOP_READY_LIMIT: Duration = Duration::from_secs(20);

/// Pause between looks at whether a child has ended.
const WAIT_POLL: Duration = Duration::from_millis(20);

/// Which program a child runs. Most are inside the fleet's own executable, so that one build is enough.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Program {
    /// The product.
    Product,
    /// An executable that holds nothing else.
    Whole,
    /// A stand-in.
    StandIn,
    /// Hollow engines or relays.
    Hollow,
}

/// The word on the fleet's command line that makes it run a program.
pub fn program_word(program: Program) -> Option<&'static str> {
    match program {
        Program::Product => Some("run-product"),
        Program::Whole => None,
        Program::StandIn => Some("run-standin"),
        Program::Hollow => Some("run-hollow"),
    }
}

/// The executable that is running now.
pub fn own_executable() -> Result<PathBuf> {
    std::env::current_exe().context("cannot find the fleet's own executable")
}

/// How a child is started, and started again.
#[derive(Clone, Debug)]
pub struct ChildSpec {
    /// Its name in logs and reports.
    pub name: String,
    /// The fleet's executable, which holds every program.
    pub executable: PathBuf,
    /// The program.
    pub program: Program,
    /// Its arguments.
    pub arguments: Vec<String>,
    /// Where its output goes.
    pub output: PathBuf,
}

/// A running child; killed and reaped when dropped.
pub struct RunningChild {
    /// How it was started.
    pub spec: ChildSpec,
    child: Child,
}

impl RunningChild {
    /// Starts a child.
    pub fn start(spec: &ChildSpec) -> Result<Self> {
        let output = File::options().create(true).append(true).open(&spec.output);
        let output = output.with_context(|| format!("cannot write {}", spec.output.display()))?;
        let child = Command::new(&spec.executable)
            .args(program_word(spec.program))
            .args(&spec.arguments)
            .stdin(Stdio::null())
            .stdout(output.try_clone()?)
            .stderr(output)
            .spawn()
            .with_context(|| format!("cannot start {}", spec.name))?;
        Ok(Self { spec: spec.clone(), child })
    }

    /// The process's number.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(self.child.id() as i32);
        if let Some(pid) = pid {
            // A child that has already ended needs no signal.
            let _ = kill_process(pid, signal);
        }
    }

    /// Asks for an orderly stop, once the process is ready to be asked: one that has only just started would die of it.
    pub async fn ask_to_stop(&mut self) {
        self.until_caught(Signal::TERM).await;
        self.signal_stop();
    }

    /// Asks for an orderly stop at once.
    pub fn signal_stop(&self) {
        self.signal(Signal::TERM);
    }

    /// Signals that the settings have changed, once the process is ready to be told, as for [`Self::ask_to_stop`].
    pub async fn ask_to_reload(&mut self) {
        self.until_caught(Signal::HUP).await;
        self.signal_reload();
    }

    /// Signals at once that the settings have changed.
    pub fn signal_reload(&self) {
        self.signal(Signal::HUP);
    }

    /// Waits until a process that has only just started handles `signal`.
    async fn until_caught(&mut self, signal: Signal) {
        let deadline = Instant::now() + STOP_READY_LIMIT;
        while !self.catches(signal) && self.ended().is_none() && Instant::now() < deadline {
            compio::time::sleep(WAIT_POLL).await;
        }
    }

    /// Whether the process handles a signal, as the operating system tells.
    fn catches(&self, signal: Signal) -> bool {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap_or_default();
        let mask = status.lines().find_map(|line| line.strip_prefix("SigCgt:"));
        let mask = mask.and_then(|mask| u64::from_str_radix(mask.trim(), 16).ok()).unwrap_or_default();
        mask & (1 << (signal.as_raw() - 1)) != 0
    }

    /// Makes it stand still.
    pub fn freeze(&self) {
        self.signal(Signal::STOP);
    }

    /// Lets it go on.
    pub fn thaw(&self) {
        self.signal(Signal::CONT);
    }

    /// Kills it at once.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Whether it has ended, and how.
    pub fn ended(&mut self) -> Option<bool> {
        self.child.try_wait().ok().flatten().map(|status| status.success())
    }

    /// Waits until it has ended, for at most `limit`. Returns whether it ended well.
    pub async fn wait(&mut self, limit: Duration) -> Option<bool> {
        let deadline = Instant::now() + limit;
        loop {
            let ended = self.ended();
            if ended.is_some() || Instant::now() >= deadline {
                return ended;
            }
            compio::time::sleep(WAIT_POLL).await;
        }
    }

    /// Resident memory in bytes and processor time in milliseconds so far.
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

/// Ticks in a second, as the operating system counts processor time towards programs.
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
