//! Simulated disks that may lose unsynced data.
//!
//! Killing a process leaves its files unchanged. A power loss ([`DiskTable::crash`]) may independently drop each write
//! that was not followed by a file sync and each directory entry change that was not followed by a folder sync; a write
//! may also be torn. `replace` and `append` perform the same steps as on a real disk, and a crash may occur between any
//! two.

use crate::world::{Process, Sleep, World};
use saddlerelay_runtime::Disk;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::future;
use std::io;
use std::rc::Rc;
use std::time::Duration;

const WRITE_TIME: Duration = Duration::from_micros(30);
const SYNC_TIME: Duration = Duration::from_micros(200);

/// One in this many power losses drops all unsynced writes of a file.
const FULL_LOSS_ONE_IN: u64 = 4;

/// Unit of atomic writes, in bytes: the smallest sector size of common disks.
const SECTOR_BYTES: usize = 512;

/// An unsynced change of a file's content.
#[derive(Clone)]
enum Write {
    Truncate,
    At { offset: usize, bytes: Vec<u8> },
}

impl Write {
    fn apply(&self, content: &mut Vec<u8>) {
        match self {
            Self::Truncate => content.clear(),
            Self::At { offset, bytes } => {
                let end = offset + bytes.len();
                // Bytes between the end of the file and the offset read as zeros.
                content.resize(content.len().max(end), 0);
                content[*offset..end].copy_from_slice(bytes);
            }
        }
    }

    /// Length of a content of `length` bytes after this write.
    fn length_after(&self, length: usize) -> usize {
        match self {
            Self::Truncate => 0,
            Self::At { offset, bytes } => length.max(offset + bytes.len()),
        }
    }

    /// What remains after a power loss: the whole write, nothing, a prefix, or the write with some sectors zeroed.
    fn after_power_loss(self, random: &impl Fn() -> u64) -> Option<Self> {
        match (random() % 4, self) {
            (0, _) => None,
            (1, Self::At { offset, mut bytes }) => {
                bytes.truncate(random() as usize % (bytes.len() + 1));
                Some(Self::At { offset, bytes })
            }
            (2, Self::At { offset, mut bytes }) => {
                zero_sectors(offset, &mut bytes, random);
                Some(Self::At { offset, bytes })
            }
            (_, write) => Some(write),
        }
    }
}

/// Zeroes each sector of a write at `offset` with a probability of one half.
fn zero_sectors(offset: usize, bytes: &mut [u8], random: &impl Fn() -> u64) {
    let (mut start, length) = (0, bytes.len());
    while start < length {
        let end = length.min(start + SECTOR_BYTES - (offset + start) % SECTOR_BYTES);
        if random().is_multiple_of(2) {
            bytes[start..end].fill(0);
        }
        start = end;
    }
}

/// A file's content, which directory entries refer to by number, as an inode.
#[derive(Clone, Default)]
struct Content {
    synced: Vec<u8>,
    unsynced: Vec<Write>,
}

impl Content {
    fn visible(&self) -> Vec<u8> {
        let mut content = self.synced.clone();
        self.unsynced.iter().for_each(|write| write.apply(&mut content));
        content
    }

    /// Number of visible bytes.
    fn length(&self) -> usize {
        self.unsynced.iter().fold(self.synced.len(), |length, write| write.length_after(length))
    }

    fn sync(&mut self) {
        // Applied in place, as copying a long file on each sync would dominate the time of a run.
        for write in self.unsynced.drain(..) {
            write.apply(&mut self.synced);
        }
    }

    fn crash(&mut self, random: &impl Fn() -> u64) {
        let unsynced = std::mem::take(&mut self.unsynced);
        if unsynced.is_empty() || random().is_multiple_of(FULL_LOSS_ONE_IN) {
            return;
        }
        for write in unsynced {
            if let Some(remaining) = write.after_power_loss(random) {
                remaining.apply(&mut self.synced);
            }
        }
    }
}

/// An unsynced change of directory entries.
#[derive(Clone)]
enum NameChange {
    Created { name: String, content: u64 },
    Renamed { from: String, to: String, content: u64 },
    Removed { name: String },
}

impl NameChange {
    fn apply(&self, names: &mut BTreeMap<String, u64>) {
        match self {
            Self::Created { name, content } => {
                names.insert(name.clone(), *content);
            }
            Self::Renamed { from, to, content } => {
                names.remove(from);
                names.insert(to.clone(), *content);
            }
            Self::Removed { name } => {
                names.remove(name);
            }
        }
    }
}

/// One process's files.
#[derive(Clone, Default)]
struct Folder {
    contents: BTreeMap<u64, Content>,
    synced_names: BTreeMap<String, u64>,
    unsynced_names: Vec<NameChange>,
    next_content: u64,
    /// Number of changes made.
    steps: u64,
    /// Value of `steps` from which further changes block.
    last_step: Option<u64>,
}

impl Folder {
    fn names(&self) -> BTreeMap<String, u64> {
        let mut names = self.synced_names.clone();
        self.unsynced_names.iter().for_each(|change| change.apply(&mut names));
        names
    }

    /// The number of a file's content.
    fn number_of(&self, file: &str) -> Option<u64> {
        if self.unsynced_names.is_empty() {
            return self.synced_names.get(file).copied();
        }
        self.names().get(file).copied()
    }

    fn content(&self, file: &str) -> Option<&Content> {
        self.contents.get(&self.number_of(file)?)
    }

    fn content_mut(&mut self, file: &str) -> Option<&mut Content> {
        let content = self.number_of(file)?;
        self.contents.get_mut(&content)
    }

    fn create_empty(&mut self, name: &str) {
        let content = self.next_content;
        self.next_content += 1;
        self.contents.insert(content, Content::default());
        self.unsynced_names.push(NameChange::Created { name: name.to_string(), content });
    }

    /// Creates the file, or truncates an existing one.
    fn create(&mut self, name: &str) {
        match self.content_mut(name) {
            Some(content) => content.unsynced.push(Write::Truncate),
            None => self.create_empty(name),
        }
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        let content = *self.names().get(from).ok_or(io::ErrorKind::NotFound)?;
        self.unsynced_names.push(NameChange::Renamed { from: from.to_string(), to: to.to_string(), content });
        Ok(())
    }

    fn sync_names(&mut self) {
        self.synced_names = self.names();
        self.unsynced_names.clear();
    }

    fn crash(&mut self, random: &impl Fn() -> u64) {
        for change in std::mem::take(&mut self.unsynced_names) {
            if random().is_multiple_of(2) {
                change.apply(&mut self.synced_names);
            }
        }
        self.contents.values_mut().for_each(|content| content.crash(random));
        let referenced: BTreeSet<u64> = self.synced_names.values().copied().collect();
        self.contents.retain(|content, _| referenced.contains(content));
    }

    fn is_halted(&self) -> bool {
        self.last_step.is_some_and(|last| self.steps >= last)
    }
}

/// Every process's files.
#[derive(Default)]
pub struct DiskTable {
    folders: RefCell<BTreeMap<String, Folder>>,
    full: RefCell<BTreeSet<String>>,
    /// Processes whose file syncs fail.
    failing: RefCell<BTreeSet<String>>,
    /// Additional latency of file syncs, by process.
    slow: RefCell<BTreeMap<String, Duration>>,
    syncs: Cell<u64>,
}

impl DiskTable {
    /// Simulates a power loss, which drops a random part of the unsynced changes.
    pub fn crash(&self, process: &str, random: impl Fn() -> u64) {
        if let Some(folder) = self.folders.borrow_mut().get_mut(process) {
            folder.crash(&random);
            folder.last_step = None;
        }
    }

    /// The names of a process's files.
    pub fn names(&self, process: &str) -> Vec<String> {
        let folders = self.folders.borrow();
        folders.get(process).into_iter().flat_map(|folder| folder.names().into_keys()).collect()
    }

    /// The content of a file as the process reads it, including unsynced writes.
    pub fn content(&self, process: &str, file: &str) -> Option<Vec<u8>> {
        let folders = self.folders.borrow();
        folders.get(process)?.content(file).map(Content::visible)
    }

    fn exists(&self, process: &str, file: &str) -> bool {
        let folders = self.folders.borrow();
        folders.get(process).is_some_and(|folder| folder.content(file).is_some())
    }

    /// Creates or overwrites a file and syncs it with its directory entry.
    pub fn put(&self, process: &str, file: &str, bytes: Vec<u8>) {
        let mut folders = self.folders.borrow_mut();
        let folder = folders.entry(process.to_string()).or_default();
        folder.create(file);
        folder.sync_names();
        if let Some(content) = folder.content_mut(file) {
            *content = Content { synced: bytes, unsynced: Vec::new() };
        }
    }

    /// Removes a file and syncs the folder.
    pub fn remove(&self, process: &str, file: &str) {
        if let Some(folder) = self.folders.borrow_mut().get_mut(process) {
            folder.unsynced_names.push(NameChange::Removed { name: file.to_string() });
            folder.sync_names();
        }
    }

    /// Flips one bit in the middle of a file's synced content.
    pub fn corrupt(&self, process: &str, file: &str) {
        let mut folders = self.folders.borrow_mut();
        let content = folders.get_mut(process).and_then(|folder| folder.content_mut(file));
        if let Some(content) = content {
            let middle = content.synced.len() / 2;
            content.synced[middle] ^= 1;
        }
    }

    /// Deletes all files of a process.
    pub fn wipe(&self, process: &str) {
        self.folders.borrow_mut().remove(process);
    }

    /// Sets the additional latency of each file sync.
    pub fn set_slow(&self, process: &str, by: Duration) {
        self.slow.borrow_mut().insert(process.to_string(), by);
    }

    /// Number of file syncs and replacements by all processes.
    pub fn syncs(&self) -> u64 {
        self.syncs.get()
    }

    fn count_sync(&self) {
        self.syncs.set(self.syncs.get() + 1);
    }

    /// Sets whether the disk is full.
    pub fn set_full(&self, process: &str, full: bool) {
        set_membership(&self.full, process, full);
    }

    /// Sets whether file syncs fail; a failing sync takes as long as a successful one.
    pub fn set_failing(&self, process: &str, failing: bool) {
        set_membership(&self.failing, process, failing);
    }

    /// Number of changes a process has made to its disk: files created, written, synced, renamed or removed, and folder
    /// syncs.
    pub fn steps(&self, process: &str) -> u64 {
        self.folders.borrow().get(process).map_or(0, |folder| folder.steps)
    }

    /// Blocks all changes after this many more, until the next power loss or `resume`.
    pub fn halt_after(&self, process: &str, steps: u64) {
        let mut folders = self.folders.borrow_mut();
        let folder = folders.entry(process.to_string()).or_default();
        folder.last_step = Some(folder.steps + steps);
    }

    /// Permits changes again; a change that is already blocked never completes.
    pub fn resume(&self, process: &str) {
        if let Some(folder) = self.folders.borrow_mut().get_mut(process) {
            folder.last_step = None;
        }
    }

    /// Whether further changes block.
    pub fn is_halted(&self, process: &str) -> bool {
        self.folders.borrow().get(process).is_some_and(Folder::is_halted)
    }
}

fn set_membership(table: &RefCell<BTreeSet<String>>, process: &str, member: bool) {
    let mut table = table.borrow_mut();
    if member {
        table.insert(process.to_string());
    } else {
        table.remove(process);
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

    async fn wait(&self, time: Duration) {
        let until = self.world.clock.now() + time;
        Sleep::new(self.world.clock.clone(), until).await;
    }

    /// Adds up to 100 % of random jitter to `time`.
    fn with_jitter(&self, time: Duration) -> Duration {
        time + self.world.jitter(time)
    }

    /// Applies a change to the folder after `time`; never completes if the disk is halted.
    async fn step<T>(&self, time: Duration, change: impl FnOnce(&mut Folder) -> T) -> T {
        self.wait(time).await;
        if self.world.disks.is_halted(&self.process.name) {
            future::pending::<()>().await;
        }
        let mut folders = self.world.disks.folders.borrow_mut();
        let folder = folders.entry(self.process.name.clone()).or_default();
        folder.steps += 1;
        change(folder)
    }

    /// Appends to a file. On a full disk, half of the bytes are written and an error is returned.
    async fn write(&self, time: Duration, file: &str, bytes: &[u8]) -> io::Result<()> {
        self.step(time, |folder| {
            let full = self.world.disks.full.borrow().contains(&self.process.name);
            let written = if full { bytes.len() / 2 } else { bytes.len() };
            let content = folder.content_mut(file).ok_or(io::ErrorKind::NotFound)?;
            let offset = content.length();
            content.unsynced.push(Write::At { offset, bytes: bytes[..written].to_vec() });
            if full { Err(io::ErrorKind::StorageFull.into()) } else { Ok(()) }
        })
        .await
    }

    async fn sync_content(&self, time: Duration, file: &str) -> io::Result<()> {
        self.step(time, |folder| {
            if self.world.disks.failing.borrow().contains(&self.process.name) {
                return Err(io::Error::other("simulated sync failure"));
            }
            if let Some(content) = folder.content_mut(file) {
                content.sync();
            }
            Ok(())
        })
        .await
    }
}

impl Disk for SimDisk {
    async fn read(&self, file: &str) -> io::Result<Option<Vec<u8>>> {
        self.wait(self.with_jitter(WRITE_TIME)).await;
        Ok(self.world.disks.content(&self.process.name, file))
    }

    async fn read_range(&self, file: &str, offset: u64, length: usize) -> io::Result<Vec<u8>> {
        let content = self.read(file).await?.unwrap_or_default();
        let start = usize::try_from(offset).unwrap_or(usize::MAX).min(content.len());
        Ok(content[start..content.len().min(start + length)].to_vec())
    }

    async fn append(&self, file: &str, bytes: Vec<u8>) -> io::Result<()> {
        if !self.world.disks.exists(&self.process.name, file) {
            self.step(Duration::ZERO, |folder| folder.create(file)).await;
            self.step(Duration::ZERO, Folder::sync_names).await;
        }
        self.write(self.with_jitter(WRITE_TIME), file, &bytes).await
    }

    async fn sync(&self, file: &str) -> io::Result<()> {
        let slow = self.world.disks.slow.borrow().get(&self.process.name).copied().unwrap_or_default();
        self.world.disks.count_sync();
        self.sync_content(self.with_jitter(SYNC_TIME + slow), file).await
    }

    async fn sync_folder(&self) -> io::Result<()> {
        self.step(self.with_jitter(SYNC_TIME), Folder::sync_names).await;
        Ok(())
    }

    async fn replace(&self, file: &str, bytes: Vec<u8>) -> io::Result<()> {
        self.world.disks.count_sync();
        let pause = self.with_jitter(SYNC_TIME * 2) / 4;
        let new_file = format!("{file}.new");
        self.step(Duration::ZERO, |folder| folder.create(&new_file)).await;
        self.write(pause, &new_file, &bytes).await?;
        self.sync_content(pause, &new_file).await?;
        self.step(pause, |folder| folder.rename(&new_file, file)).await?;
        self.step(pause, Folder::sync_names).await;
        Ok(())
    }

    async fn remove(&self, file: &str) -> io::Result<()> {
        let name = file.to_string();
        self.step(self.with_jitter(WRITE_TIME), |folder| folder.unsynced_names.push(NameChange::Removed { name }))
            .await;
        Ok(())
    }
}
