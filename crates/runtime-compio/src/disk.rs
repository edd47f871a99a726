//! Files in a data folder.

use compio::BufResult;
use compio::fs::{File, OpenOptions};
use compio::io::{AsyncReadAt, AsyncWriteAtExt};
use futures::lock::Mutex;
use saddlerelay_runtime::Disk;
use std::collections::BTreeMap;
use std::io;
use std::path::PathBuf;
use std::rc::Rc;

/// A file that is open for appending.
struct Appender {
    file: File,
    length: u64,
}

/// A data folder. Clones share open files.
#[derive(Clone)]
pub struct FolderDisk {
    folder: Rc<PathBuf>,
    /// Files that are open for appending, by name.
    appenders: Rc<Mutex<BTreeMap<String, Appender>>>,
}

impl FolderDisk {
    /// Uses `folder`, which must exist.
    pub fn new(folder: PathBuf) -> Self {
        Self { folder: Rc::new(folder), appenders: Rc::default() }
    }

    async fn open_appender(&self, name: &str) -> io::Result<Appender> {
        let path = self.folder.join(name);
        let is_new = !path.exists();
        let file = OpenOptions::new().write(true).create(true).open(path).await?;
        if is_new {
            self.sync_folder_entries().await?;
        }
        let length = file.metadata().await?.len();
        Ok(Appender { file, length })
    }

    /// Syncs a file that is not open for appending; succeeds if it does not exist.
    async fn sync_unopened(&self, name: &str) -> io::Result<()> {
        match OpenOptions::new().write(true).open(self.folder.join(name)).await {
            Ok(file) => file.sync_data().await,
            Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(()),
            Err(error) => Err(error),
        }
    }

    async fn read_range_from(&self, name: &str, offset: u64, length: usize) -> io::Result<Vec<u8>> {
        let file = match File::open(self.folder.join(name)).await {
            Ok(file) => file,
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(Vec::new()),
            Err(error) => return Err(error),
        };
        let mut bytes = Vec::with_capacity(length);
        while bytes.len() < length {
            let buffer = Vec::with_capacity(length - bytes.len());
            let BufResult(count, read) = file.read_at(buffer, offset + bytes.len() as u64).await;
            if count? == 0 {
                break;
            }
            bytes.extend_from_slice(&read);
        }
        Ok(bytes)
    }

    async fn append_to(&self, name: &str, bytes: Vec<u8>) -> io::Result<()> {
        let mut appenders = self.appenders.lock().await;
        if !appenders.contains_key(name) {
            let opened = self.open_appender(name).await?;
            appenders.insert(name.to_string(), opened);
        }
        let appender = appenders.get_mut(name).expect("the file was just opened");
        let count = bytes.len() as u64;
        let BufResult(written, _) = appender.file.write_all_at(bytes, appender.length).await;
        written?;
        appender.length += count;
        Ok(())
    }

    async fn sync_content(&self, name: &str) -> io::Result<()> {
        let appenders = self.appenders.lock().await;
        match appenders.get(name) {
            Some(appender) => appender.file.sync_data().await,
            None => self.sync_unopened(name).await,
        }
    }

    async fn replace_atomically(&self, name: &str, bytes: Vec<u8>) -> io::Result<()> {
        let temporary = self.folder.join(format!("{name}.new"));
        let mut new_file = File::create(&temporary).await?;
        let BufResult(written, _) = new_file.write_all_at(bytes, 0).await;
        written?;
        new_file.sync_all().await?;
        // Locked only now, so that appends to other files proceed while the new content is written.
        let mut appenders = self.appenders.lock().await;
        appenders.remove(name);
        compio::fs::rename(&temporary, self.folder.join(name)).await?;
        self.sync_folder_entries().await
    }

    async fn sync_folder_entries(&self) -> io::Result<()> {
        File::open(self.folder.as_path()).await?.sync_all().await
    }
}

/// Adds the file's name to an error.
fn with_file_name<T>(file: &str, result: io::Result<T>) -> io::Result<T> {
    result.map_err(|error| io::Error::new(error.kind(), format!("file `{file}`: {error}")))
}

impl Disk for FolderDisk {
    async fn read(&self, file: &str) -> io::Result<Option<Vec<u8>>> {
        match compio::fs::read(self.folder.join(file)).await {
            Ok(bytes) => Ok(Some(bytes)),
            Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
            Err(error) => with_file_name(file, Err(error)),
        }
    }

    async fn read_range(&self, file: &str, offset: u64, length: usize) -> io::Result<Vec<u8>> {
        with_file_name(file, self.read_range_from(file, offset, length).await)
    }

    async fn append(&self, file: &str, bytes: Vec<u8>) -> io::Result<()> {
        with_file_name(file, self.append_to(file, bytes).await)
    }

    async fn sync(&self, file: &str) -> io::Result<()> {
        with_file_name(file, self.sync_content(file).await)
    }

    async fn sync_folder(&self) -> io::Result<()> {
        with_file_name(".", self.sync_folder_entries().await)
    }

    async fn replace(&self, file: &str, bytes: Vec<u8>) -> io::Result<()> {
        with_file_name(file, self.replace_atomically(file, bytes).await)
    }

    async fn remove(&self, file: &str) -> io::Result<()> {
        self.appenders.lock().await.remove(file);
        match compio::fs::remove_file(self.folder.join(file)).await {
            Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(()),
            other => with_file_name(file, other),
        }
    }
}
