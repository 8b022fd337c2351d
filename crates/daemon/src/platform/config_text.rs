//! The JSON text of the active configuration, as it is passed on to other instances.
//!
//! Load pattern: a configuration with thousands of routes changes, or a whole data centre restarts,
//! and every instance of the data centre gets the text from the same one over a slow link. The text
//! is therefore compressed, once by the first instance that passes it on.

use std::io::{self, Read};

use flate2::{
    Compression,
    read::{ZlibDecoder, ZlibEncoder},
};

/// Compression level. Higher ones save little with JSON and take several times as long.
const LEVEL: Compression = Compression::fast();

/// Text of a configuration, compressed or not.
///
/// # Examples
///
/// ```
/// use rosemarybank_daemon::platform::config_text::{ConfigText, decompress};
///
/// let mut text = ConfigText::plain(br#"{"version":7}"#.to_vec());
/// let compressed = text.compressed().unwrap().to_vec();
/// assert_eq!(decompress(&compressed, 100).unwrap(), br#"{"version":7}"#);
/// assert!(decompress(&compressed, 5).is_err());
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigText {
    bytes: Vec<u8>,
    is_compressed: bool,
}

impl ConfigText {
    /// Holds a text, which is compressed when it is first passed on.
    #[must_use]
    pub fn plain(bytes: Vec<u8>) -> ConfigText {
        ConfigText { bytes, is_compressed: false }
    }

    /// Holds a text that another instance has compressed.
    #[must_use]
    pub fn from_compressed(bytes: Vec<u8>) -> ConfigText {
        ConfigText { bytes, is_compressed: true }
    }

    /// Returns the compressed text.
    ///
    /// # Errors
    ///
    /// Fails when the text cannot be compressed.
    pub fn compressed(&mut self) -> io::Result<&[u8]> {
        if !self.is_compressed {
            let mut out = Vec::new();
            ZlibEncoder::new(self.bytes.as_slice(), LEVEL).read_to_end(&mut out)?;
            (self.bytes, self.is_compressed) = (out, true);
        }
        Ok(&self.bytes)
    }
}

/// Decompresses a text of at most `max_len` bytes.
///
/// # Errors
///
/// Fails when the bytes are not a compressed text, or the text is longer.
pub fn decompress(bytes: &[u8], max_len: usize) -> io::Result<Vec<u8>> {
    let mut out = Vec::new();
    // One byte more shows that the text is too long.
    ZlibDecoder::new(bytes).take(max_len as u64 + 1).read_to_end(&mut out)?;
    if out.len() > max_len {
        let message = format!("the configuration is longer than {max_len} bytes");
        return Err(io::Error::new(io::ErrorKind::InvalidData, message));
    }
    Ok(out)
}
