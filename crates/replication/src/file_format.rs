//! Format of a replica's files.
//!
//! Files written at a single feature level use the format of that level, which builds that support only this level can
//! read. A downgrade is therefore possible until the level is raised. Afterwards the files contain several levels, and
//! older builds reject them without changing them.

use crate::snapshot::Snapshot;
use crate::storage::StorageError;
use crate::wal;
use saddlerelay_runtime::Disk;
use saddlerelay_types::feature_level::FeatureLevel;

const FORMAT_FILE: &str = "format";

/// Number of the format for files with several levels.
const MULTIPLE_LEVELS: u32 = 10;

/// Prefix of a snapshot file that specifies its level. Followed by the level's number as a little-endian `u32`.
const LEVEL_PREFIX: &[u8] = b"saddlerelay snapshot of level ";

/// Format of a replica's files.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FileFormat {
    /// All files are encoded at this level.
    Level(FeatureLevel),
    /// The log may contain entries of several levels, and a snapshot specifies its own. Without a specified level,
    /// snapshots and logs start at level one. Also used for a new replica whose level is not known yet.
    MultipleLevels,
}

impl FileFormat {
    fn number(self) -> u32 {
        match self {
            Self::Level(level) => level.file_format(),
            Self::MultipleLevels => MULTIPLE_LEVELS,
        }
    }

    fn from_number(number: u32) -> Option<Self> {
        let raised = (number == MULTIPLE_LEVELS).then_some(Self::MultipleLevels);
        raised.or_else(|| FeatureLevel::from_file_format(number).map(Self::Level))
    }

    /// Level of the first log entry if there is no snapshot.
    pub fn first_level(self) -> FeatureLevel {
        match self {
            Self::Level(level) => level,
            Self::MultipleLevels => FeatureLevel::One,
        }
    }

    /// Reads the format of the files on `disk`. If none is recorded, writes `initial` before any other file; fails if
    /// `initial` is `None`.
    pub(crate) async fn read_or_initialize<D: Disk>(disk: &D, initial: Option<Self>) -> Result<Self, StorageError> {
        let Some(bytes) = disk.read(FORMAT_FILE).await? else {
            let initial = initial.ok_or(StorageError::OtherFormat { found: None })?;
            initial.write(disk).await?;
            return Ok(initial);
        };
        let corrupt = || StorageError::Corrupt { file: FORMAT_FILE, offset: 0 };
        let body = wal::unframe(&bytes).ok().flatten().ok_or_else(corrupt)?;
        let number: u32 = bitcode::decode(body).map_err(|_| corrupt())?;
        Self::from_number(number).ok_or(StorageError::OtherFormat { found: Some(number) })
    }

    /// Writes the format to `disk`.
    pub(crate) async fn write<D: Disk>(self, disk: &D) -> Result<(), StorageError> {
        Ok(disk.replace(FORMAT_FILE, wal::frame(&bitcode::encode(&self.number()))).await?)
    }

    /// Encodes the snapshot file.
    pub(crate) fn encode_snapshot(self, snapshot: Snapshot) -> Vec<u8> {
        let level = snapshot.level;
        let encoded = snapshot.into_encoded();
        match self {
            Self::Level(_) => encoded,
            Self::MultipleLevels => [LEVEL_PREFIX, &level.number().to_le_bytes(), &encoded].concat(),
        }
    }

    /// Decodes a snapshot file; `None` if it is corrupt.
    pub(crate) fn decode_snapshot(self, bytes: Vec<u8>) -> Option<Snapshot> {
        let Some(prefixed) = bytes.strip_prefix(LEVEL_PREFIX).filter(|_| self == Self::MultipleLevels) else {
            return Some(Snapshot::decode(bytes)?.at_level(self.first_level()));
        };
        let (number, encoded) = prefixed.split_first_chunk()?;
        let level = FeatureLevel::from_number(u32::from_le_bytes(*number))?;
        Some(Snapshot::decode(encoded.to_vec())?.at_level(level))
    }
}

/// Lists the formats that this build can read, for error messages.
pub fn readable_formats() -> String {
    let levels = FeatureLevel::ALL.map(|level| level.file_format().to_string());
    format!("{} and {MULTIPLE_LEVELS}", levels.join(", "))
}
