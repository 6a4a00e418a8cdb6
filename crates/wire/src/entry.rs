//! Bytes of a log entry: the MessagePack of its records.

use berylknot_coordination::record::Record;

use crate::Result;

/// Encodes the records of an entry.
///
/// # Errors
/// Fails when a record cannot be represented in MessagePack.
pub fn encode(records: &[Record]) -> Result<Vec<u8>> {
    Ok(rmp_serde::to_vec_named(records)?)
}

/// Decodes the records of an entry.
///
/// # Errors
/// Fails when the bytes are not the records of an entry.
pub fn decode(bytes: &[u8]) -> Result<Vec<Record>> {
    Ok(rmp_serde::from_slice(bytes)?)
}
