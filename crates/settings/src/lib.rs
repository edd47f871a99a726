//! Settings files in TOML: typed, checked as a whole, unknown keys refused.
//!
//! `member` has the settings of processes that find each other from seeds.
//!
//! `types` has the settings with their defaults and units, `reader` takes values out of a file and collects every error,
//! and `parse` does both for a whole file.

pub mod member;
pub mod parse;
pub mod reader;
pub mod types;

pub use member::{Bounds, Interface, MemberRole, MemberSettings, PlatformSettings, UsageSettings, parse_member};
pub use parse::parse;
pub use reader::SettingError;
pub use types::{ControlSettings, RelaySettings, Role, Settings};
