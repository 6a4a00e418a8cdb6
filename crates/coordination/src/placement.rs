//! Placement of a request on a prefill and a decode endpoint; each host has one chooser per model.
//!
//! The cost of an endpoint is its estimated contribution to the TTFT in milliseconds. Endpoints of
//! nearly the same cost are chosen at random, which prevents herding of hosts that have the same
//! load reports.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::clock::Instant;

/// Endpoints considered at random, in addition to the prefix holders.
const SAMPLE: usize = 12;
/// Endpoints with the longest cached prefix that are considered.
const PREFIX_HOLDERS: usize = 4;
/// Maximum number of decode endpoints in a [`Choice`].
pub const DECODE_CHOICES: usize = 3;
/// Cost difference at which an endpoint has half the random weight of the cheapest one.
const TEMPERATURE_MILLIS: f64 = 20.0;
/// Estimated queueing delay on a link above which endpoints behind other links are preferred.
const LINK_QUEUE_MAX: Duration = Duration::from_millis(150);
/// Cost of each running request of a decode endpoint: a larger batch lengthens every decode step.
const BATCH_REQUEST_MILLIS: f64 = 1.0;
/// Averaging window of the mean prefill time, in prefills.
const PREFILL_TIME_WINDOW: f64 = 32.0;
/// Maximum number of requests, and of request ends, remembered for an endpoint since its last
/// report.
const RECENT_MAX: usize = 256;
/// Maximum size of the prefix cache index over all endpoints. At about 80 bytes per piece the index
/// stays under 32 MB, half of a node's memory (design page, section 1.6).
const PIECES_MAX: usize = 400_000;
/// Bounds of the index size of one endpoint, in pieces.
const ENDPOINT_PIECES_MIN: usize = 64;
const ENDPOINT_PIECES_MAX: usize = 4_096;
/// Maximum age of a load report; older ones are ignored.
const REPORT_LIFETIME: Duration = Duration::from_secs(2);

/// Handle of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key(u32);

/// Role of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Computes the KV cache of prompts.
    Prefill,
    /// Generates tokens.
    Decode,
}

/// An endpoint to add to a chooser.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Work that the endpoint does.
    pub role: Role,
    /// Index of its data centre in [`Settings::delay_us`].
    pub data_centre: usize,
    /// Number of decode slots; unused for prefill endpoints.
    pub slots: u32,
}

/// Parameters of the fleet and the model.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Index of this host's data centre in `delay_us`.
    pub data_centre: usize,
    /// One-way network delay in microseconds, by source and target data centre.
    pub delay_us: Vec<Vec<u64>>,
    /// Number of hosts that place requests on the same endpoints.
    pub hosts: u32,
    /// Tokens per piece, the unit of the prefix cache.
    pub piece_tokens: u32,
    /// Prefill time per uncached token in nanoseconds; the mean prefill time starts at that of one
    /// piece.
    pub prefill_ns_per_token: u64,
    /// KV cache size per token in bytes.
    pub kv_bytes_per_token: u64,
    /// Bandwidth of a link between two data centres in bytes per millisecond.
    pub cross_link_bytes_per_ms: u64,
    /// Bandwidth of a link inside a data centre in bytes per millisecond.
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
    /// Prefix hashes, one for each complete piece.
    pub pieces: &'a [u64],
    /// Length in tokens.
    pub tokens: u32,
}

/// Endpoints chosen for a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Choice {
    /// Prefill endpoint.
    pub prefill: Key,
    /// Decode endpoints in the order in which to request a slot from their coordinating hosts.
    pub decode: [Option<Key>; DECODE_CHOICES],
    /// Leading pieces of the prompt expected in the prefill endpoint's prefix cache.
    pub cached: usize,
    /// Expected duration of the prefill without queueing.
    pub prefill_time: Duration,
    /// Expected time until the KV cache has reached the first decode endpoint.
    pub lead: Duration,
}

#[derive(Clone, Debug)]
struct Endpoint {
    candidate: Candidate,
    available: bool,
    /// Time of the last load report's measurement.
    measured: Instant,
    /// Running and waiting requests in the last load report.
    reported: u32,
    /// Requests that this host sent since `measured`: time and prefill work in milliseconds.
    sent: VecDeque<(Instant, f64)>,
    /// Times of request ends that this host observed since `measured`.
    ended: VecDeque<Instant>,
    /// Sequence number of the next cache event.
    next_event: u64,
    /// Lost cache events; halved whenever a prefill confirms the index.
    lost: u64,
    /// Pieces in the endpoint's prefix cache, in the order in which they were indexed.
    pieces: VecDeque<u64>,
}

/// Places the requests of one model, by load, prefix caches and links.
#[derive(Clone, Debug)]
pub struct Chooser {
    settings: Settings,
    endpoints: Vec<Endpoint>,
    prefill: Vec<Key>,
    decode: Vec<Key>,
    /// Prefix cache index: endpoints that hold a piece, in key order.
    holders: BTreeMap<u64, Vec<Key>>,
    /// Estimated queueing delay in milliseconds of each link, with the time of the estimate, by
    /// source and target data centre.
    links: Vec<Vec<(Instant, f64)>>,
    /// Moving average of the prefill time.
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
    /// Panics if the data centre is not in the settings or there are more than `u32::MAX`
    /// endpoints.
    pub fn add(&mut self, candidate: Candidate) -> Key {
        assert!(
            candidate.data_centre < self.settings.delay_us.len(),
            "the endpoint's data centre is not in the settings"
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

    /// Sets whether the endpoint may get requests; false for dead, leaving and ejected endpoints.
    pub fn set_available(&mut self, key: Key, available: bool) {
        self.endpoints[key.0 as usize].available = available;
    }

    /// Changes the role of an endpoint and clears its prefix cache index.
    pub fn set_role(&mut self, key: Key, role: Role) {
        let old = self.endpoints[key.0 as usize].candidate.role;
        self.list(old).retain(|listed| *listed != key);
        self.list(role).push(key);
        self.endpoints[key.0 as usize].candidate.role = role;
        self.forget_cache(key);
    }

    /// Takes a load report: the number of running and waiting requests, measured `age` ago.
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

    /// Takes a prefix cache event. Gaps in the sequence are counted as lost events; old events are
    /// ignored.
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

    /// Clears the prefix cache index of an endpoint that restarted or changed its role.
    pub fn forget_cache(&mut self, key: Key) {
        while let Some(piece) = self.endpoints[key.0 as usize].pieces.pop_front() {
            self.drop_piece(key, piece);
        }
        let endpoint = &mut self.endpoints[key.0 as usize];
        endpoint.next_event = 0;
        endpoint.lost = 0;
    }

    /// Records that this host sent a request to the chosen prefill endpoint and to `decode`.
    pub fn sent(&mut self, now: Instant, choice: &Choice, decode: Key, tokens: u32) {
        let millis = choice.prefill_time.as_secs_f64() * 1_000.0;
        self.prefill_millis += (millis - self.prefill_millis) / PREFILL_TIME_WINDOW;
        for (key, millis) in [(choice.prefill, millis), (decode, 0.0)] {
            let sent = &mut self.endpoints[key.0 as usize].sent;
            if sent.len() < RECENT_MAX {
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
        // The other hosts are assumed to send at the same rate over this link.
        let share = transfer * f64::from(self.settings.hosts);
        self.links[from][to] = (now, waits + share);
    }

    /// Records the end of a prefill or of a decode stream at an endpoint.
    pub fn ended(&mut self, now: Instant, key: Key) {
        let ended = &mut self.endpoints[key.0 as usize].ended;
        if ended.len() < RECENT_MAX {
            ended.push_back(now);
        }
    }

    /// Corrects the prefix cache index after a prefill: `cached` leading pieces were cached before
    /// it, and all are cached now.
    pub fn prefilled(&mut self, key: Key, pieces: &[u64], cached: usize) {
        let expected = self.cached_depth(key, pieces);
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

    /// Chooses endpoints, using the random number `draw`; `None` if no endpoint of a role is
    /// available.
    #[must_use]
    pub fn choose(&self, now: Instant, prompt: Prompt<'_>, draw: u64) -> Option<Choice> {
        let mut draw = draw;
        let candidates = self.prefill_candidates(prompt, &mut draw);
        let mut costs = Vec::with_capacity(candidates.len());
        for key in candidates {
            let cached = self.cached_depth(key, prompt.pieces);
            let time = self.prefill_time(key, prompt, cached);
            costs.push((key, cached, time, self.backlog(now, key) + time));
        }
        let index = pick(costs.iter().map(|entry| entry.3), next_draw(&mut draw))?;
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

    /// Number of leading pieces of a prompt that the index lists for the endpoint.
    fn cached_depth(&self, key: Key, pieces: &[u64]) -> usize {
        pieces
            .iter()
            .take_while(|piece| {
                self.holders
                    .get(piece)
                    .is_some_and(|holders| holders.binary_search(&key).is_ok())
            })
            .count()
    }

    /// All available endpoints of a small fleet; else a random sample and the endpoints with the
    /// longest cached prefix.
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
            // The random start spreads requests for a popular prefix over its holders.
            let start = (next_draw(draw) % holders.len() as u64) as usize;
            for key in holders[start..].iter().chain(&holders[..start]) {
                if held < PREFIX_HOLDERS && self.is_available(*key) && !keys.contains(key) {
                    keys.push(*key);
                    held += 1;
                }
            }
            if held >= PREFIX_HOLDERS {
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
        let mut chosen = Vec::with_capacity(SAMPLE + PREFIX_HOLDERS);
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
        // Lost events may have removed some of the indexed pieces.
        let known = endpoint.pieces.len().max(1) as f64;
        let trust = 1.0 - (endpoint.lost as f64 / known).min(0.5);
        let saved = cached as f64 * trust * f64::from(self.settings.piece_tokens);
        (f64::from(prompt.tokens) - saved).max(0.0) * self.token_millis
    }

    /// Expected delay in milliseconds before a prefill endpoint starts a new request.
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

    /// Estimated number of requests at a decode endpoint.
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
        let mut remaining: Vec<(Key, f64)> = self
            .sample(&self.decode, draw)
            .into_iter()
            .map(|key| (key, self.decode_cost(now, from, key, prompt.tokens)))
            .collect();
        let mut chosen = [None; DECODE_CHOICES];
        for position in &mut chosen {
            let Some(index) = pick(remaining.iter().map(|entry| entry.1), next_draw(draw)) else {
                break;
            };
            *position = Some(remaining.swap_remove(index).0);
        }
        chosen
    }

    fn decode_cost(&self, now: Instant, from: usize, key: Key, tokens: u32) -> f64 {
        let to = self.centre(key);
        let slots = f64::from(self.endpoints[key.0 as usize].candidate.slots);
        let used = self.used(now, key);
        let missing = (used + 1.0 - slots).max(0.0);
        let wait = self.link_wait(now, from, to);
        let is_congested = wait > LINK_QUEUE_MAX.as_secs_f64() * 1_000.0;
        let penalty = if is_congested { 1_000.0 } else { 0.0 };
        // A missing slot costs about the time until one becomes free.
        missing * 2_000.0 / slots.max(1.0)
            + used * BATCH_REQUEST_MILLIS
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

    /// Queueing delay of a link in milliseconds.
    fn link_wait(&self, now: Instant, from: usize, to: usize) -> f64 {
        let (at, wait) = self.links[from][to];
        (wait - now.since(at).as_secs_f64() * 1_000.0).max(0.0)
    }

    fn delay_millis(&self, from: usize, to: usize) -> f64 {
        self.settings.delay_us[from][to] as f64 / 1_000.0
    }

    fn store(&mut self, key: Key, piece: u64) {
        let holders = self.holders.entry(piece).or_default();
        let Err(position) = holders.binary_search(&key) else {
            return;
        };
        holders.insert(position, key);
        let bound = (PIECES_MAX / self.prefill.len().max(1))
            .clamp(ENDPOINT_PIECES_MIN, ENDPOINT_PIECES_MAX);
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
        holders.retain(|holder| *holder != key);
        if holders.is_empty() {
            self.holders.remove(&piece);
        }
        let pieces = &mut self.endpoints[key.0 as usize].pieces;
        if let Some(position) = pieces.iter().position(|indexed| *indexed == piece) {
            pieces.remove(position);
        }
    }
}

/// Draws the index of one of the costs, with a weight that falls with the distance from the lowest.
fn pick(costs: impl Iterator<Item = f64> + Clone, draw: u64) -> Option<usize> {
    let lowest = costs.clone().fold(f64::INFINITY, f64::min);
    let weight = |cost: f64| {
        let distance = (cost - lowest) / TEMPERATURE_MILLIS;
        1.0 / (1.0 + distance.powi(4))
    };
    let total: f64 = costs.clone().map(weight).sum();
    // A float represents the upper 53 bits exactly.
    let mut remaining = (draw >> 11) as f64 / (1_u64 << 53) as f64 * total;
    let mut last = None;
    for (index, cost) in costs.enumerate() {
        last = Some(index);
        remaining -= weight(cost);
        if remaining < 0.0 {
            return last;
        }
    }
    last
}

/// Next number of the SplitMix64 generator, seeded with the caller's random number.
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
