//! Layouts of level one, as released. Types that are still the same are used as they are.

pub mod convert;
pub mod follow;
pub mod gateway;
pub mod protocol;
pub mod routing;
