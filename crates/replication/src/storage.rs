//! A replica's files: its identity, its snapshot and its write-ahead log.

use crate::file_format::{FileFormat, readable_formats};
use crate::levels::is_raise;
use crate::log::{LogEntry, MemoryLog};
use crate::log_file::{EntryPlace, LogFileIndex};
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

/// Why a replica's files cannot be used.
#[derive(Debug)]
pub enum StorageError {
    /// The operating system refused.
    Io(io::Error),
    /// The files are in a format that this build does not read. Nothing has been changed: a build that reads them finds all
    /// that was acknowledged.
    OtherFormat {
        /// The format of the files, if they name one.
        found: Option<u32>,
    },
    /// A segment that the snapshot refers to is missing or cut short. The replica must not start: give it an empty data
    /// folder, and it joins as a new member.
    MissingSegment {
        /// The segment.
        number: u64,
    },
    /// The log and the snapshot do not meet. The replica must not start: give it an empty data folder, and it joins as a new
    /// member.
    Gap {
        /// Byte offset of the log's record behind the gap.
        offset: usize,
        /// The entry that it holds.
        found: u64,
        /// The entry that was due there.
        wanted: u64,
    },
    /// There is a log or a snapshot, and no identity that they belong to. The replica must not start: as another replica
    /// it would vote and found a group with a state that is not its own. Give it an empty data folder, and it joins as a
    /// new member.
    MissingIdentity,
    /// A file is damaged in a place that may have been acknowledged. The replica must not start: give it an empty data
    /// folder, and it joins as a new member.
    Corrupt {
        /// The file.
        file: &'static str,
        /// Byte offset of the damage.
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
            Self::Gap { offset, found, wanted } => write!(
                formatter,
                "file `{WAL_FILE}` has entry {found} at byte {offset} where entry {wanted} was due; start this replica with \
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

/// Who this replica is, made when its disk is first written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Identity {
    /// The replica.
    pub id: ReplicaId,
    /// The group it belongs to, once it does.
    pub group: Option<u64>,
}

/// What the files held at start.
pub struct Recovered {
    /// Who this replica is.
    pub identity: Identity,
    /// Its term.
    pub term: u64,
    /// Its vote in that term.
    pub voted_for: Option<ReplicaId>,
    /// The log after the snapshot.
    pub log: MemoryLog,
    /// The snapshot, if there is one.
    pub snapshot: Option<Snapshot>,
    /// Bytes of a torn write that were cut off.
    pub torn_bytes: usize,
    /// The level at which the log begins, or the snapshot if there is one; `None` if there is neither.
    pub level: Option<FeatureLevel>,
}

/// Writes the files. Only its owner's lock holder uses it.
pub struct Storage<D> {
    disk: D,
    /// A failed append may have left part of a record; the log must be rewritten before the next append.
    damaged: bool,
    /// Where the log's entries stand in its file.
    log_file: LogFileIndex,
    /// The term last written.
    term: u64,
    /// The vote in it.
    voted_for: Option<ReplicaId>,
    /// Shared with whoever writes snapshots.
    format: Rc<Cell<FileFormat>>,
}

impl<D: Disk> Storage<D> {
    /// Opens the files; those on an empty disk get an identity and the format `new`. Files that are refused are told at once: the process ends,
    /// and its last line may be all that is left of it.
    pub async fn open(disk: D, new_id: ReplicaId, new: FileFormat) -> Result<(Self, Recovered), StorageError> {
        let opened = Self::open_files(disk, new_id, new).await;
        if let Err(error) = &opened {
            spdlog::error!("replica not started", kv: { dependency = "disk", reason = error.to_string().as_str() });
        }
        opened
    }

    async fn open_files(disk: D, new_id: ReplicaId, new: FileFormat) -> Result<(Self, Recovered), StorageError> {
        sync_what_is_there(&disk).await?;
        let is_empty = disk.read(IDENTITY_FILE).await?.is_none();
        let format = FileFormat::read(&disk, is_empty.then_some(new)).await?;
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
        let recovered = rebuild(identity, snapshot, content, format)?;
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
            let whole = wal_bytes[..wal_bytes.len() - torn_bytes].to_vec();
            storage.disk.replace(WAL_FILE, whole).await?;
        }
        Ok((storage, recovered))
    }

    /// Writes who this replica is.
    pub async fn write_identity(&mut self, identity: Identity) -> Result<(), StorageError> {
        let bytes = wal::frame(&bitcode::encode(&identity));
        Ok(self.disk.replace(IDENTITY_FILE, bytes).await?)
    }

    /// The format of the files, as it is at any time.
    pub fn format(&self) -> Rc<Cell<FileFormat>> {
        self.format.clone()
    }

    /// The replica has no log but the founding of its group, and begins at `level`.
    pub async fn begin_at(&mut self, level: FeatureLevel) -> Result<(), StorageError> {
        self.enter_format(FileFormat::Level(level)).await
    }

    /// What is written from now on may be of another level than what is there: an older build must not read it.
    pub async fn hold_several_levels(&mut self) -> Result<(), StorageError> {
        self.enter_format(FileFormat::Raised).await
    }

    async fn enter_format(&mut self, format: FileFormat) -> Result<(), StorageError> {
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

    /// Appends records and makes them last.
    pub async fn append(&mut self, records: &[WalRecord]) -> Result<(), StorageError> {
        if self.damaged {
            return Err(io::Error::other("an earlier write failed").into());
        }
        let raises = |record: &WalRecord| matches!(record, WalRecord::Entry(entry) if is_raise(&entry.payload));
        if records.iter().any(raises) {
            self.hold_several_levels().await?;
        }
        let hard_state = self.hard_state_before(records);
        let records: Vec<&WalRecord> = hard_state.iter().chain(records).collect();
        let encoded: Vec<Vec<u8>> = records.iter().map(|record| wal::encode(record)).collect();
        let written = self.append_bytes(encoded.concat()).await;
        self.damaged = written.is_err();
        if written.is_ok() {
            records.iter().zip(&encoded).for_each(|(record, bytes)| self.take_written(record, bytes.len()));
        }
        written
    }

    /// Each write begins with the hard state, so that damage of the last one can be told from damage of what was synced
    /// before: about 30 bytes a write.
    fn hard_state_before(&self, records: &[WalRecord]) -> Option<WalRecord> {
        let begins_with_it = matches!(records.first(), Some(WalRecord::HardState { .. }));
        (!begins_with_it).then_some(WalRecord::HardState { term: self.term, voted_for: self.voted_for })
    }

    fn take_written(&mut self, record: &WalRecord, length: usize) {
        self.log_file.push(record, length as u64);
        if let WalRecord::HardState { term, voted_for } = record {
            (self.term, self.voted_for) = (*term, *voted_for);
        }
    }

    /// Entries from `first` on, two if the file holds them, and further ones within `most_bytes`; none if `first` is not
    /// in the file.
    pub async fn entries_from(&self, first: u64, most_bytes: u64) -> Result<Vec<LogEntry>, StorageError> {
        let places = self.log_file.from(first, most_bytes);
        let (Some(front), Some(back), false) = (places.first(), places.last(), self.damaged) else {
            return Ok(Vec::new());
        };
        let length = back.offset + back.length - front.offset;
        let bytes = self.disk.read_range(WAL_FILE, front.offset, length as usize).await?;
        places.iter().map(|place| entry_at(&bytes, place, front.offset)).collect()
    }

    async fn append_bytes(&self, bytes: Vec<u8>) -> Result<(), StorageError> {
        self.disk.append(WAL_FILE, bytes).await?;
        Ok(self.disk.sync(WAL_FILE).await?)
    }

    /// Replaces the log with `entries`, for example after a snapshot.
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

/// The entry at `place`, where `bytes` were read from `start` on.
fn entry_at(bytes: &[u8], place: &EntryPlace, start: u64) -> Result<LogEntry, StorageError> {
    let corrupt = || StorageError::Corrupt { file: WAL_FILE, offset: place.offset as usize };
    let begins = (place.offset - start) as usize;
    let framed = bytes.get(begins..begins + place.length as usize).ok_or_else(corrupt)?;
    let body = wal::unframe(framed).ok().flatten().ok_or_else(corrupt)?;
    match bitcode::decode(body) {
        Ok(WalRecord::Entry(entry)) if entry.index == place.index => Ok(entry),
        _ => Err(corrupt()),
    }
}

/// Syncs what a process that was killed may have written and not synced. This replica acknowledges entries that it finds
/// without writing them again, and appends behind them: a later loss of power would take what was acknowledged, or leave a
/// hole in the log. Costs two syncs for each start.
async fn sync_what_is_there<D: Disk>(disk: &D) -> Result<(), StorageError> {
    disk.sync_folder().await?;
    Ok(disk.sync(WAL_FILE).await?)
}

/// Replaces the snapshot. The log is appended to meanwhile.
pub async fn write_snapshot<D: Disk>(disk: &D, snapshot: Snapshot, format: FileFormat) -> Result<(), StorageError> {
    Ok(disk.replace(SNAPSHOT_FILE, format.encode_snapshot(snapshot)).await?)
}

async fn read_snapshot<D: Disk>(disk: &D, format: FileFormat) -> Result<Option<Snapshot>, StorageError> {
    let Some(bytes) = disk.read(SNAPSHOT_FILE).await? else {
        return Ok(None);
    };
    let damaged = StorageError::Corrupt { file: SNAPSHOT_FILE, offset: 0 };
    let snapshot = format.decode_snapshot(bytes).ok_or(damaged)?;
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

fn rebuild(
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
            WalRecord::HardState { term: new_term, voted_for: vote } => (term, voted_for) = (new_term, vote),
            WalRecord::Entry(entry) => take_entry(&mut log, entry, offset)?,
        }
        offset += length as usize;
    }
    // A snapshot may be of a later term than this replica had noted when the power was lost.
    if term < log.last_term() {
        (term, voted_for) = (log.last_term(), None);
    }
    let level = match &snapshot {
        Some(snapshot) => Some(snapshot.level),
        None => (log.last_index() > 0).then(|| format.first_level()),
    };
    Ok(Recovered { identity, term, voted_for, log, snapshot, torn_bytes: content.torn_bytes, level })
}

/// Takes an entry that stands at `offset` of the log's file; it replaces those from its index on.
fn take_entry(log: &mut MemoryLog, entry: LogEntry, offset: usize) -> Result<(), StorageError> {
    if entry.index <= log.base_index() {
        log.truncate(log.base_index());
        return Ok(());
    }
    let wanted = log.last_index() + 1;
    if entry.index > wanted {
        return Err(StorageError::Gap { offset, found: entry.index, wanted });
    }
    log.push(entry);
    Ok(())
}
