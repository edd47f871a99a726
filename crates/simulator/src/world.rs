//! The virtual clock, the executor, and processes.

use crate::disk::DiskTable;
use crate::network::Network;
use fastrand::Rng;
use futures::executor::{LocalPool, LocalSpawner};
use futures::task::LocalSpawnExt;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::Duration;

/// The wall clock at the start of every run, in Unix milliseconds.
pub const START_UNIX_MILLISECONDS: u64 = 1_700_000_000_000;

/// An event scheduled at a point of virtual time.
pub enum Event {
    /// Wakes a sleeping task.
    Wake(Waker),
    /// Calls a function, for example to deliver a packet.
    Call(Box<dyn FnOnce()>),
}

/// The virtual clock and its queue of scheduled events.
#[derive(Default)]
pub struct Clock {
    now: Cell<Duration>,
    sequence: Cell<u64>,
    queue: RefCell<BTreeMap<(Duration, u64), Event>>,
}

impl Clock {
    /// Virtual time since the start of the run.
    pub fn now(&self) -> Duration {
        self.now.get()
    }

    /// Schedules an event at `at`, or now if `at` has passed. Returns its key in the queue.
    pub fn schedule(&self, at: Duration, event: Event) -> (Duration, u64) {
        let sequence = self.sequence.get();
        self.sequence.set(sequence + 1);
        let key = (at.max(self.now.get()), sequence);
        self.queue.borrow_mut().insert(key, event);
        key
    }

    fn cancel(&self, key: (Duration, u64)) {
        self.queue.borrow_mut().remove(&key);
    }

    /// Removes the earliest event and advances the clock to its time; `None` if the queue is empty.
    fn pop_next(&self) -> Option<Event> {
        let ((at, _), event) = self.queue.borrow_mut().pop_first()?;
        self.now.set(at);
        Some(event)
    }
}

/// Sleeps until a point of virtual time.
pub struct Sleep {
    clock: Rc<Clock>,
    until: Duration,
    key: Option<(Duration, u64)>,
}

impl Sleep {
    /// Sleeps until `until` on the virtual clock.
    pub fn new(clock: Rc<Clock>, until: Duration) -> Self {
        Self { clock, until, key: None }
    }
}

impl Future for Sleep {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        if let Some(key) = self.key.take() {
            self.clock.cancel(key);
        }
        if self.clock.now() >= self.until {
            return Poll::Ready(());
        }
        let key = self.clock.schedule(self.until, Event::Wake(context.waker().clone()));
        self.key = Some(key);
        Poll::Pending
    }
}

impl Drop for Sleep {
    fn drop(&mut self) {
        if let Some(key) = self.key.take() {
            self.clock.cancel(key);
        }
    }
}

/// Sleeps on a process's timer clock, which does not advance while its machine is suspended.
pub struct ProcessSleep {
    clock: Rc<Clock>,
    process: Rc<Process>,
    /// Time of the process's timer clock.
    until: Duration,
    wait: Option<Sleep>,
}

impl ProcessSleep {
    /// Sleeps for `duration` of the process's timer clock.
    pub fn new(clock: Rc<Clock>, process: Rc<Process>, duration: Duration) -> Self {
        let until = process.timer_time(clock.now()) + duration;
        Self { clock, process, until, wait: None }
    }
}

impl Future for ProcessSleep {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        let now = self.clock.now();
        let remaining = self.until.saturating_sub(self.process.timer_time(now));
        if remaining.is_zero() {
            return Poll::Ready(());
        }
        let mut wait = Sleep::new(self.clock.clone(), now + remaining);
        let polled = Pin::new(&mut wait).poll(context);
        self.wait = Some(wait);
        polled
    }
}

/// One incarnation of a process.
pub struct Process {
    /// Its name, which also identifies its disk; both are kept across restarts.
    pub name: String,
    /// Index of its zone; the clients' zone follows the last zone of the deployment.
    pub zone: usize,
    /// Offset of its wall clock, in milliseconds.
    pub clock_error: i64,
    alive: Cell<bool>,
    frozen: Cell<bool>,
    /// Virtual time at which the current suspension of its machine began.
    suspended_at: Cell<Option<Duration>>,
    /// Total duration of earlier suspensions.
    suspended_for: Cell<Duration>,
    next_task: Cell<u64>,
    tasks: RefCell<BTreeMap<u64, Waker>>,
}

impl Process {
    /// Whether it has not been killed.
    pub fn is_alive(&self) -> bool {
        self.alive.get()
    }

    /// Whether its tasks are paused.
    pub fn is_frozen(&self) -> bool {
        self.frozen.get()
    }

    /// Its timer clock at `now`, which excludes time in suspension.
    pub fn timer_time(&self, now: Duration) -> Duration {
        let current_suspension = self.suspended_at.get().map_or(Duration::ZERO, |at| now.saturating_sub(at));
        now.saturating_sub(self.suspended_for.get() + current_suspension)
    }

    /// Suspends its machine: pauses all tasks and the timer clock.
    pub fn suspend(&self, now: Duration) {
        self.suspended_at.set(Some(now));
        self.freeze();
    }

    /// Ends the suspension of its machine.
    pub fn resume(&self, now: Duration) {
        if let Some(at) = self.suspended_at.take() {
            self.suspended_for.set(self.suspended_for.get() + now.saturating_sub(at));
        }
        self.thaw();
    }

    fn wake_tasks(&self) {
        let wakers: Vec<Waker> = self.tasks.borrow().values().cloned().collect();
        wakers.into_iter().for_each(Waker::wake);
    }

    /// Drops all its tasks at their next poll.
    pub fn kill(&self) {
        self.alive.set(false);
        self.wake_tasks();
    }

    /// Pauses all tasks; its timer clock keeps running.
    pub fn freeze(&self) {
        self.frozen.set(true);
    }

    /// Resumes all tasks.
    pub fn thaw(&self) {
        self.frozen.set(false);
        self.wake_tasks();
    }
}

/// A task of a process.
struct Task {
    process: Rc<Process>,
    id: u64,
    future: Option<Pin<Box<dyn Future<Output = ()>>>>,
}

impl Future for Task {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        let process = self.process.clone();
        if !process.is_alive() {
            self.future = None;
            return Poll::Ready(());
        }
        process.tasks.borrow_mut().insert(self.id, context.waker().clone());
        if process.frozen.get() {
            return Poll::Pending;
        }
        let Some(future) = self.future.as_mut() else {
            return Poll::Ready(());
        };
        let polled = future.as_mut().poll(context);
        if polled.is_ready() || !process.is_alive() {
            self.future = None;
            process.tasks.borrow_mut().remove(&self.id);
            return Poll::Ready(());
        }
        Poll::Pending
    }
}

/// The simulated environment: clock, network, disks, random numbers and executor.
pub struct World {
    /// The virtual clock.
    pub clock: Rc<Clock>,
    /// The network between the processes.
    pub network: Network,
    /// The disks, by process name.
    pub disks: DiskTable,
    random: RefCell<Rng>,
    spawner: LocalSpawner,
    events: Cell<u64>,
}

impl World {
    /// Creates a world whose random numbers are derived from `seed`, and the executor for its tasks.
    pub fn new(seed: u64) -> (Rc<Self>, LocalPool) {
        let pool = LocalPool::new();
        let world = Self {
            clock: Rc::default(),
            network: Network::default(),
            disks: DiskTable::default(),
            random: RefCell::new(Rng::with_seed(seed)),
            spawner: pool.spawner(),
            events: Cell::new(0),
        };
        (Rc::new(world), pool)
    }

    /// A random number.
    pub fn random(&self) -> u64 {
        self.random.borrow_mut().u64(..)
    }

    /// A random duration below `limit`.
    pub fn jitter(&self, limit: Duration) -> Duration {
        Duration::from_nanos(self.random() % limit.as_nanos().max(1) as u64)
    }

    /// Number of events executed.
    pub fn events(&self) -> u64 {
        self.events.get()
    }

    /// Creates a process without tasks.
    pub fn start_process(&self, name: &str, zone: usize, clock_error: i64) -> Rc<Process> {
        Rc::new(Process {
            name: name.to_string(),
            zone,
            clock_error,
            alive: Cell::new(true),
            frozen: Cell::new(false),
            suspended_at: Cell::new(None),
            suspended_for: Cell::new(Duration::ZERO),
            next_task: Cell::new(0),
            tasks: RefCell::default(),
        })
    }

    /// Runs a task in a process.
    pub fn spawn(&self, process: &Rc<Process>, future: impl Future<Output = ()> + 'static) {
        let id = process.next_task.replace(process.next_task.get() + 1);
        let task = Task { process: process.clone(), id, future: Some(Box::pin(future)) };
        // Fails only after the executor was dropped, and the executor outlives the run.
        let _ = self.spawner.spawn_local(task);
    }

    /// Executes events until `done` returns true, the queue is empty, or virtual time reaches `limit`. Returns whether
    /// `done` returned true.
    pub fn run(&self, pool: &mut LocalPool, limit: Duration, done: impl Fn() -> bool) -> bool {
        loop {
            pool.run_until_stalled();
            if done() {
                return true;
            }
            if self.clock.now() >= limit {
                return false;
            }
            let Some(event) = self.clock.pop_next() else {
                return false;
            };
            self.events.set(self.events.get() + 1);
            match event {
                Event::Wake(waker) => waker.wake(),
                Event::Call(call) => call(),
            }
        }
    }
}
