//! Types of feature level one, as released. Types that have not changed since are shared with the current level.

pub mod convert;
pub mod follow;
pub mod gateway;
pub mod protocol;
pub mod routing;
