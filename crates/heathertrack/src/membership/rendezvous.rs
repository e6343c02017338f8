use crate::name::Host;

/// Returns the host that holds a role, by rendezvous hashing (highest random weight).
///
/// All observers of the same set of hosts choose the same host. When a host joins or leaves,
/// only the roles that it gets or gives up move.
pub fn rendezvous<'a>(role: &str, hosts: impl IntoIterator<Item = &'a Host>) -> Option<&'a Host> {
    let weigh = |host: &&Host| (weight(role, host.as_str()), (*host).clone());
    hosts.into_iter().max_by_key(weigh)
}

/// 64-bit FNV-1a with the 64-bit finaliser of MurmurHash3. Must be equal on every host and version.
fn weight(role: &str, host: &str) -> u64 {
    let mut hash: u64 = 0xcbf2_9ce4_8422_2325;
    for byte in role.bytes().chain([0]).chain(host.bytes()) {
        hash ^= u64::from(byte);
        hash = hash.wrapping_mul(0x0100_0000_01b3);
    }
    hash ^= hash >> 33;
    hash = hash.wrapping_mul(0xff51_afd7_ed55_8ccd);
    hash ^= hash >> 33;
    hash = hash.wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    hash ^ (hash >> 33)
}
