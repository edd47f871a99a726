//! A replica's files: identity, snapshot and write-ahead log.

use crate::file_format::{FileFormat, readable_formats};
use crate::levels::raised_level;
use crate::log::{LogEntry, MemoryLog};
use crate::log_file::{EntryLocation, LogFileIndex};
use crate::membership::Membership;
use crate::snapshot::Snapshot;
use crate::wal::{self, WalContent, WalRecord};
use bitcode::{Decode, Encode};
use saddlerelay_runtime::Disk;
use saddlerelay_types::feature_level::FeatureLevel;
use saddlerelay_types::identity::ReplicaId;
use std::cell::Cell;
use std::fmt;
use std::io;
use std::rc::Rc;

const IDENTITY_FILE: &str = "identity";
const SNAPSHOT_FILE: &str = "snapshot";
const WAL_FILE: &str = "wal";

/// Why a replica's files cannot be used. All variants but `Io` and `OtherFormat` require an empty data folder, with
/// which the replica joins as a new member.
#[derive(Debug)]
pub enum StorageError {
    /// An I/O operation failed.
    Io(io::Error),
    /// The files are in a format that this build does not read. They are not changed, so that a suitable build can
    /// still use them.
    OtherFormat {
        /// Format of the files, if it is recorded.
        found: Option<u32>,
    },
    /// A segment that the snapshot refers to is missing or truncated.
    MissingSegment {
        /// Number of the segment.
        number: u64,
    },
    /// Entries are missing between the snapshot and the log, or within the log.
    Gap {
        /// Byte offset of the record after the gap.
        offset: usize,
        /// Index of the entry in that record.
        found: u64,
        /// Index of the entry that was expected.
        expected: u64,
    },
    /// There is a log or a snapshot without an identity. A new identity would let the replica vote, or found a group,
    /// with another replica's state.
    MissingIdentity,
    /// A file is corrupt in a part that may have been acknowledged.
    Corrupt {
        /// Name of the file.
        file: &'static str,
        /// Byte offset of the corruption.
        offset: usize,
    },
}

impl fmt::Display for StorageError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io(error) => write!(formatter, "{error}"),
            Self::OtherFormat { found } => {
                let found = found.map_or("none".to_string(), |found| found.to_string());
                write!(
                    formatter,
                    "the files are in format {found}, this build reads {}; keep the data folder and start the build that wrote \
                     it, or one that reads it",
                    readable_formats()
                )
            }
            Self::MissingSegment { number } => write!(
                formatter,
                "segment {number} is missing or cut short; start this replica with an empty data folder to rejoin"
            ),
            Self::Gap { offset, found, expected } => write!(
                formatter,
                "file `{WAL_FILE}` has entry {found} at byte {offset} where entry {expected} was expected; start this replica with \
                 an empty data folder to rejoin"
            ),
            Self::MissingIdentity => write!(
                formatter,
                "file `{IDENTITY_FILE}` is missing beside a log or a snapshot; start this replica with an empty data folder \
                 to rejoin"
            ),
            Self::Corrupt { file, offset } => write!(
                formatter,
                "file `{file}` is corrupt at byte {offset}; start this replica with an empty data folder to rejoin"
            ),
        }
    }
}

impl std::error::Error for StorageError {}

impl From<io::Error> for StorageError {
    fn from(error: io::Error) -> Self {
        Self::Io(error)
    }
}

/// Identity of a replica, generated when its files are created.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Identity {
    /// Identifier of the replica.
    pub id: ReplicaId,
    /// Identifier of its group, once it belongs to one.
    pub group: Option<u64>,
}

/// State recovered from the files.
pub struct Recovered {
    /// Identity of this replica.
    pub identity: Identity,
    /// Current term.
    pub term: u64,
    /// Vote in that term.
    pub voted_for: Option<ReplicaId>,
    /// Log entries after the snapshot.
    pub log: MemoryLog,
    /// The snapshot, if there is one.
    pub snapshot: Option<Snapshot>,
    /// Bytes of a torn write that were cut off.
    pub torn_bytes: usize,
    /// Feature level of the snapshot, or of the first log entry; `None` if there is neither.
    pub level: Option<FeatureLevel>,
}

/// Reads and writes the identity and the log.
pub struct Storage<D> {
    disk: D,
    /// An append failed and may have left a partial record; the log must be rewritten before the next append.
    damaged: bool,
    /// Locations of the entries in the log file.
    log_file: LogFileIndex,
    /// Last term written.
    term: u64,
    /// Last vote written.
    voted_for: Option<ReplicaId>,
    /// Current format of the files. Shared with the writers of snapshots.
    format: Rc<Cell<FileFormat>>,
}

impl<D: Disk> Storage<D> {
    /// Opens the files; an empty disk gets the identity `new_id` and the format `new_format`. Errors are also logged,
    /// as the process then exits.
    pub async fn open(disk: D, new_id: ReplicaId, new_format: FileFormat) -> Result<(Self, Recovered), StorageError> {
        let opened = Self::open_files(disk, new_id, new_format).await;
        if let Err(error) = &opened {
            spdlog::error!("replica start failed", kv: { dependency = "disk", reason = error.to_string().as_str() });
        }
        opened
    }

    async fn open_files(disk: D, new_id: ReplicaId, new_format: FileFormat) -> Result<(Self, Recovered), StorageError> {
        sync_existing_files(&disk).await?;
        let is_empty = disk.read(IDENTITY_FILE).await?.is_none();
        let format = FileFormat::read_or_initialize(&disk, is_empty.then_some(new_format)).await?;
        let identity = read_framed::<Identity, D>(&disk, IDENTITY_FILE).await?;
        let snapshot = read_snapshot(&disk, format).await?;
        let wal_bytes = disk.read(WAL_FILE).await?.unwrap_or_default();
        let content = wal::read(&wal_bytes)
            .map_err(|wal::WalError::Corrupt { offset }| StorageError::Corrupt { file: WAL_FILE, offset })?;
        let torn_bytes = content.torn_bytes;
        if identity.is_none() && (snapshot.is_some() || !content.records.is_empty()) {
            return Err(StorageError::MissingIdentity);
        }
        let mut log_file = LogFileIndex::default();
        content.records.iter().zip(&content.lengths).for_each(|(record, length)| log_file.push(record, *length));
        let is_new = identity.is_none();
        let identity = identity.unwrap_or(Identity { id: new_id, group: None });
        let recovered = recover_state(identity, snapshot, content, format)?;
        let mut storage = Self {
            disk,
            damaged: false,
            log_file,
            term: recovered.term,
            voted_for: recovered.voted_for,
            format: Rc::new(Cell::new(format)),
        };
        if is_new {
            storage.write_identity(identity).await?;
        }
        if torn_bytes > 0 {
            let intact = wal_bytes[..wal_bytes.len() - torn_bytes].to_vec();
            storage.disk.replace(WAL_FILE, intact).await?;
        }
        Ok((storage, recovered))
    }

    /// Replaces the identity file, atomically and durably.
    pub async fn write_identity(&mut self, identity: Identity) -> Result<(), StorageError> {
        let bytes = wal::frame(&bitcode::encode(&identity));
        Ok(self.disk.replace(IDENTITY_FILE, bytes).await?)
    }

    /// Shared handle to the current format of the files.
    pub fn format(&self) -> Rc<Cell<FileFormat>> {
        self.format.clone()
    }

    /// Sets the format to a single level. Called while the log contains at most the entry that formed the group.
    pub async fn set_single_level(&mut self, level: FeatureLevel) -> Result<(), StorageError> {
        self.set_format(FileFormat::Level(level)).await
    }

    /// Sets the format for files to which entries or a snapshot of `level` are added. Builds that do not support the
    /// level reject the files from then on.
    pub async fn add_level(&mut self, level: FeatureLevel) -> Result<(), StorageError> {
        self.set_format(self.format.get().with_level(level)).await
    }

    async fn set_format(&mut self, format: FileFormat) -> Result<(), StorageError> {
        if self.format.get() != format {
            format.write(&self.disk).await?;
            self.format.set(format);
        }
        Ok(())
    }

    /// Whether an append failed and the log must be rewritten.
    pub fn is_damaged(&self) -> bool {
        self.damaged
    }

    /// Appends and syncs records.
    pub async fn append(&mut self, records: &[WalRecord]) -> Result<(), StorageError> {
        if self.damaged {
            return Err(io::Error::other("an earlier write failed").into());
        }
        let raised = |record: &WalRecord| match record {
            WalRecord::Entry(entry) => raised_level(&entry.payload),
            _ => None,
        };
        if let Some(level) = records.iter().filter_map(raised).max() {
            self.add_level(level).await?;
        }
        let hard_state = self.hard_state_before(records);
        let records: Vec<&WalRecord> = hard_state.iter().chain(records).collect();
        let encoded: Vec<Vec<u8>> = records.iter().map(|record| wal::encode(record)).collect();
        let written = self.append_bytes(encoded.concat()).await;
        self.damaged = written.is_err();
        if written.is_ok() {
            records.iter().zip(&encoded).for_each(|(record, bytes)| self.record_written(record, bytes.len()));
        }
        written
    }

    /// The hard state to write before `records`, unless they start with one. It lets recovery distinguish damage to
    /// the last write from damage to earlier, synced writes.
    fn hard_state_before(&self, records: &[WalRecord]) -> Option<WalRecord> {
        let starts_with_hard_state = matches!(records.first(), Some(WalRecord::HardState { .. }));
        (!starts_with_hard_state).then_some(WalRecord::HardState { term: self.term, voted_for: self.voted_for })
    }

    fn record_written(&mut self, record: &WalRecord, length: usize) {
        self.log_file.push(record, length as u64);
        if let WalRecord::HardState { term, voted_for } = record {
            (self.term, self.voted_for) = (*term, *voted_for);
        }
    }

    /// Entries from `first` on: at least two if the file has them, and further ones within `max_bytes`. Empty if
    /// `first` is not in the file.
    pub async fn entries_from(&self, first: u64, max_bytes: u64) -> Result<Vec<LogEntry>, StorageError> {
        let locations = self.log_file.locations_from(first, max_bytes);
        let (Some(front), Some(back), false) = (locations.first(), locations.last(), self.damaged) else {
            return Ok(Vec::new());
        };
        let length = back.offset + back.length - front.offset;
        let bytes = self.disk.read_range(WAL_FILE, front.offset, length as usize).await?;
        locations.iter().map(|location| entry_at(&bytes, location, front.offset)).collect()
    }

    async fn append_bytes(&self, bytes: Vec<u8>) -> Result<(), StorageError> {
        self.disk.append(WAL_FILE, bytes).await?;
        Ok(self.disk.sync(WAL_FILE).await?)
    }

    /// Replaces the log with `entries`.
    pub async fn rewrite(
        &mut self,
        term: u64,
        voted_for: Option<ReplicaId>,
        entries: &[LogEntry],
    ) -> Result<(), StorageError> {
        let mut log_file = LogFileIndex::default();
        let mut bytes = Vec::new();
        let hard_state = WalRecord::HardState { term, voted_for };
        let entries = entries.iter().map(|entry| WalRecord::Entry(entry.clone()));
        for record in std::iter::once(hard_state).chain(entries) {
            let encoded = wal::encode(&record);
            log_file.push(&record, encoded.len() as u64);
            bytes.extend(encoded);
        }
        self.disk.replace(WAL_FILE, bytes).await?;
        (self.term, self.voted_for) = (term, voted_for);
        self.log_file = log_file;
        self.damaged = false;
        Ok(())
    }
}

/// Decodes the entry at `location` from `bytes`, which were read from offset `start` on.
fn entry_at(bytes: &[u8], location: &EntryLocation, start: u64) -> Result<LogEntry, StorageError> {
    let corrupt = || StorageError::Corrupt { file: WAL_FILE, offset: location.offset as usize };
    let relative_offset = (location.offset - start) as usize;
    let framed = bytes.get(relative_offset..relative_offset + location.length as usize).ok_or_else(corrupt)?;
    let body = wal::unframe(framed).ok().flatten().ok_or_else(corrupt)?;
    match bitcode::decode(body) {
        Ok(WalRecord::Entry(entry)) if entry.index == location.index => Ok(entry),
        _ => Err(corrupt()),
    }
}

/// Syncs the folder and the log file, which a previous process may have written without syncing. Recovered entries are
/// acknowledged without being written again, so they must survive a power loss.
async fn sync_existing_files<D: Disk>(disk: &D) -> Result<(), StorageError> {
    disk.sync_folder().await?;
    Ok(disk.sync(WAL_FILE).await?)
}

/// Replaces the snapshot file. Does not block appends to the log.
pub async fn write_snapshot<D: Disk>(disk: &D, snapshot: Snapshot, format: FileFormat) -> Result<(), StorageError> {
    Ok(disk.replace(SNAPSHOT_FILE, format.encode_snapshot(snapshot)).await?)
}

async fn read_snapshot<D: Disk>(disk: &D, format: FileFormat) -> Result<Option<Snapshot>, StorageError> {
    let Some(bytes) = disk.read(SNAPSHOT_FILE).await? else {
        return Ok(None);
    };
    let corrupt = StorageError::Corrupt { file: SNAPSHOT_FILE, offset: 0 };
    let snapshot = format.decode_snapshot(bytes).ok_or(corrupt)?;
    for segment in &snapshot.header.segments {
        if !segment.is_stored(disk).await? {
            return Err(StorageError::MissingSegment { number: segment.number });
        }
    }
    Ok(Some(snapshot))
}

async fn read_framed<T: bitcode::DecodeOwned, D: Disk>(
    disk: &D,
    file: &'static str,
) -> Result<Option<T>, StorageError> {
    let Some(bytes) = disk.read(file).await? else {
        return Ok(None);
    };
    let corrupt = || StorageError::Corrupt { file, offset: 0 };
    let body = wal::unframe(&bytes).ok().flatten().ok_or_else(corrupt)?;
    bitcode::decode(body).map(Some).map_err(|_| corrupt())
}

fn recover_state(
    identity: Identity,
    snapshot: Option<Snapshot>,
    content: WalContent,
    format: FileFormat,
) -> Result<Recovered, StorageError> {
    let mut log = match &snapshot {
        Some(Snapshot { header, .. }) => MemoryLog::new(header.index, header.term, header.membership.clone()),
        None => MemoryLog::new(0, 0, Membership::default()),
    };
    let (mut term, mut voted_for) = (0, None);
    let mut offset = 0;
    for (record, length) in content.records.into_iter().zip(content.lengths) {
        match record {
            WalRecord::HardState { term: new_term, voted_for: new_vote } => (term, voted_for) = (new_term, new_vote),
            WalRecord::Entry(entry) => add_entry(&mut log, entry, offset)?,
        }
        offset += length as usize;
    }
    // The snapshot may be of a later term than the last hard state on disk.
    if term < log.last_term() {
        (term, voted_for) = (log.last_term(), None);
    }
    let level = match &snapshot {
        Some(snapshot) => Some(snapshot.level),
        None => (log.last_index() > 0).then(|| format.first_level()),
    };
    Ok(Recovered { identity, term, voted_for, log, snapshot, torn_bytes: content.torn_bytes, level })
}

/// Adds an entry at `offset` of the log file; it replaces those from its index on.
fn add_entry(log: &mut MemoryLog, entry: LogEntry, offset: usize) -> Result<(), StorageError> {
    if entry.index <= log.base_index() {
        log.truncate(log.base_index());
        return Ok(());
    }
    let expected = log.last_index() + 1;
    if entry.index > expected {
        return Err(StorageError::Gap { offset, found: entry.index, expected });
    }
    log.push(entry);
    Ok(())
}
