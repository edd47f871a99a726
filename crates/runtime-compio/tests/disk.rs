//! Files in a real folder: missing files, appends, atomic replacement and error messages.

use saddlerelay_runtime::Disk;
use saddlerelay_runtime_compio::disk::FolderDisk;
use std::path::PathBuf;

/// A temporary folder for one test, removed on drop.
struct Folder(PathBuf);

impl Folder {
    fn new(test: &str) -> Self {
        let path = std::env::temp_dir().join(format!("saddlerelay-disk-{test}-{}", std::process::id()));
        std::fs::create_dir_all(&path).expect("the temporary folder is created");
        Self(path)
    }

    fn disk(&self) -> FolderDisk {
        FolderDisk::new(self.0.clone())
    }

    fn names(&self) -> Vec<String> {
        let files = std::fs::read_dir(&self.0).expect("the folder exists");
        let mut names: Vec<String> = files
            .map(|file| file.expect("the folder entry is readable").file_name().to_string_lossy().into_owned())
            .collect();
        names.sort();
        names
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        // A failure leaves files in the temporary folder only.
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn run<T>(test: impl Future<Output = T>) -> T {
    compio::runtime::Runtime::new().expect("the runtime starts").block_on(test)
}

/// Callers report a missing segment themselves, so it must not be an I/O error.
#[test]
fn missing_files_are_not_errors() {
    let folder = Folder::new("missing");
    run(async {
        let disk = folder.disk();
        assert_eq!(disk.read("segment-1").await.expect("a missing file is no error"), None);
        assert_eq!(disk.read_range("segment-1", 10, 2).await.expect("a missing file is no error"), Vec::<u8>::new());
        disk.sync("wal").await.expect("a missing file is no error");
        disk.remove("wal").await.expect("a missing file is no error");
    });
}

#[test]
fn a_later_process_appends_after_existing_data() {
    let folder = Folder::new("append");
    run(async {
        folder.disk().append("wal", vec![1, 2]).await.expect("the write succeeds");
        let reopened = folder.disk();
        reopened.sync_folder().await.expect("the folder is synced");
        reopened.sync("wal").await.expect("the file is synced");
        reopened.append("wal", vec![3]).await.expect("the write succeeds");
        reopened.sync("wal").await.expect("the file is synced");
        assert_eq!(reopened.read("wal").await.expect("the read succeeds"), Some(vec![1, 2, 3]));
        assert_eq!(reopened.read_range("wal", 1, 9).await.expect("the read succeeds"), [2, 3]);
    });
}

#[test]
fn appends_after_replace_go_to_the_new_file_and_no_temporary_file_remains() {
    let folder = Folder::new("replace");
    run(async {
        let disk = folder.disk();
        disk.append("wal", vec![1, 2]).await.expect("the write succeeds");
        // Left by a process that crashed before the rename.
        std::fs::write(folder.0.join("wal.new"), [9; 100]).expect("the write succeeds");
        disk.replace("wal", vec![7]).await.expect("the write succeeds");
        disk.append("wal", vec![8]).await.expect("the write succeeds");
        assert_eq!(disk.read("wal").await.expect("the read succeeds"), Some(vec![7, 8]));
    });
    assert_eq!(folder.names(), ["wal"]);
}

/// Errors must contain the file name, as they may be the last line that a process logs.
#[test]
fn errors_contain_the_file_name() {
    let folder = Folder::new("errors");
    std::fs::create_dir(folder.0.join("snapshot")).expect("the folder is created");
    run(async {
        let disk = folder.disk();
        let message = |error: std::io::Error| error.to_string();
        assert!(disk.read("snapshot").await.map_err(message).expect_err("the path is a folder").contains("`snapshot`"));
        assert!(
            disk.append("snapshot", vec![1])
                .await
                .map_err(message)
                .expect_err("the path is a folder")
                .contains("`snapshot`")
        );
        assert!(disk.sync("snapshot").await.map_err(message).expect_err("the path is a folder").contains("`snapshot`"));
        assert!(
            disk.replace("snapshot", vec![1])
                .await
                .map_err(message)
                .expect_err("the path is a folder")
                .contains("`snapshot`")
        );
        assert!(
            disk.remove("snapshot").await.map_err(message).expect_err("the path is a folder").contains("`snapshot`")
        );
    });
}
