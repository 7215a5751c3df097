//! Encoding of messages between entry VMs: MessagePack after a header with the
//! protocol version, so that a message of another version is refused and not
//! misread.

use std::fmt;

use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// The protocol version of messages between entry VMs.
pub const VERSION: u16 = 1;

/// Why a message could not be encoded or decoded.
#[derive(Debug)]
pub enum CodecError {
    /// The bytes are not valid MessagePack of the expected type.
    Broken(rmp_serde::decode::Error),
    /// The message has another protocol version.
    Version {
        /// The version that the peer speaks.
        theirs: u16,
    },
    /// The value can't be encoded.
    Encode(rmp_serde::encode::Error),
}

impl fmt::Display for CodecError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CodecError::Broken(e) => write!(f, "malformed message: {e}"),
            CodecError::Version { theirs } => {
                write!(f, "message of version {theirs}, this VM speaks {VERSION}")
            }
            CodecError::Encode(e) => write!(f, "message can't be encoded: {e}"),
        }
    }
}

impl std::error::Error for CodecError {}

/// Encodes a message: two bytes of version (big-endian), then MessagePack.
///
/// # Errors
///
/// Fails when the value can't be represented in MessagePack.
pub fn encode<T: Serialize>(value: &T) -> Result<Bytes, CodecError> {
    let mut out = VERSION.to_be_bytes().to_vec();
    let mut writer = rmp_serde::Serializer::new(&mut out);
    value.serialize(&mut writer).map_err(CodecError::Encode)?;
    Ok(Bytes::from(out))
}

/// Decodes a message written by [`encode`].
///
/// # Errors
///
/// Returns [`CodecError::Version`] for a message of another version and
/// [`CodecError::Broken`] for one that is malformed.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, CodecError> {
    let Some((head, rest)) = bytes.split_first_chunk::<2>() else {
        let eof = std::io::Error::from(std::io::ErrorKind::UnexpectedEof);
        return Err(CodecError::Broken(
            rmp_serde::decode::Error::InvalidMarkerRead(eof),
        ));
    };
    let theirs = u16::from_be_bytes(*head);
    if theirs != VERSION {
        return Err(CodecError::Version { theirs });
    }
    let mut reader = rmp_serde::Deserializer::new(rest);
    T::deserialize(&mut reader).map_err(CodecError::Broken)
}
