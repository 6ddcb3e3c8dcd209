//! Rendezvous hashing: all nodes with the same set of members pick the same one.

/// Picks the member with the highest weight for `key`; `None` if there are no members.
pub fn pick<'a, T: AsRef<str>>(key: &str, members: impl IntoIterator<Item = &'a T>) -> Option<&'a T> {
    members.into_iter().max_by_key(|member| weight(key, member.as_ref()))
}

/// The members with the highest weights for `key`, at most `count` of them, in descending order.
pub fn ranked<'a, T: AsRef<str>>(
    key: &str,
    members: impl IntoIterator<Item = &'a T>,
    count: usize,
) -> Vec<&'a T> {
    let mut ranked: Vec<(u64, &T)> = Vec::with_capacity(count + 1);
    for member in members {
        let weight = weight(key, member.as_ref());
        let position = ranked.partition_point(|(other, _)| *other > weight);
        if position < count {
            ranked.insert(position, (weight, member));
            ranked.truncate(count);
        }
    }
    ranked.into_iter().map(|(_, member)| member).collect()
}

/// The weight of a member for a key: a 64-bit FNV-1a hash of the pair, passed through a finaliser. It is the
/// same on all machines and in all versions.
pub fn weight(key: &str, member: &str) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    let separator = [0xff];
    let bytes = key.bytes().chain(separator).chain(member.bytes());
    let fnv = bytes.fold(OFFSET, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(PRIME));
    mix(fnv)
}

/// The finaliser of SplitMix64 (Steele, Lea, Flood, 2014).
pub fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
