//! Texts that are kept for long and seldom read, compressed.

use bitcode::{Decode, Encode};
use flate2::read::DeflateDecoder;
use flate2::{Compress, Compression, FlushCompress, Status};
use std::cell::RefCell;
use std::io::Read;

thread_local! {
    /// Its tables are large: they are made once.
    static COMPRESSOR: RefCell<Compress> = RefCell::new(Compress::new(Compression::fast(), false));
}

/// A text, compressed where that makes it smaller.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum PackedText {
    /// As it is.
    Plain(Vec<u8>),
    /// Compressed.
    Deflated {
        /// Its length as it was, in bytes.
        length: u32,
        /// The compressed bytes.
        bytes: Vec<u8>,
    },
}

impl PackedText {
    /// Packs a text.
    pub fn pack(mut text: Vec<u8>) -> Self {
        let deflated = deflate(&text);
        match (u32::try_from(text.len()), deflated) {
            (Ok(length), Some(bytes)) => Self::Deflated { length, bytes },
            _ => {
                text.shrink_to_fit();
                Self::Plain(text)
            }
        }
    }

    /// The text.
    pub fn unpack(&self) -> Vec<u8> {
        match self {
            Self::Plain(text) => text.clone(),
            Self::Deflated { length, bytes } => {
                let mut text = Vec::with_capacity(*length as usize);
                let unpacked = DeflateDecoder::new(bytes.as_slice()).read_to_end(&mut text);
                unpacked.expect("what was packed can be unpacked");
                text
            }
        }
    }

    /// Its length as it was, in bytes.
    pub fn length(&self) -> usize {
        match self {
            Self::Plain(text) => text.len(),
            Self::Deflated { length, .. } => *length as usize,
        }
    }
}

/// The text, compressed; `None` where that does not make it smaller.
fn deflate(text: &[u8]) -> Option<Vec<u8>> {
    let mut bytes = Vec::with_capacity(text.len());
    let status = COMPRESSOR.with(|compressor| {
        let mut compressor = compressor.borrow_mut();
        compressor.reset();
        compressor.compress_vec(text, &mut bytes, FlushCompress::Finish)
    });
    bytes.shrink_to_fit();
    matches!(status, Ok(Status::StreamEnd)).then_some(bytes)
}
