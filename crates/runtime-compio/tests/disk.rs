//! Files of a real folder: what is missing reads as nothing, and errors name the file.

use saddlerelay_runtime::Disk;
use saddlerelay_runtime_compio::disk::FolderDisk;
use std::path::PathBuf;

/// A folder of its own for each test, removed at its end.
struct Folder(PathBuf);

impl Folder {
    fn new(test: &str) -> Self {
        let path = std::env::temp_dir().join(format!("saddlerelay-disk-{test}-{}", std::process::id()));
        std::fs::create_dir_all(&path).expect("a temporary folder");
        Self(path)
    }

    fn disk(&self) -> FolderDisk {
        FolderDisk::new(self.0.clone())
    }

    fn names(&self) -> Vec<String> {
        let files = std::fs::read_dir(&self.0).expect("the folder is there");
        let mut names: Vec<String> =
            files.map(|file| file.expect("a file").file_name().to_string_lossy().into_owned()).collect();
        names.sort();
        names
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        // What is left lies in the machine's temporary folder.
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn run<T>(test: impl Future<Output = T>) -> T {
    compio::runtime::Runtime::new().expect("a runtime").block_on(test)
}

/// A segment that is missing is told as missing, by its number, not as an error of the machine.
#[test]
fn a_file_that_does_not_exist_reads_as_nothing() {
    let folder = Folder::new("missing");
    run(async {
        let disk = folder.disk();
        assert_eq!(disk.read("segment-1").await.expect("no error"), None);
        assert_eq!(disk.read_range("segment-1", 10, 2).await.expect("no error"), Vec::<u8>::new());
        disk.sync("wal").await.expect("nothing to sync");
        disk.remove("wal").await.expect("nothing to remove");
    });
}

#[test]
fn another_process_appends_behind_what_it_found_and_synced() {
    let folder = Folder::new("append");
    run(async {
        folder.disk().append("wal", vec![1, 2]).await.expect("there is room");
        let next = folder.disk();
        next.sync_folder().await.expect("the folder is there");
        next.sync("wal").await.expect("the file is there");
        next.append("wal", vec![3]).await.expect("there is room");
        next.sync("wal").await.expect("the file is there");
        assert_eq!(next.read("wal").await.expect("no error"), Some(vec![1, 2, 3]));
        assert_eq!(next.read_range("wal", 1, 9).await.expect("no error"), [2, 3]);
    });
}

#[test]
fn a_replaced_file_is_appended_to_and_leaves_no_other() {
    let folder = Folder::new("replace");
    run(async {
        let disk = folder.disk();
        disk.append("wal", vec![1, 2]).await.expect("there is room");
        // A process that lost power before it renamed has left this.
        std::fs::write(folder.0.join("wal.new"), [9; 100]).expect("there is room");
        disk.replace("wal", vec![7]).await.expect("there is room");
        disk.append("wal", vec![8]).await.expect("there is room");
        assert_eq!(disk.read("wal").await.expect("no error"), Some(vec![7, 8]));
    });
    assert_eq!(folder.names(), ["wal"]);
}

/// The line that a process ends with names the file.
#[test]
fn errors_name_the_file() {
    let folder = Folder::new("errors");
    std::fs::create_dir(folder.0.join("snapshot")).expect("a folder in place of a file");
    run(async {
        let disk = folder.disk();
        let told = |error: std::io::Error| error.to_string();
        assert!(disk.read("snapshot").await.map_err(told).expect_err("a folder").contains("`snapshot`"));
        assert!(disk.append("snapshot", vec![1]).await.map_err(told).expect_err("a folder").contains("`snapshot`"));
        assert!(disk.sync("snapshot").await.map_err(told).expect_err("a folder").contains("`snapshot`"));
        assert!(disk.replace("snapshot", vec![1]).await.map_err(told).expect_err("a folder").contains("`snapshot`"));
        assert!(disk.remove("snapshot").await.map_err(told).expect_err("a folder").contains("`snapshot`"));
    });
}
