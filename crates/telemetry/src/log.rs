//! Configures the process's default logger.

use crate::ring::RingSink;
use crate::stdout::StdoutSink;
use spdlog::prelude::LevelFilter;
use std::path::Path;
use std::sync::Arc;

/// Name of the file in the data folder to which the log ring is dumped.
pub const LOG_FILE: &str = "log-ring.txt";

/// Sends the process's log to standard output.
pub fn set_up_stdout(node: &str) -> Result<Arc<StdoutSink>, spdlog::Error> {
    let sink = Arc::new(StdoutSink::new(node));
    let logger = spdlog::Logger::builder().sink(sink.clone()).level_filter(LevelFilter::All).build()?;
    spdlog::set_default_logger(Arc::new(logger));
    Ok(sink)
}

/// Sends the process's log to an in-memory ring, which is dumped to [`LOG_FILE`] in `data_folder` on an error, a panic or a
/// call of [`RingSink::write_out`].
pub fn set_up(data_folder: &Path) -> Result<Arc<RingSink>, spdlog::Error> {
    let ring = Arc::new(RingSink::new(data_folder.join(LOG_FILE)));
    let logger = spdlog::Logger::builder().sink(ring.clone()).level_filter(LevelFilter::All).build()?;
    spdlog::set_default_logger(Arc::new(logger));
    let panic_ring = ring.clone();
    let previous_hook = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        spdlog::critical!("panic: {}", panic);
        let _ = panic_ring.write_out();
        previous_hook(panic);
    }));
    Ok(ring)
}
