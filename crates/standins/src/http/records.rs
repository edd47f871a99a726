//! Records in a file, one JSON object on each line.

use crate::recorder::Recorder;
use saddlerelay_checker::record::Record;
use std::cell::RefCell;
use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::path::Path;

/// A recorder that appends to `path`; every record is handed to the operating system at once, so that it outlives the
/// process.
pub fn file_recorder(path: &Path) -> io::Result<Recorder> {
    let file: RefCell<File> = RefCell::new(OpenOptions::new().create(true).append(true).open(path)?);
    Ok(Recorder::new(move |record| {
        let mut line = serde_json::to_vec(&record).unwrap_or_default();
        line.push(b'\n');
        file.borrow_mut().write_all(&line).expect("a stand-in's records can be written");
    }))
}

/// Reads the records of `path`; a last line that a killed stand-in left unfinished is passed over.
pub fn read_records(path: &Path) -> io::Result<Vec<Record>> {
    let text = std::fs::read_to_string(path)?;
    Ok(text.lines().filter_map(|line| serde_json::from_str(line).ok()).collect())
}
