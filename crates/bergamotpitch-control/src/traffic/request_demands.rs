//! Needs: what one request needs of an engine, and which engines likely keep the start of its
//! prompt. Both are found once for all upstreams that a decision looks at.

use bergamotpitch_core::ids::{DomainId, UpstreamId};
use bergamotpitch_core::units::Timestamp;

use crate::traffic::catalogs::CacheLink;
use crate::traffic::engine_loads::Work;
use crate::traffic::engine_speeds::EngineSpeed;
use crate::traffic::facts::PartId;
use crate::traffic::placement_requests::PlacementRequest;
use crate::traffic::policies::Policy;
use crate::traffic::registries::{Registry, Upstream, UpstreamKey};
use crate::traffic::starts::Starts;
use crate::traffic::upstream_candidates::millis;

/// `CACHED_FRACTION_BY_RANK` are the parts of a prompt's shared start that the first engines by rendezvous are
/// expected to keep while nobody told where the start was read: peers agree on the order without any
/// talk, and use the next when those before it are full.
const CACHED_FRACTION_BY_RANK: [f64; 2] = [0.9, 0.7];

/// `HOLDER_CACHED_FRACTION` is the part of a start that an engine is expected to keep at which it was read
/// lately.
const HOLDER_CACHED_FRACTION: f64 = 0.97;

/// `HOLDERS_MAX` is how many engines that keep a start are looked at.
const HOLDERS_MAX: usize = 3;

/// `FETCH_SETUP_MS` is the time until the first part of a start arrives from another engine, as
/// operators state it for the engines that they run.
const FETCH_SETUP_MS: f64 = 3.0;

/// `FETCH_MIN_TOKENS` is the least that is worth fetching: less is read sooner than a fetch is set
/// up.
const FETCH_MIN_TOKENS: f64 = 128.0;

/// `FETCH_COST_FACTOR` is what a fetch weighs against its time over an idle link. Engines send and receive
/// one start after another, so that each fetch delays all others of two engines, and the request had
/// better wait for a place where its start is.
const FETCH_COST_FACTOR: f64 = 8.0;

/// `REMOTE_FETCH_COST_FACTOR` is by how much a fetch from another failure domain takes longer still.
const REMOTE_FETCH_COST_FACTOR: f64 = 2.0;

/// `RequestDemand` are the sizes of a request, and the engines that likely keep its start.
#[derive(Debug, Clone, Copy)]
pub struct RequestDemand {
    /// Whether an engine reads a prompt for it.
    pub is_generation: bool,
    /// Length of the part of the prompt that no other request shares.
    pub unshared_tokens: f64,
    /// How fast the engines of its service read.
    pub speed: EngineSpeed,
    prompt_tokens: f64,
    shared_tokens: f64,
    memory_tokens: u64,
    cache_link: Option<CacheLink>,
    ranked: [Option<UpstreamKey>; CACHED_FRACTION_BY_RANK.len()],
    holders: [Option<Holder>; HOLDERS_MAX],
}

#[derive(Debug, Clone, Copy)]
struct Holder {
    key: UpstreamKey,
    domain_number: DomainId,
}

/// `PrefillPlan` is how one engine would come by the prompt.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PrefillPlan {
    /// What the request means for the engine.
    pub work: Work,
    /// Engine from which it fetches what it does not keep of the shared start.
    pub fetch_from: Option<UpstreamKey>,
}

impl RequestDemand {
    /// `of_request` returns the sizes of a request.
    pub fn of_request(request: &PlacementRequest<'_>, speed: EngineSpeed, policy: &Policy) -> Self {
        let facts = request.facts;
        Self {
            is_generation: facts.is_generation(),
            unshared_tokens: facts.unshared_tokens() as f64,
            speed,
            prompt_tokens: facts.prompt_tokens as f64,
            shared_tokens: facts.shared_tokens() as f64,
            memory_tokens: facts.prompt_tokens + facts.output_tokens(),
            cache_link: request.cache_link.filter(|_| policy.start_fetches),
            ranked: Default::default(),
            holders: Default::default(),
        }
    }

    /// `rank_engines` finds the first engines of the own domain by rendezvous for the shared start of
    /// the prompt. Callers of one subject mostly reach one domain, and each prompt that leaves its
    /// region to save a reading is paid for by its bytes, there and back.
    pub fn rank_engines(&mut self, prefix: PartId, candidates: &[&Upstream], own_domain: DomainId) {
        let mut weights = [0; CACHED_FRACTION_BY_RANK.len()];
        let own = candidates.iter().filter(|engine| engine.domain_number == own_domain);
        for engine in own {
            let weight = rendezvous_weight(prefix, engine.id_number);
            let Some(place) = weights.iter().position(|other| *other < weight) else { continue };
            weights[place..].rotate_right(1);
            self.ranked[place..].rotate_right(1);
            weights[place] = weight;
            self.ranked[place] = Some(engine.key);
        }
    }

    /// `find_holders` finds the engines at which the shared start was read lately. They need not be
    /// among those that may get the request.
    pub fn find_holders(
        &mut self,
        prefix: PartId,
        registry: &Registry,
        starts: &Starts,
        may_hold: impl Fn(&Upstream) -> bool,
        now: Timestamp,
    ) {
        let found = starts
            .holders(prefix, now)
            .filter_map(|life| registry.get(registry.key_of_life(life)?))
            .filter(|upstream| may_hold(upstream));
        for (holder, found) in self.holders.iter_mut().zip(found) {
            *holder = Some(Holder { key: found.key, domain_number: found.domain_number });
        }
    }

    /// `rank` returns the place of an engine in the rendezvous order for the shared start.
    pub fn rank(&self, key: UpstreamKey) -> Option<usize> {
        self.ranked.iter().position(|ranked| *ranked == Some(key))
    }

    /// `prefill_plan` tells how an upstream would come by the prompt, of which it keeps `cached_tokens`
    /// by this instance's own books.
    ///
    /// A start that another engine holds is always fetched: an engine that keeps it after all fetches
    /// nothing, and one that dropped it unseen need not read it again.
    pub fn prefill_plan(&self, upstream: &Upstream, cached_tokens: u64) -> PrefillPlan {
        if !self.is_generation {
            return PrefillPlan { work: Work::default(), fetch_from: None };
        }
        let expected_tokens = self.cached_fraction(upstream.key) * self.shared_tokens;
        let unread_tokens =
            (self.prompt_tokens - expected_tokens.max(cached_tokens as f64)).max(1.0);
        let work = Work { unread_tokens, memory_tokens: self.memory_tokens, delay_ms: 0.0 };
        let (Some(link), Some(holder)) = (self.cache_link, self.fetch_source(upstream)) else {
            return PrefillPlan { work, fetch_from: None };
        };
        let fetch_from = Some(holder.key);
        let missing_tokens = unread_tokens - self.unshared_tokens;
        if missing_tokens < FETCH_MIN_TOKENS {
            return PrefillPlan { work, fetch_from };
        }
        let fetched_tokens = HOLDER_CACHED_FRACTION * missing_tokens;
        let is_near = holder.domain_number == upstream.domain_number;
        let factor = FETCH_COST_FACTOR * if is_near { 1.0 } else { REMOTE_FETCH_COST_FACTOR };
        let delay_ms = FETCH_SETUP_MS + factor * millis(link.transfer_time(fetched_tokens));
        let unread_tokens = unread_tokens - fetched_tokens;
        PrefillPlan { work: Work { unread_tokens, delay_ms, ..work }, fetch_from }
    }

    /// The holder of the start from which an engine has it soonest: one of its own domain, else the
    /// one that used it last.
    fn fetch_source(&self, upstream: &Upstream) -> Option<Holder> {
        let others = || self.holders.iter().flatten().filter(|holder| holder.key != upstream.key);
        let near = others().find(|holder| holder.domain_number == upstream.domain_number);
        near.or_else(|| others().next()).copied()
    }

    fn cached_fraction(&self, key: UpstreamKey) -> f64 {
        if self.holders.iter().flatten().any(|holder| holder.key == key) {
            return HOLDER_CACHED_FRACTION;
        }
        // Once it is known where a start was read, the order tells no more.
        let is_unknown = self.holders.iter().all(Option::is_none);
        self.rank(key).filter(|_| is_unknown).map_or(0.0, |rank| CACHED_FRACTION_BY_RANK[rank])
    }
}

/// `rendezvous_weight` orders upstreams for a part of prompts, in the same way at all instances.
pub fn rendezvous_weight(part: PartId, upstream: UpstreamId) -> u64 {
    let mut hash = part ^ (u64::from(upstream) << 32) ^ u64::from(upstream);
    // Two rounds of a multiplicative mix; with one, neighbouring parts go to the same engine.
    for _ in 0..2 {
        hash ^= hash >> 33;
        hash = hash.wrapping_mul(0xff51_afd7_ed55_8ccd);
    }
    hash ^ (hash >> 33)
}
