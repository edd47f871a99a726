//! In which format a replica's files are.
//!
//! Files that one feature level alone has written are in that level's format, as builds that know only this level write and
//! read them: an operator may go back to such a build as long as the level has not been raised. Where the level was raised the
//! files hold both, and older builds refuse them without changing anything.

use crate::snapshot::Snapshot;
use crate::storage::StorageError;
use crate::wal;
use saddlerelay_runtime::Disk;
use saddlerelay_types::feature_level::FeatureLevel;

const FORMAT_FILE: &str = "format";

/// The number of the format of files that hold several levels.
const RAISED: u32 = 10;

/// How a snapshot begins that names its level; then comes the level's number, four bytes, the least first.
const LEVEL_MARK: &[u8] = b"saddlerelay snapshot of level ";

/// How a replica's files are written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FileFormat {
    /// At this level, all of them.
    Level(FeatureLevel),
    /// The log goes through several levels, and the snapshot names its own; one that does not is of level one. So are the files
    /// of a replica that has no log yet, whose level nobody knows.
    Raised,
}

impl FileFormat {
    fn number(self) -> u32 {
        match self {
            Self::Level(level) => level.file_format(),
            Self::Raised => RAISED,
        }
    }

    fn of_number(number: u32) -> Option<Self> {
        let raised = (number == RAISED).then_some(Self::Raised);
        raised.or_else(|| FeatureLevel::of_file_format(number).map(Self::Level))
    }

    /// The level of the log's first entry, if there is no snapshot.
    pub fn first_level(self) -> FeatureLevel {
        match self {
            Self::Level(level) => level,
            Self::Raised => FeatureLevel::One,
        }
    }

    /// The format of the files on `disk`; on an empty one `new` is noted before anything else is written.
    pub(crate) async fn read<D: Disk>(disk: &D, new: Option<Self>) -> Result<Self, StorageError> {
        let Some(bytes) = disk.read(FORMAT_FILE).await? else {
            let new = new.ok_or(StorageError::OtherFormat { found: None })?;
            new.write(disk).await?;
            return Ok(new);
        };
        let corrupt = || StorageError::Corrupt { file: FORMAT_FILE, offset: 0 };
        let body = wal::unframe(&bytes).ok().flatten().ok_or_else(corrupt)?;
        let number: u32 = bitcode::decode(body).map_err(|_| corrupt())?;
        Self::of_number(number).ok_or(StorageError::OtherFormat { found: Some(number) })
    }

    /// Notes it on `disk`.
    pub(crate) async fn write<D: Disk>(self, disk: &D) -> Result<(), StorageError> {
        Ok(disk.replace(FORMAT_FILE, wal::frame(&bitcode::encode(&self.number()))).await?)
    }

    /// A snapshot as its file holds it.
    pub(crate) fn encode_snapshot(self, snapshot: Snapshot) -> Vec<u8> {
        let level = snapshot.level;
        let encoded = snapshot.into_encoded();
        match self {
            Self::Level(_) => encoded,
            Self::Raised => [LEVEL_MARK, &level.number().to_le_bytes(), &encoded].concat(),
        }
    }

    /// Reads a snapshot's file; `None` if it is damaged.
    pub(crate) fn decode_snapshot(self, bytes: Vec<u8>) -> Option<Snapshot> {
        let Some(marked) = bytes.strip_prefix(LEVEL_MARK).filter(|_| self == Self::Raised) else {
            return Some(Snapshot::decode(bytes)?.at_level(self.first_level()));
        };
        let (number, encoded) = marked.split_first_chunk()?;
        let level = FeatureLevel::of_number(u32::from_le_bytes(*number))?;
        Some(Snapshot::decode(encoded.to_vec())?.at_level(level))
    }
}

/// The numbers of the formats that this build reads, for messages.
pub fn readable_formats() -> String {
    let levels = FeatureLevel::ALL.map(|level| level.file_format().to_string());
    format!("{} and {RAISED}", levels.join(", "))
}
