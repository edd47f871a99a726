//! Conversions between level one types and the current types. Conversions to level one return `None` if it cannot
//! express the value.

mod commands;
mod control;
mod instances;
mod messages;
mod routing;

pub use commands::commands_to_one;
pub use control::{control_reply_from_one, control_reply_to_one, control_request_from_one, control_request_to_one};
pub use routing::{update_from_one, update_to_one};
