//! Record files with one JSON object per line.

use crate::recorder::Recorder;
use saddlerelay_checker::record::Record;
use std::cell::RefCell;
use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::path::Path;

/// Creates a recorder that appends to `path`. Writes are unbuffered, so that records survive a crash of the process.
pub fn file_recorder(path: &Path) -> io::Result<Recorder> {
    let file: RefCell<File> = RefCell::new(OpenOptions::new().create(true).append(true).open(path)?);
    Ok(Recorder::new(move |record| {
        let mut line = serde_json::to_vec(&record).unwrap_or_default();
        line.push(b'\n');
        file.borrow_mut().write_all(&line).expect("the records file is writable");
    }))
}

/// Reads the records in `path`. Malformed lines, such as a truncated last one, are skipped.
pub fn read_records(path: &Path) -> io::Result<Vec<Record>> {
    let text = std::fs::read_to_string(path)?;
    Ok(text.lines().filter_map(|line| serde_json::from_str(line).ok()).collect())
}
