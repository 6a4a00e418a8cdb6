//! Balanced placement of shards on live hosts by rendezvous hashing.

use super::{Shard, Subject, Table};
use crate::record::Incarnation;

/// Target owner of each shard, by shard index. `hosts` are the live hosts, sorted and not empty.
///
/// Shard counts differ by at most one. Owners keep shards up to their share; each remaining shard
/// goes to the host with the highest rendezvous weight among those below their share. Hosts with
/// the same table and the same list of live hosts compute the same plan.
pub(super) fn target_owners(table: &Table, hosts: &[Incarnation]) -> Vec<Incarnation> {
    let mut owned = vec![Vec::new(); hosts.len()];
    let mut unassigned = Vec::new();
    for shard in Shard::all() {
        let owner = table.holding(Subject::Shard(shard)).owner;
        match owner.and_then(|owner| hosts.binary_search(&owner).ok()) {
            Some(host) => owned[host].push(shard),
            None => unassigned.push(shard),
        }
    }
    let mut capacity = shares(&owned);
    let mut plan = vec![hosts[0]; Shard::COUNT];
    for (host, shards) in owned.iter_mut().enumerate() {
        if shards.len() > capacity[host] {
            shards.sort_by_key(|shard| std::cmp::Reverse(weight(*shard, hosts[host])));
            unassigned.extend(shards.drain(capacity[host]..));
        }
        capacity[host] -= shards.len();
        for shard in shards {
            plan[shard.index()] = hosts[host];
        }
    }
    for shard in unassigned {
        let candidates = (0..hosts.len()).filter(|host| capacity[*host] > 0);
        let Some(host) = candidates.max_by_key(|host| weight(shard, hosts[*host])) else {
            continue;
        };
        capacity[host] -= 1;
        plan[shard.index()] = hosts[host];
    }
    plan
}

/// Rank of `host` among `hosts` by descending rendezvous weight for a shard.
pub(super) fn rank(shard: Shard, host: Incarnation, hosts: &[Incarnation]) -> usize {
    let own = weight(shard, host);
    hosts
        .iter()
        .filter(|other| weight(shard, **other) > own)
        .count()
}

/// Number of shards for each host; the remainder goes to the hosts that own the most shards already.
fn shares(owned: &[Vec<Shard>]) -> Vec<usize> {
    let mut order: Vec<usize> = (0..owned.len()).collect();
    order.sort_by_key(|host| std::cmp::Reverse(owned[*host].len()));
    let mut shares = vec![Shard::COUNT / owned.len(); owned.len()];
    for host in order.into_iter().take(Shard::COUNT % owned.len()) {
        shares[host] += 1;
    }
    shares
}

/// Rendezvous weight: `SplitMix64` finaliser over shard and incarnation.
fn weight(shard: Shard, host: Incarnation) -> u64 {
    let shard = (shard.index() as u64).wrapping_mul(0x9E37_79B9_7F4A_7C15);
    let mut mixed = host.0.wrapping_mul(0xD134_2543_DE82_EF95) ^ shard;
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    mixed ^ (mixed >> 31)
}
