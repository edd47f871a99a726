//! Disks that lose what was not synced.

use crate::world::{Process, Sleep, World};
use saddlerelay_runtime::Disk;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::rc::Rc;
use std::time::Duration;

const WRITE_TIME: Duration = Duration::from_micros(30);
const SYNC_TIME: Duration = Duration::from_micros(200);

#[derive(Default)]
struct File {
    synced: Vec<u8>,
    unsynced: Vec<u8>,
}

/// Every process's files.
#[derive(Default)]
pub struct DiskTable {
    files: RefCell<BTreeMap<(String, String), File>>,
    full: RefCell<BTreeSet<String>>,
    /// How much longer a sync takes, by process.
    slow: RefCell<BTreeMap<String, Duration>>,
    syncs: Cell<u64>,
}

impl DiskTable {
    /// A crash: of what was not synced, only some beginning is left.
    pub fn crash(&self, process: &str, random: impl Fn() -> u64) {
        for ((owner, _), file) in self.files.borrow_mut().iter_mut() {
            if owner == process && !file.unsynced.is_empty() {
                let kept = random() as usize % (file.unsynced.len() + 1);
                let kept = file.unsynced[..kept].to_vec();
                file.synced.extend(kept);
                file.unsynced.clear();
            }
        }
    }

    /// The names of a process's files.
    pub fn names(&self, process: &str) -> Vec<String> {
        let files = self.files.borrow();
        files.keys().filter(|(owner, _)| owner == process).map(|(_, name)| name.clone()).collect()
    }

    /// A bit of a file turns over.
    pub fn damage(&self, process: &str, file: &str) {
        if let Some(file) = self.files.borrow_mut().get_mut(&(process.to_string(), file.to_string())) {
            let place = file.synced.len() / 2;
            file.synced[place] ^= 1;
        }
    }

    /// Everything is gone.
    pub fn lose(&self, process: &str) {
        self.files.borrow_mut().retain(|(owner, _), _| owner != process);
    }

    /// Has each sync take so much longer.
    pub fn set_slow(&self, process: &str, by: Duration) {
        self.slow.borrow_mut().insert(process.to_string(), by);
    }

    /// Syncs and replaced files of all processes so far.
    pub fn syncs(&self) -> u64 {
        self.syncs.get()
    }

    fn count_sync(&self) {
        self.syncs.set(self.syncs.get() + 1);
    }

    /// Whether the disk takes nothing more.
    pub fn set_full(&self, process: &str, full: bool) {
        let mut table = self.full.borrow_mut();
        if full {
            table.insert(process.to_string());
        } else {
            table.remove(process);
        }
    }
}

/// A process's disk.
#[derive(Clone)]
pub struct SimDisk {
    world: Rc<World>,
    process: Rc<Process>,
}

impl SimDisk {
    /// The disk of `process`.
    pub fn new(world: Rc<World>, process: Rc<Process>) -> Self {
        Self { world, process }
    }

    fn key(&self, file: &str) -> (String, String) {
        (self.process.name.clone(), file.to_string())
    }

    async fn wait(&self, time: Duration) {
        let until = self.world.clock.now() + time + self.world.jitter(time);
        Sleep::new(self.world.clock.clone(), until).await;
    }

    fn check_space(&self) -> io::Result<()> {
        let full = self.world.disks.full.borrow().contains(&self.process.name);
        if full { Err(io::ErrorKind::StorageFull.into()) } else { Ok(()) }
    }
}

impl Disk for SimDisk {
    async fn read(&self, file: &str) -> io::Result<Option<Vec<u8>>> {
        self.wait(WRITE_TIME).await;
        let files = self.world.disks.files.borrow();
        let whole = |file: &File| [file.synced.as_slice(), file.unsynced.as_slice()].concat();
        Ok(files.get(&self.key(file)).map(whole))
    }

    async fn read_range(&self, file: &str, offset: u64, length: usize) -> io::Result<Vec<u8>> {
        let whole = self.read(file).await?.unwrap_or_default();
        let start = usize::try_from(offset).unwrap_or(usize::MAX).min(whole.len());
        Ok(whole[start..whole.len().min(start + length)].to_vec())
    }

    /// A full disk takes part of what is written.
    async fn append(&self, file: &str, bytes: Vec<u8>) -> io::Result<()> {
        self.wait(WRITE_TIME).await;
        let space = self.check_space();
        let taken = if space.is_ok() { bytes.len() } else { bytes.len() / 2 };
        let mut files = self.world.disks.files.borrow_mut();
        files.entry(self.key(file)).or_default().unsynced.extend(&bytes[..taken]);
        space
    }

    async fn sync(&self, file: &str) -> io::Result<()> {
        let slow = self.world.disks.slow.borrow().get(&self.process.name).copied().unwrap_or_default();
        self.world.disks.count_sync();
        self.wait(SYNC_TIME + slow).await;
        let mut files = self.world.disks.files.borrow_mut();
        if let Some(file) = files.get_mut(&self.key(file)) {
            let unsynced = std::mem::take(&mut file.unsynced);
            file.synced.extend(unsynced);
        }
        Ok(())
    }

    async fn replace(&self, file: &str, bytes: Vec<u8>) -> io::Result<()> {
        self.world.disks.count_sync();
        self.wait(SYNC_TIME * 2).await;
        self.check_space()?;
        let mut files = self.world.disks.files.borrow_mut();
        files.insert(self.key(file), File { synced: bytes, unsynced: Vec::new() });
        Ok(())
    }

    async fn remove(&self, file: &str) -> io::Result<()> {
        self.wait(WRITE_TIME).await;
        self.world.disks.files.borrow_mut().remove(&self.key(file));
        Ok(())
    }
}
