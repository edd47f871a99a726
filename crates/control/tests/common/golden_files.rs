//! Compares encodings with golden files that a released build has written.

use std::path::Path;

/// Each part preceded by its length as a little-endian `u32`.
pub fn framed(parts: &[Vec<u8>]) -> Vec<u8> {
    let frame = |part: &Vec<u8>| [&(part.len() as u32).to_le_bytes(), part.as_slice()].concat();
    parts.iter().flat_map(frame).collect()
}

/// Checks that the golden files `name.*` have these contents, by extension; writes them instead if `PICTURES` names a folder.
pub fn check_golden_files(name: &str, written: impl IntoIterator<Item = (&'static str, Vec<u8>)>) {
    for (extension, bytes) in written {
        let file_name = format!("{name}.{extension}");
        if let Ok(folder) = std::env::var("PICTURES") {
            std::fs::write(Path::new(&folder).join(file_name), bytes).expect("the golden file can be written");
            continue;
        }
        let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/pictures").join(&file_name);
        let released = std::fs::read(file).expect("the golden file can be read");
        assert!(
            bytes == released,
            "{file_name}: a layout or the effect of a command has changed without a new feature level"
        );
    }
}
