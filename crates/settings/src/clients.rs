//! Settings of what clients may make a process hold, in both kinds of settings files.

use crate::reader::{Section, SettingError};
use toml::Table;

/// Part of the machine's memory that is for clients' requests and responses, in percent.
const CLIENT_MEMORY_PERCENT: u64 = 30;

/// Part of the machine's memory that is for large replies to other processes of the deployment, in percent.
const REPLY_MEMORY_PERCENT: u64 = 15;

/// Part of the machine's memory that is for the texts of items of open jobs, in percent.
const TEXT_MEMORY_PERCENT: u64 = 15;

/// Memory of the connection to a client beside its requests and responses, in bytes: buffers and a head.
const CONNECTION_BYTES: u64 = 32 * 1024;

const BYTES_PER_MEGABYTE: u64 = 1024 * 1024;

/// The machine's resources, of which clients get a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientSettings {
    /// Memory that the process may use, in megabytes.
    pub machine_memory_mb: u64,
    /// Number of descriptors that the process may open; `None` for the limit that the operating system reports.
    pub max_descriptors: Option<u64>,
}

impl ClientSettings {
    pub(crate) fn parse(table: Table, errors: &mut Vec<SettingError>) -> Self {
        let mut section = Section::new("clients", table, errors);
        let settings = Self {
            machine_memory_mb: section.number("machine_memory_mb", 80, 16..=1_048_576),
            max_descriptors: Some(section.number("max_descriptors", 0, 0..=1_048_576)).filter(|count| *count > 0),
        };
        section.reject_unknown_keys();
        settings
    }

    /// Memory that all clients together may make the process hold, in bytes.
    pub fn memory_bytes(&self) -> usize {
        self.share_of_memory(CLIENT_MEMORY_PERCENT)
    }

    /// Memory for large replies to other processes of the deployment, in bytes.
    pub fn reply_memory_bytes(&self) -> usize {
        self.share_of_memory(REPLY_MEMORY_PERCENT)
    }

    /// Memory for the texts of items of open jobs, in bytes.
    pub fn text_memory_bytes(&self) -> usize {
        self.share_of_memory(TEXT_MEMORY_PERCENT)
    }

    fn share_of_memory(&self, percent: u64) -> usize {
        (self.machine_memory_mb * BYTES_PER_MEGABYTE * percent / 100) as usize
    }

    /// Maximum number of connections of clients: half of the descriptors, and no more than fit in as much memory as
    /// their requests. `system_descriptors` is the limit that the operating system reports.
    pub fn max_connections(&self, system_descriptors: u64) -> usize {
        let descriptors = self.descriptors(system_descriptors);
        let by_memory = self.memory_bytes() as u64 / CONNECTION_BYTES;
        (descriptors / 2).min(by_memory) as usize
    }

    /// Maximum number of connections of other processes that have not authenticated yet.
    pub fn max_pending_peers(&self, system_descriptors: u64) -> usize {
        (self.descriptors(system_descriptors) / 4) as usize
    }

    fn descriptors(&self, system_descriptors: u64) -> u64 {
        self.max_descriptors.unwrap_or(u64::MAX).min(system_descriptors)
    }
}
