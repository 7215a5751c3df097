//! The codec between entry VMs: MessagePack in an envelope that carries the
//! protocol's version, so that a VM of another version is refused and not
//! misread.

use std::fmt;

use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// The version of the messages between entry VMs.
pub const VERSION: u16 = 1;

/// Why bytes are no message.
#[derive(Debug)]
pub enum CodecError {
    /// The bytes are no MessagePack of the expected type.
    Broken(rmp_serde::decode::Error),
    /// The message is of another version.
    Version {
        /// The version that the peer speaks.
        theirs: u16,
    },
    /// The value can't be written.
    Encode(rmp_serde::encode::Error),
}

impl fmt::Display for CodecError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CodecError::Broken(e) => write!(f, "broken message: {e}"),
            CodecError::Version { theirs } => {
                write!(f, "message of version {theirs}, this VM speaks {VERSION}")
            }
            CodecError::Encode(e) => write!(f, "message can't be written: {e}"),
        }
    }
}

impl std::error::Error for CodecError {}

/// Writes a message in its envelope: two bytes of version, then MessagePack.
///
/// # Errors
///
/// Fails when the value has no MessagePack form.
pub fn encode<T: Serialize>(value: &T) -> Result<Bytes, CodecError> {
    let mut out = VERSION.to_be_bytes().to_vec();
    let mut writer = rmp_serde::Serializer::new(&mut out);
    value.serialize(&mut writer).map_err(CodecError::Encode)?;
    Ok(Bytes::from(out))
}

/// Reads a message from its envelope.
///
/// # Errors
///
/// Tells a message of another version apart from a broken one.
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
