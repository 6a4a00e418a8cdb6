//! Choice of the prefill and the decode endpoint of a request; one chooser per model and host.
//!
//! Costs are estimated in milliseconds until the first token. Among endpoints of nearly the same
//! cost the caller's random number decides, so that hosts with the same load reports spread.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::clock::Instant;

/// Endpoints that are looked at beside those that hold the prompt's prefix.
const SAMPLE: usize = 12;
/// Holders of a prefix that are looked at.
const HOLDERS: usize = 4;
/// Decode endpoints that a choice names, best first.
pub const DECODE_CHOICES: usize = 3;
/// Cost difference at which an endpoint gets half the weight of the best one.
const TEMPERATURE_MILLIS: f64 = 20.0;
/// Longest queue on a link, as this host estimates it, before other links are preferred.
const LINK_BUDGET: Duration = Duration::from_millis(150);
/// Cost of each request in a decode batch, which lengthens every step.
const BATCH_MILLIS: f64 = 1.0;
/// Outcomes over which the mean prefill time is averaged.
const MEMORY: f64 = 32.0;
/// Requests sent since the last report that are remembered for each endpoint.
const MOST_SENT: usize = 256;
/// Pieces remembered for all endpoints together. At some 80 bytes each the index stays under 32 MB,
/// half of the memory of a node (design page, section 1.6).
const MOST_PIECES: usize = 400_000;
/// Bounds of the pieces remembered for one endpoint.
const FEWEST_PER_ENDPOINT: usize = 64;
const MOST_PER_ENDPOINT: usize = 4_096;
/// Time after which a report says nothing any more.
const REPORT_LIFETIME: Duration = Duration::from_secs(2);

/// Handle of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key(u32);

/// Role of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Reads prompts.
    Prefill,
    /// Generates tokens.
    Decode,
}

/// An endpoint that may be chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Role.
    pub role: Role,
    /// Number of its data centre.
    pub data_centre: usize,
    /// Slots of a decode endpoint.
    pub slots: u32,
}

/// What the chooser knows of the fleet.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Data centre of this host.
    pub data_centre: usize,
    /// One-way delay in microseconds between data centres.
    pub delay_us: Vec<Vec<u64>>,
    /// Hosts that place requests on the same endpoints.
    pub hosts: u32,
    /// Tokens in a prefix-cache piece.
    pub piece_tokens: u32,
    /// Prefill time of a token in nanoseconds, until prefills have been observed.
    pub prefill_ns_per_token: u64,
    /// KV cache bytes of a token.
    pub kv_bytes_per_token: u64,
    /// Rate of the link between two data centres in bytes per millisecond.
    pub cross_link_bytes_per_ms: u64,
    /// Rate of a link inside a data centre in bytes per millisecond.
    pub local_link_bytes_per_ms: u64,
}

/// Change of an endpoint's prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheChange {
    /// A piece was stored.
    Stored,
    /// A piece was removed.
    Removed,
}

/// A prompt to place.
#[derive(Clone, Copy, Debug)]
pub struct Prompt<'a> {
    /// Hashes of its prefixes, one for each complete piece.
    pub pieces: &'a [u64],
    /// Length in tokens.
    pub tokens: u32,
}

/// Endpoints for a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Choice {
    /// Prefill endpoint.
    pub prefill: Key,
    /// Decode endpoints, best first; ask their coordinating hosts in this order.
    pub decode: [Option<Key>; DECODE_CHOICES],
    /// Pieces that are expected to be cached.
    pub cached: usize,
    /// Expected time of the prefill itself.
    pub prefill_time: Duration,
    /// Expected time until the KV cache is at the first decode endpoint.
    pub lead: Duration,
}

#[derive(Clone, Debug)]
struct Endpoint {
    candidate: Candidate,
    available: bool,
    measured: Instant,
    reported: u32,
    /// Times and milliseconds of work that this host sent since the last report's measurement.
    sent: VecDeque<(Instant, f64)>,
    /// Times of ends, seen by this host, since the last report's measurement.
    ended: VecDeque<Instant>,
    next_event: u64,
    /// Events that were lost since the cache was last known to be right.
    lost: u64,
    pieces: VecDeque<u64>,
}

/// Chooses endpoints.
#[derive(Clone, Debug)]
pub struct Chooser {
    settings: Settings,
    endpoints: Vec<Endpoint>,
    prefill: Vec<Key>,
    decode: Vec<Key>,
    /// Endpoints that hold a piece, in the order of their keys.
    holders: BTreeMap<u64, Vec<Key>>,
    /// Estimated end of the queue of each link, by source and target data centre.
    links: Vec<Vec<(Instant, f64)>>,
    prefill_millis: f64,
    token_millis: f64,
}

impl Chooser {
    /// Makes a chooser without endpoints.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        let centres = settings.delay_us.len();
        let token_millis = settings.prefill_ns_per_token as f64 / 1_000_000.0;
        Self {
            links: vec![vec![(Instant::default(), 0.0); centres]; centres],
            prefill_millis: token_millis * f64::from(settings.piece_tokens),
            token_millis,
            settings,
            endpoints: Vec::new(),
            prefill: Vec::new(),
            decode: Vec::new(),
            holders: BTreeMap::new(),
        }
    }

    /// Adds an endpoint.
    ///
    /// # Panics
    ///
    /// Panics when the data centre is unknown or there are more than `u32::MAX` endpoints.
    pub fn add(&mut self, candidate: Candidate) -> Key {
        assert!(
            candidate.data_centre < self.settings.delay_us.len(),
            "data centre of the endpoint is not in the settings"
        );
        let key = Key(u32::try_from(self.endpoints.len()).expect("fewer than u32::MAX endpoints"));
        self.endpoints.push(Endpoint {
            candidate,
            available: true,
            measured: Instant::default(),
            reported: 0,
            sent: VecDeque::new(),
            ended: VecDeque::new(),
            next_event: 0,
            lost: 0,
            pieces: VecDeque::new(),
        });
        self.list(candidate.role).push(key);
        key
    }

    /// Says whether the endpoint may get requests. Dead, leaving and ejected ones may not.
    pub fn set_available(&mut self, key: Key, available: bool) {
        self.endpoints[key.0 as usize].available = available;
    }

    /// Changes the role of an endpoint, which empties its cache.
    pub fn set_role(&mut self, key: Key, role: Role) {
        let old = self.endpoints[key.0 as usize].candidate.role;
        self.list(old).retain(|one| *one != key);
        self.list(role).push(key);
        self.endpoints[key.0 as usize].candidate.role = role;
        self.forget_cache(key);
    }

    /// Takes a load report: requests running and waiting, measured some time ago.
    pub fn report(&mut self, now: Instant, key: Key, requests: u32, age: Duration) {
        let endpoint = &mut self.endpoints[key.0 as usize];
        let measured = now - age;
        if measured < endpoint.measured {
            return;
        }
        endpoint.measured = measured;
        endpoint.reported = requests;
        while endpoint.sent.front().is_some_and(|(at, _)| *at < measured) {
            endpoint.sent.pop_front();
        }
        while endpoint.ended.front().is_some_and(|at| *at < measured) {
            endpoint.ended.pop_front();
        }
    }

    /// Takes a cache event; a jump in the sequence means that events were lost.
    pub fn cache_event(&mut self, key: Key, sequence: u64, change: CacheChange, piece: u64) {
        let endpoint = &mut self.endpoints[key.0 as usize];
        if sequence < endpoint.next_event {
            return;
        }
        endpoint.lost += sequence - endpoint.next_event;
        endpoint.next_event = sequence + 1;
        match change {
            CacheChange::Stored => self.store(key, piece),
            CacheChange::Removed => self.drop_piece(key, piece),
        }
    }

    /// Forgets the cache of an endpoint that restarted or changed its role.
    pub fn forget_cache(&mut self, key: Key) {
        while let Some(piece) = self.endpoints[key.0 as usize].pieces.pop_front() {
            self.drop_piece(key, piece);
        }
        let endpoint = &mut self.endpoints[key.0 as usize];
        endpoint.next_event = 0;
        endpoint.lost = 0;
    }

    /// Notes that this host sent a request to the endpoints of a choice.
    pub fn sent(&mut self, now: Instant, choice: &Choice, decode: Key, tokens: u32) {
        let millis = choice.prefill_time.as_secs_f64() * 1_000.0;
        self.prefill_millis += (millis - self.prefill_millis) / MEMORY;
        for (key, millis) in [(choice.prefill, millis), (decode, 0.0)] {
            let sent = &mut self.endpoints[key.0 as usize].sent;
            if sent.len() < MOST_SENT {
                sent.push_back((now, millis));
            }
        }
        let from = self.centre(choice.prefill);
        let to = self.centre(decode);
        if from == to {
            return;
        }
        let transfer = self.transfer_millis(from, to, tokens);
        let waits = self.link_wait(now, from, to);
        // All hosts send at about the same rate, so the link fills this many times as fast.
        let share = transfer * f64::from(self.settings.hosts);
        self.links[from][to] = (now, waits + share);
    }

    /// Notes the end of a request at an endpoint: of its prefill, or of its stream.
    pub fn ended(&mut self, now: Instant, key: Key) {
        let ended = &mut self.endpoints[key.0 as usize].ended;
        if ended.len() < MOST_SENT {
            ended.push_back(now);
        }
    }

    /// Learns from a prefill: the pieces that were cached before, and that all are cached now.
    pub fn prefilled(&mut self, key: Key, pieces: &[u64], cached: usize) {
        let expected = self.depth(key, pieces);
        if expected > cached {
            for piece in &pieces[cached..expected] {
                self.drop_piece(key, *piece);
            }
        } else {
            let endpoint = &mut self.endpoints[key.0 as usize];
            endpoint.lost /= 2;
        }
        for piece in pieces {
            self.store(key, *piece);
        }
    }

    /// Chooses endpoints; `draw` is a random number. `None` when a role has no endpoint.
    #[must_use]
    pub fn choose(&self, now: Instant, prompt: Prompt<'_>, draw: u64) -> Option<Choice> {
        let mut draw = draw;
        let looked_at = self.prefill_candidates(prompt, &mut draw);
        let mut costs = Vec::with_capacity(looked_at.len());
        for key in looked_at {
            let cached = self.depth(key, prompt.pieces);
            let time = self.prefill_time(key, prompt, cached);
            costs.push((key, cached, time, self.backlog(now, key) + time));
        }
        let index = pick(costs.iter().map(|one| one.3), next_draw(&mut draw))?;
        let (prefill, cached, time, cost) = costs[index];
        let decode = self.decode_choices(now, prefill, prompt, &mut draw);
        let first = decode[0]?;
        let (from, to) = (self.centre(prefill), self.centre(first));
        let transfer = self.transfer_millis(from, to, prompt.tokens);
        let lead = cost + transfer + self.link_wait(now, from, to);
        Some(Choice {
            prefill,
            decode,
            cached,
            prefill_time: duration(time),
            lead: duration(lead),
        })
    }

    fn list(&mut self, role: Role) -> &mut Vec<Key> {
        match role {
            Role::Prefill => &mut self.prefill,
            Role::Decode => &mut self.decode,
        }
    }

    fn centre(&self, key: Key) -> usize {
        self.endpoints[key.0 as usize].candidate.data_centre
    }

    fn is_available(&self, key: Key) -> bool {
        self.endpoints[key.0 as usize].available
    }

    /// Leading pieces of a prompt that the endpoint is believed to hold.
    fn depth(&self, key: Key, pieces: &[u64]) -> usize {
        pieces
            .iter()
            .take_while(|piece| {
                self.holders
                    .get(piece)
                    .is_some_and(|holders| holders.binary_search(&key).is_ok())
            })
            .count()
    }

    /// All endpoints of a small fleet; else the deepest holders and a random sample.
    fn prefill_candidates(&self, prompt: Prompt<'_>, draw: &mut u64) -> Vec<Key> {
        let mut keys = self.sample(&self.prefill, draw);
        if keys.len() == self.prefill.len() {
            return keys;
        }
        let mut held = 0;
        for piece in prompt.pieces.iter().rev() {
            let Some(holders) = self.holders.get(piece) else {
                continue;
            };
            // A random start spreads requests for a popular prefix over its holders.
            let start = (next_draw(draw) % holders.len() as u64) as usize;
            for key in holders[start..].iter().chain(&holders[..start]) {
                if held < HOLDERS && self.is_available(*key) && !keys.contains(key) {
                    keys.push(*key);
                    held += 1;
                }
            }
            if held >= HOLDERS {
                break;
            }
        }
        keys
    }

    fn sample(&self, keys: &[Key], draw: &mut u64) -> Vec<Key> {
        if keys.len() <= SAMPLE {
            return keys
                .iter()
                .copied()
                .filter(|key| self.is_available(*key))
                .collect();
        }
        let mut chosen = Vec::with_capacity(SAMPLE + HOLDERS);
        for _ in 0..SAMPLE * 2 {
            let index = (next_draw(draw) % keys.len() as u64) as usize;
            let key = keys[index];
            if chosen.len() < SAMPLE && self.is_available(key) && !chosen.contains(&key) {
                chosen.push(key);
            }
        }
        chosen
    }

    fn prefill_time(&self, key: Key, prompt: Prompt<'_>, cached: usize) -> f64 {
        let endpoint = &self.endpoints[key.0 as usize];
        // Lost events may have removed some of the pieces.
        let known = endpoint.pieces.len().max(1) as f64;
        let trust = 1.0 - (endpoint.lost as f64 / known).min(0.5);
        let saved = cached as f64 * trust * f64::from(self.settings.piece_tokens);
        (f64::from(prompt.tokens) - saved).max(0.0) * self.token_millis
    }

    /// Milliseconds of work that wait at a prefill endpoint.
    fn backlog(&self, now: Instant, key: Key) -> f64 {
        let endpoint = &self.endpoints[key.0 as usize];
        let distance = self.delay_millis(self.settings.data_centre, endpoint.candidate.data_centre);
        let old = now.since(endpoint.measured) > REPORT_LIFETIME;
        let ended = if old { 0 } else { endpoint.ended.len() };
        let reported = if old { 0 } else { endpoint.reported };
        let reported = f64::from(reported).max(ended as f64) - ended as f64;
        let own: f64 = endpoint.sent.iter().map(|(_, millis)| millis).sum();
        reported * self.prefill_millis + own + distance
    }

    /// Requests at a decode endpoint.
    fn used(&self, now: Instant, key: Key) -> f64 {
        let endpoint = &self.endpoints[key.0 as usize];
        let old = now.since(endpoint.measured) > REPORT_LIFETIME;
        let reported = if old { 0 } else { endpoint.reported };
        let used = f64::from(reported) + endpoint.sent.len() as f64 - endpoint.ended.len() as f64;
        used.max(0.0)
    }

    fn decode_choices(
        &self,
        now: Instant,
        prefill: Key,
        prompt: Prompt<'_>,
        draw: &mut u64,
    ) -> [Option<Key>; DECODE_CHOICES] {
        let from = self.centre(prefill);
        let mut left: Vec<(Key, f64)> = self
            .sample(&self.decode, draw)
            .into_iter()
            .map(|key| (key, self.decode_cost(now, from, key, prompt.tokens)))
            .collect();
        let mut chosen = [None; DECODE_CHOICES];
        for place in &mut chosen {
            let Some(index) = pick(left.iter().map(|one| one.1), next_draw(draw)) else {
                break;
            };
            *place = Some(left.swap_remove(index).0);
        }
        chosen
    }

    fn decode_cost(&self, now: Instant, from: usize, key: Key, tokens: u32) -> f64 {
        let to = self.centre(key);
        let slots = f64::from(self.endpoints[key.0 as usize].candidate.slots);
        let used = self.used(now, key);
        let missing = (used + 1.0 - slots).max(0.0);
        let wait = self.link_wait(now, from, to);
        let over_budget = wait > LINK_BUDGET.as_secs_f64() * 1_000.0;
        let penalty = if over_budget { 1_000.0 } else { 0.0 };
        // A missing slot costs about the time in which one of them becomes free.
        missing * 2_000.0 / slots.max(1.0)
            + used * BATCH_MILLIS
            + wait
            + penalty
            + self.transfer_millis(from, to, tokens)
            + self.delay_millis(from, to)
    }

    fn transfer_millis(&self, from: usize, to: usize, tokens: u32) -> f64 {
        let rate = if from == to {
            self.settings.local_link_bytes_per_ms
        } else {
            self.settings.cross_link_bytes_per_ms
        };
        u64::from(tokens) as f64 * self.settings.kv_bytes_per_token as f64 / rate.max(1) as f64
    }

    /// Milliseconds that a transfer waits for its link.
    fn link_wait(&self, now: Instant, from: usize, to: usize) -> f64 {
        let (at, wait) = self.links[from][to];
        (wait - now.since(at).as_secs_f64() * 1_000.0).max(0.0)
    }

    fn delay_millis(&self, from: usize, to: usize) -> f64 {
        self.settings.delay_us[from][to] as f64 / 1_000.0
    }

    fn store(&mut self, key: Key, piece: u64) {
        let holders = self.holders.entry(piece).or_default();
        let Err(place) = holders.binary_search(&key) else {
            return;
        };
        holders.insert(place, key);
        let bound =
            (MOST_PIECES / self.prefill.len().max(1)).clamp(FEWEST_PER_ENDPOINT, MOST_PER_ENDPOINT);
        let endpoint = &mut self.endpoints[key.0 as usize];
        endpoint.pieces.push_back(piece);
        if endpoint.pieces.len() > bound
            && let Some(oldest) = endpoint.pieces.pop_front()
        {
            self.drop_piece(key, oldest);
        }
    }

    fn drop_piece(&mut self, key: Key, piece: u64) {
        let Some(holders) = self.holders.get_mut(&piece) else {
            return;
        };
        holders.retain(|one| *one != key);
        if holders.is_empty() {
            self.holders.remove(&piece);
        }
        let pieces = &mut self.endpoints[key.0 as usize].pieces;
        if let Some(place) = pieces.iter().position(|one| *one == piece) {
            pieces.remove(place);
        }
    }
}

/// Index of one of the costs, drawn with a weight that falls with the distance from the least.
fn pick(costs: impl Iterator<Item = f64> + Clone, draw: u64) -> Option<usize> {
    let least = costs.clone().fold(f64::INFINITY, f64::min);
    let weight = |cost: f64| {
        let distance = (cost - least) / TEMPERATURE_MILLIS;
        1.0 / (1.0 + distance.powi(4))
    };
    let total: f64 = costs.clone().map(weight).sum();
    // The upper 53 bits are exact in a float.
    let mut left = (draw >> 11) as f64 / (1_u64 << 53) as f64 * total;
    let mut last = None;
    for (index, cost) in costs.enumerate() {
        last = Some(index);
        left -= weight(cost);
        if left < 0.0 {
            return last;
        }
    }
    last
}

/// Next number of a sequence that starts from the caller's random number (SplitMix64).
fn next_draw(state: &mut u64) -> u64 {
    *state = state.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let mut mixed = *state;
    mixed = (mixed ^ mixed >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ mixed >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ mixed >> 31
}

fn duration(millis: f64) -> Duration {
    Duration::from_micros((millis.max(0.0) * 1_000.0) as u64)
}
