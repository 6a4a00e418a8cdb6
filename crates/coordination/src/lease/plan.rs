//! Even distribution of shards over live hosts.

use super::{Shard, Subject, Table};
use crate::record::Incarnation;

/// Wanted owner of each shard when `hosts` (sorted, not empty) are live.
///
/// Each host gets the same number of shards, or one more. Owners keep what fits their share; other
/// shards go to the host with spare room that has the highest rendezvous weight. Hosts that agree
/// on the live hosts and the table compute the same plan.
pub(super) fn wanted_owners(table: &Table, hosts: &[Incarnation]) -> Vec<Incarnation> {
    let mut owned = vec![Vec::new(); hosts.len()];
    let mut open = Vec::new();
    for shard in Shard::all() {
        let owner = table.holding(Subject::Shard(shard)).owner;
        match owner.and_then(|owner| hosts.binary_search(&owner).ok()) {
            Some(host) => owned[host].push(shard),
            None => open.push(shard),
        }
    }
    let mut room = shares(&owned);
    let mut plan = vec![hosts[0]; Shard::COUNT];
    for (host, shards) in owned.iter_mut().enumerate() {
        if shards.len() > room[host] {
            shards.sort_by_key(|shard| std::cmp::Reverse(weight(*shard, hosts[host])));
            open.extend(shards.drain(room[host]..));
        }
        room[host] -= shards.len();
        for shard in shards {
            plan[shard.index()] = hosts[host];
        }
    }
    for shard in open {
        let with_room = (0..hosts.len()).filter(|host| room[*host] > 0);
        let Some(host) = with_room.max_by_key(|host| weight(shard, hosts[*host])) else {
            continue;
        };
        room[host] -= 1;
        plan[shard.index()] = hosts[host];
    }
    plan
}

/// Position of `host` among `hosts` by rendezvous weight for a shard, the highest weight first.
pub(super) fn rank(shard: Shard, host: Incarnation, hosts: &[Incarnation]) -> usize {
    let own = weight(shard, host);
    hosts
        .iter()
        .filter(|other| weight(shard, **other) > own)
        .count()
}

/// Number of shards for each host; the remainder of the division goes to the hosts that own most.
fn shares(owned: &[Vec<Shard>]) -> Vec<usize> {
    let mut order: Vec<usize> = (0..owned.len()).collect();
    order.sort_by_key(|host| std::cmp::Reverse(owned[*host].len()));
    let mut shares = vec![Shard::COUNT / owned.len(); owned.len()];
    for host in order.into_iter().take(Shard::COUNT % owned.len()) {
        shares[host] += 1;
    }
    shares
}

/// Rendezvous weight: the finaliser of `SplitMix64` over shard and incarnation.
fn weight(shard: Shard, host: Incarnation) -> u64 {
    let shard = (shard.index() as u64).wrapping_mul(0x9E37_79B9_7F4A_7C15);
    let mut mixed = host.0.wrapping_mul(0xD134_2543_DE82_EF95) ^ shard;
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    mixed ^ (mixed >> 31)
}
