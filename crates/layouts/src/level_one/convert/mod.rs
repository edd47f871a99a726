//! Between layouts of level one and today's types. What comes from level one always has a meaning today; the other way round
//! `None` says that level one has no words for it.

mod commands;
mod control;
mod instances;
mod messages;
mod routing;

pub use commands::commands_to_one;
pub use control::{control_reply_from_one, control_reply_to_one, control_request_from_one, control_request_to_one};
pub use routing::{update_from_one, update_to_one};
