//! Files in one data folder.

use compio::BufResult;
use compio::fs::{File, OpenOptions};
use compio::io::{AsyncReadAt, AsyncWriteAtExt};
use futures::lock::Mutex;
use saddlerelay_runtime::Disk;
use std::collections::BTreeMap;
use std::io;
use std::path::PathBuf;
use std::rc::Rc;

struct Appender {
    file: File,
    length: u64,
}

/// The folder. Clones share open files.
#[derive(Clone)]
pub struct FolderDisk {
    folder: Rc<PathBuf>,
    appenders: Rc<Mutex<BTreeMap<String, Appender>>>,
}

impl FolderDisk {
    /// Files under `folder`, which must exist.
    pub fn new(folder: PathBuf) -> Self {
        Self { folder: Rc::new(folder), appenders: Rc::default() }
    }

    async fn open_appender(&self, name: &str) -> io::Result<Appender> {
        let path = self.folder.join(name);
        let new = !path.exists();
        let file = OpenOptions::new().write(true).create(true).open(path).await?;
        if new {
            self.sync_folder().await?;
        }
        let length = file.metadata().await?.len();
        Ok(Appender { file, length })
    }

    /// Syncs a file that this process has not appended to.
    async fn sync_unopened(&self, name: &str) -> io::Result<()> {
        match OpenOptions::new().write(true).open(self.folder.join(name)).await {
            Ok(file) => file.sync_data().await,
            Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(()),
            Err(error) => Err(error),
        }
    }
}

impl Disk for FolderDisk {
    async fn read(&self, file: &str) -> io::Result<Option<Vec<u8>>> {
        match compio::fs::read(self.folder.join(file)).await {
            Ok(bytes) => Ok(Some(bytes)),
            Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
            Err(error) => Err(error),
        }
    }

    async fn read_range(&self, file: &str, offset: u64, length: usize) -> io::Result<Vec<u8>> {
        let file = File::open(self.folder.join(file)).await?;
        let mut bytes = Vec::with_capacity(length);
        while bytes.len() < length {
            let room = Vec::with_capacity(length - bytes.len());
            let BufResult(count, read) = file.read_at(room, offset + bytes.len() as u64).await;
            if count? == 0 {
                break;
            }
            bytes.extend_from_slice(&read);
        }
        Ok(bytes)
    }

    async fn append(&self, file: &str, bytes: Vec<u8>) -> io::Result<()> {
        let mut appenders = self.appenders.lock().await;
        if !appenders.contains_key(file) {
            let opened = self.open_appender(file).await?;
            appenders.insert(file.to_string(), opened);
        }
        let appender = appenders.get_mut(file).expect("the file was just opened");
        let count = bytes.len() as u64;
        let BufResult(written, _) = appender.file.write_all_at(bytes, appender.length).await;
        written?;
        appender.length += count;
        Ok(())
    }

    async fn sync(&self, file: &str) -> io::Result<()> {
        let appenders = self.appenders.lock().await;
        match appenders.get(file) {
            Some(appender) => appender.file.sync_data().await,
            None => self.sync_unopened(file).await,
        }
    }

    async fn sync_folder(&self) -> io::Result<()> {
        File::open(self.folder.as_path()).await?.sync_all().await
    }

    async fn replace(&self, file: &str, bytes: Vec<u8>) -> io::Result<()> {
        let temporary = self.folder.join(format!("{file}.new"));
        let mut new_file = File::create(&temporary).await?;
        let BufResult(written, _) = new_file.write_all_at(bytes, 0).await;
        written?;
        new_file.sync_all().await?;
        // Other files are appended to meanwhile.
        let mut appenders = self.appenders.lock().await;
        appenders.remove(file);
        compio::fs::rename(&temporary, self.folder.join(file)).await?;
        self.sync_folder().await
    }

    async fn remove(&self, file: &str) -> io::Result<()> {
        self.appenders.lock().await.remove(file);
        match compio::fs::remove_file(self.folder.join(file)).await {
            Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(()),
            other => other,
        }
    }
}
