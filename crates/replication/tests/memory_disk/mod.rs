//! An in-memory `Disk`.

use saddlerelay_runtime::Disk;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;

/// File contents by name.
#[derive(Clone, Default)]
pub struct MemoryDisk(pub Rc<RefCell<BTreeMap<String, Vec<u8>>>>);

impl Disk for MemoryDisk {
    async fn read(&self, file: &str) -> io::Result<Option<Vec<u8>>> {
        Ok(self.0.borrow().get(file).cloned())
    }

    async fn read_range(&self, file: &str, offset: u64, length: usize) -> io::Result<Vec<u8>> {
        let files = self.0.borrow();
        let content = files.get(file).map_or(&[][..], Vec::as_slice);
        let start = (offset as usize).min(content.len());
        Ok(content[start..content.len().min(start + length)].to_vec())
    }

    async fn append(&self, file: &str, bytes: Vec<u8>) -> io::Result<()> {
        self.0.borrow_mut().entry(file.to_string()).or_default().extend(bytes);
        Ok(())
    }

    async fn sync(&self, _file: &str) -> io::Result<()> {
        Ok(())
    }

    async fn sync_folder(&self) -> io::Result<()> {
        Ok(())
    }

    async fn replace(&self, file: &str, bytes: Vec<u8>) -> io::Result<()> {
        self.0.borrow_mut().insert(file.to_string(), bytes);
        Ok(())
    }

    async fn remove(&self, file: &str) -> io::Result<()> {
        self.0.borrow_mut().remove(file);
        Ok(())
    }
}
