//! What speaks the users' platform's formats: engines, trainers and an operator.

pub mod engine;
pub mod operator;
pub mod trainer;
