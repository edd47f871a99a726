//! Sets the process's log up.

use crate::ring::RingSink;
use crate::stdout::StdoutSink;
use spdlog::prelude::LevelFilter;
use std::path::Path;
use std::sync::Arc;

/// The file in the data folder that the ring is written to.
pub const LOG_FILE: &str = "log-ring.txt";

/// Sends the process's log to standard output, for processes whose operators have only that.
pub fn set_up_stdout(node: &str) -> Result<Arc<StdoutSink>, spdlog::Error> {
    let sink = Arc::new(StdoutSink::new(node));
    let logger = spdlog::Logger::builder().sink(sink.clone()).level_filter(LevelFilter::All).build()?;
    spdlog::set_default_logger(Arc::new(logger));
    Ok(sink)
}

/// Sends the process's log to a ring that is written to [`LOG_FILE`] under `data_folder` on an error, a panic or when
/// told.
pub fn set_up(data_folder: &Path) -> Result<Arc<RingSink>, spdlog::Error> {
    let ring = Arc::new(RingSink::new(data_folder.join(LOG_FILE)));
    let logger = spdlog::Logger::builder().sink(ring.clone()).level_filter(LevelFilter::All).build()?;
    spdlog::set_default_logger(Arc::new(logger));
    let panic_ring = ring.clone();
    let before = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        spdlog::critical!("panic: {}", panic);
        let _ = panic_ring.write_out();
        before(panic);
    }));
    Ok(ring)
}
