//! Hashes of host and endpoint names, stable across hosts and releases.

/// 64-bit hash of a host or endpoint name: FNV-1a, then a finaliser that disperses short names.
#[must_use]
pub fn tag(name: &str) -> u64 {
    let mut hash = 0xcbf2_9ce4_8422_2325_u64;
    for byte in name.bytes() {
        hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    }
    mix(hash)
}

/// Finaliser of splitmix64.
pub(crate) const fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// Upper 32 bits of a tag, which identify hosts in a digest.
pub(crate) const fn short(tag: u64) -> u32 {
    (tag >> 32) as u32
}
