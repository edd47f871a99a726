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

/// Format numbers of files with several levels.
const MULTIPLE_LEVELS: [(u32, FileFormat); 6] = [
    (10, FileFormat::Levels { first: FeatureLevel::One, last: FeatureLevel::Two }),
    (12, FileFormat::Levels { first: FeatureLevel::Two, last: FeatureLevel::Three }),
    (13, FileFormat::Levels { first: FeatureLevel::One, last: FeatureLevel::Three }),
    (15, FileFormat::Levels { first: FeatureLevel::Three, last: FeatureLevel::Four }),
    (16, FileFormat::Levels { first: FeatureLevel::Two, last: FeatureLevel::Four }),
    (17, FileFormat::Levels { first: FeatureLevel::One, last: FeatureLevel::Four }),
];

/// Prefix of a snapshot file that specifies its level. Followed by the level's number as a little-endian `u32`.
const LEVEL_PREFIX: &[u8] = b"saddlerelay snapshot of level ";

/// Format of a replica's files.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FileFormat {
    /// All files are encoded at this level.
    Level(FeatureLevel),
    /// The log may contain entries of several levels, and a snapshot specifies its own.
    Levels {
        /// Level of logs and snapshots that do not specify one.
        first: FeatureLevel,
        /// The newest level in the files. Builds that do not support it reject them.
        last: FeatureLevel,
    },
}

impl FileFormat {
    /// Format of a new replica whose level is not known yet.
    pub const ANY_LEVEL: Self = Self::Levels { first: FeatureLevel::One, last: FeatureLevel::NEWEST };

    fn number(self) -> u32 {
        match self {
            Self::Level(level) => level.file_format(),
            Self::Levels { .. } => {
                let numbered = MULTIPLE_LEVELS.into_iter().find(|(_, format)| *format == self);
                numbered.expect("each range of feature levels has a format number").0
            }
        }
    }

    fn from_number(number: u32) -> Option<Self> {
        let multiple = MULTIPLE_LEVELS.into_iter().find(|(multiple, _)| *multiple == number);
        let single = || FeatureLevel::from_file_format(number).map(Self::Level);
        multiple.map(|(_, format)| format).or_else(single)
    }

    /// Level of the first log entry if there is no snapshot.
    pub fn first_level(self) -> FeatureLevel {
        match self {
            Self::Level(level) => level,
            Self::Levels { first, .. } => first,
        }
    }

    /// The format for files of this format to which `level` is added.
    pub(crate) fn with_level(self, level: FeatureLevel) -> Self {
        match self {
            Self::Level(only) if only == level => self,
            Self::Level(only) => Self::Levels { first: only.min(level), last: only.max(level) },
            Self::Levels { first, last } => Self::Levels { first, last: last.max(level) },
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
            Self::Levels { .. } => [LEVEL_PREFIX, &level.number().to_le_bytes(), &encoded].concat(),
        }
    }

    /// Decodes a snapshot file; `None` if it is corrupt.
    pub(crate) fn decode_snapshot(self, bytes: Vec<u8>) -> Option<Snapshot> {
        let Some(prefixed) = bytes.strip_prefix(LEVEL_PREFIX).filter(|_| matches!(self, Self::Levels { .. })) else {
            return Some(Snapshot::decode(bytes)?.at_level(self.first_level()));
        };
        let (number, encoded) = prefixed.split_first_chunk()?;
        let level = FeatureLevel::from_number(u32::from_le_bytes(*number))?;
        Some(Snapshot::decode(encoded.to_vec())?.at_level(level))
    }
}

/// Lists the formats that this build can read, for error messages.
pub fn readable_formats() -> String {
    let levels = FeatureLevel::ALL.map(FeatureLevel::file_format);
    let mut numbers: Vec<u32> = levels.into_iter().chain(MULTIPLE_LEVELS.map(|(number, _)| number)).collect();
    numbers.sort_unstable();
    let last = numbers.pop().expect("this build reads at least one format");
    let others: Vec<String> = numbers.iter().map(u32::to_string).collect();
    format!("{} and {last}", others.join(", "))
}
