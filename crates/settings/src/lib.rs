//! Typed TOML settings files. All errors of a file are reported at once, and unknown keys are rejected.
//!
//! `member` contains the settings of processes that discover each other through seed addresses.
//!
//! `clients` contains what both kinds of files say about clients.
//!
//! `types` defines the settings of relays and control processes and `parse` reads them. `reader` extracts single values and
//! collects the errors.

pub mod clients;
pub mod member;
pub mod parse;
pub mod reader;
pub mod types;

pub use clients::ClientSettings;
pub use member::{Bounds, Interface, MemberRole, MemberSettings, PlatformSettings, UsageSettings, parse_member};
pub use parse::parse;
pub use reader::SettingError;
pub use types::{ControlSettings, RelaySettings, Role, Settings};
