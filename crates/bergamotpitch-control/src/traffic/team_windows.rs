//! Team windows: what each team asked for and began lately over the whole fleet, and the level up
//! to which all teams are served alike.
//!
//! Load pattern: teams ask for about twice what the engines give, and one of them floods. A team
//! that asks for less than the level is served in full; all others are served up to the level
//! (max-min fairness), and beyond it only with capacity that would stand idle. Each instance
//! counts what it saw itself and adds the peers' sums, a fraction of a second old. A peer that
//! falls silent is left out after [`Options::peer_timeout`], so that what is left of the fleet
//! divides the whole pool.
//!
//! A team that begins to flood has had nothing in the window before. Given all at once, what it may have
//! fills the engines for a second, and those that have flooded for some time get nothing meanwhile. Within a
//! short window nobody goes before others beyond an even part.
//!
//! Operators state the rate of the pool. Engines that were lost, are slow or read long prompts give less,
//! and all that is asked may then lie within the shares. While a team has much less than others, the
//! shares divide what is begun.
//!
//! After an outage of all instances nobody has any sums, and whatever waited comes back at once.
//! Measured by a whole window all of it would be within the shares, and the engines would be sent
//! several times what they read in time. The shares therefore grow with the time for which at least
//! one instance has counted.

use std::time::Duration;

use bergamotpitch_core::HashMap;
use bergamotpitch_core::ids::{InstanceId, TeamId};
use bergamotpitch_core::units::Timestamp;
use serde::{Deserialize, Serialize};

use crate::traffic::policies::Policy;

/// `Options` of the windows.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Options {
    /// Length of the window over which shares are even.
    pub window: Duration,
    /// Age at which a peer's sums no longer count.
    pub peer_timeout: Duration,
    /// Which mechanisms are in force.
    pub policy: Policy,
}

impl Default for Options {
    fn default() -> Self {
        // Four seconds are short for a person who waits and long against a request of the largest
        // kind. In a fleet of a hundred instances a peer's turn comes every 3 s, and what it told
        // leaves the window after four.
        Self {
            window: Duration::from_secs(4),
            peer_timeout: Duration::from_millis(4_000),
            policy: Policy::default(),
        }
    }
}

/// `BUCKETS` is the number of parts into which a window is cut: what leaves the window leaves it
/// in steps of an eighth.
const BUCKETS: usize = 8;

/// `LEVEL_INTERVAL` is the least time between two computations of the level, as it takes some
/// microseconds for each team and peers' sums are older than this anyway.
const LEVEL_INTERVAL: Duration = Duration::from_millis(50);

/// `RECENT_WINDOW` is the short window over which what the engines give beyond the shares is divided. Over the
/// whole window a team that had much in a second would get next to nothing in the three after it.
const RECENT_WINDOW: Duration = Duration::from_secs(1);

/// `TeamCounts` are sums for a team over both windows.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamCounts {
    /// Over the window of the shares.
    pub window: TeamSums,
    /// Over the short one.
    pub recent: TeamSums,
}

impl TeamCounts {
    /// `add` adds other sums for the same team.
    pub fn add(&mut self, other: &Self) {
        self.window.add(&other.window);
        self.recent.add(&other.recent);
    }
}

/// `TeamSums` are one instance's sums for a team over the window, in tokens of the pool.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamSums {
    /// What its callers asked for.
    pub requested_tokens: u64,
    /// What was sent to engines.
    pub dispatched_tokens: u64,
}

impl TeamSums {
    fn add(&mut self, other: &Self) {
        self.requested_tokens += other.requested_tokens;
        self.dispatched_tokens += other.dispatched_tokens;
    }

    fn unserved_tokens(&self) -> f64 {
        self.requested_tokens.saturating_sub(self.dispatched_tokens) as f64
    }

    fn dispatched_fraction(&self) -> f64 {
        self.dispatched_tokens as f64 / self.requested_tokens.max(1) as f64
    }

    fn scaled(&self, factor: f64) -> Self {
        Self {
            requested_tokens: (self.requested_tokens as f64 * factor) as u64,
            dispatched_tokens: (self.dispatched_tokens as f64 * factor) as u64,
        }
    }
}

/// `TeamWindows` is the table of all teams.
#[derive(Debug)]
pub struct TeamWindows {
    options: Options,
    own: HashMap<TeamId, Rings>,
    peers: HashMap<InstanceId, PeerSums>,
    /// What the dispatcher of the own domain told of all other domains together.
    remote_domains: Option<PeerSums>,
    levels: Option<Levels>,
    /// Teams that wait and had much less than others, as of the latest levels.
    underserved_teams: Vec<TeamId>,
}

#[derive(Debug, Default)]
struct Rings {
    window: Ring,
    recent: Ring,
}

#[derive(Debug, Default)]
struct Ring {
    buckets: [TeamSums; BUCKETS],
    newest: u64,
}

#[derive(Debug)]
struct PeerSums {
    received: Timestamp,
    /// For how long it had counted when it was heard.
    counted: Duration,
    teams: HashMap<TeamId, TeamCounts>,
}

impl PeerSums {
    fn add_to(&self, total: &mut HashMap<TeamId, TeamCounts>) {
        for (team, counts) in &self.teams {
            total.entry(*team).or_default().add(counts);
        }
    }
}

#[derive(Debug, Clone, Copy)]
struct Levels {
    computed: Timestamp,
    pool_tokens_per_s: Option<u64>,
    /// Level at which the stated rate of the pool is spent, or what the engines give of it.
    share_tokens: f64,
    /// Level, over the short window, at which what the engines gave lately is spent.
    surplus_tokens: f64,
    /// What a team must have asked in vain to count as one that waits.
    min_backlog_tokens: f64,
}

/// `ShareClass` tells how a request stands against its team's even share.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display, Serialize, Deserialize)]
#[strum(serialize_all = "snake_case")]
pub enum ShareClass {
    /// It is within the share that the stated rate of the pool gives the team, and within an even part of what the
    /// engines gave lately.
    WithinShare,
    /// It is beyond the share, of a team that waits and had much less than others, and within that even part.
    #[strum(serialize = "needy")]
    Underserved,
    /// It is beyond the share, and within that even part.
    EvenSurplus,
    /// Other teams that wait had less lately.
    BeyondEven,
}

/// `SharesView` is what this instance believes of the shares, and from whom.
#[derive(Debug, Clone, PartialEq)]
pub struct SharesView {
    /// Tokens of the window up to which each team is served.
    pub share_tokens: f64,
    /// The same of the short window, with what the engines give besides.
    pub surplus_tokens: f64,
    /// Other instances whose sums count.
    pub sources: usize,
    /// Age of the oldest sums that count.
    pub oldest: Duration,
    /// Teams that wait, those that had least of what they asked first.
    pub waiting: Vec<WaitingTeam>,
}

/// `WaitingTeam` is a team that has had less than it asked.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WaitingTeam {
    /// The team.
    pub team: TeamId,
    /// What it asked and what was begun.
    pub counts: TeamCounts,
    /// Whether it counts as within its share, as it had much less than others.
    pub is_underserved: bool,
}

/// `UNDERSERVED_FRACTION` is the part of what a team asked, or of what the best served team had, below which it
/// had much less than others: nobody who waits is to fall to half.
const UNDERSERVED_FRACTION: f64 = 0.65;

/// `BACKLOG_MIN_FRACTION` is the part of what the engines give that a team must have asked in vain to count
/// as one that waits; single requests that found no place do not make it needy.
const BACKLOG_MIN_FRACTION: f64 = 0.025;

/// `SURPLUS_GROWTH` is by how much the engines are taken to be able to give more than they gave in
/// the last window, so that the even part grows where they can.
const SURPLUS_GROWTH: f64 = 1.1;

impl TeamWindows {
    /// `new` returns an empty table.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            own: HashMap::default(),
            peers: HashMap::default(),
            remote_domains: None,
            levels: None,
            underserved_teams: Vec::new(),
        }
    }

    /// `record_request` counts a request of a caller.
    pub fn record_request(&mut self, team: TeamId, tokens: u64, now: Timestamp) {
        self.record(team, TeamSums { requested_tokens: tokens, dispatched_tokens: 0 }, now);
    }

    /// `record_dispatch` counts a request that is sent to an engine.
    pub fn record_dispatch(&mut self, team: TeamId, tokens: u64, now: Timestamp) {
        self.record(team, TeamSums { requested_tokens: 0, dispatched_tokens: tokens }, now);
    }

    fn record(&mut self, team: TeamId, sums: TeamSums, now: Timestamp) {
        let (window, recent) = self.current_buckets(now);
        let rings = self.own.entry(team).or_default();
        rings.window.bucket_mut(window).add(&sums);
        rings.recent.bucket_mut(recent).add(&sums);
    }

    /// `own_sums` returns this instance's sums, as peers are told.
    pub fn own_sums(&mut self, now: Timestamp) -> Vec<(TeamId, TeamCounts)> {
        let (window, recent) = self.current_buckets(now);
        let counts = self.own.iter_mut().map(|(team, rings)| {
            let (window, recent) = (rings.window.sum(window), rings.recent.sum(recent));
            (*team, TeamCounts { window, recent })
        });
        counts.filter(|(_, counts)| *counts != TeamCounts::default()).collect()
    }

    /// `set_peer_sums` takes in the sums of a peer that has counted for some time, and tells nothing of the
    /// short window: what it tells is taken for even.
    pub fn set_peer_sums(
        &mut self,
        peer: InstanceId,
        teams: impl IntoIterator<Item = (TeamId, TeamSums)>,
        counted: Duration,
        now: Timestamp,
    ) {
        let fraction = RECENT_WINDOW.as_secs_f64() / self.options.window.as_secs_f64();
        let counts_of = |sums: TeamSums| TeamCounts { window: sums, recent: sums.scaled(fraction) };
        let teams = teams.into_iter().map(|(team, sums)| (team, counts_of(sums)));
        self.set_peer_counts(peer, teams, counted, now);
    }

    /// `set_peer_counts` takes in the sums of a peer over both windows.
    pub fn set_peer_counts(
        &mut self,
        peer: InstanceId,
        teams: impl IntoIterator<Item = (TeamId, TeamCounts)>,
        counted: Duration,
        now: Timestamp,
    ) {
        if !self.options.policy.peer_sums {
            return;
        }
        let teams = teams.into_iter().collect();
        let counted = counted.min(self.options.window);
        self.peers.insert(peer, PeerSums { received: now, counted, teams });
    }

    /// `set_remote_domains` takes in what the dispatcher of the own domain tells of all other domains.
    pub fn set_remote_domains(
        &mut self,
        teams: impl IntoIterator<Item = (TeamId, TeamCounts)>,
        counted: Duration,
        now: Timestamp,
    ) {
        let teams = teams.into_iter().collect();
        let counted = counted.min(self.options.window);
        self.remote_domains = Some(PeerSums { received: now, counted, teams });
    }

    /// `clear_remote_domains` drops it: this instance hears the other domains itself.
    pub fn clear_remote_domains(&mut self) {
        self.remote_domains = None;
    }

    /// `forget_peer` drops a peer's sums.
    pub fn forget_peer(&mut self, peer: InstanceId) {
        self.peers.remove(&peer);
    }

    /// `combined_sums` returns the sums of some peers together, with or without the own ones.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bergamotpitch_control::traffic::team_windows::{Options, TeamSums, TeamWindows};
    ///
    /// let mut windows = TeamWindows::new(Options::default());
    /// let now = Duration::from_secs(1);
    /// windows.record_request(5, 100, now);
    /// let sums = TeamSums { requested_tokens: 30, dispatched_tokens: 30 };
    /// windows.set_peer_sums(1, [(5, sums)], now, now);
    /// windows.set_peer_sums(2, [(5, sums)], now, now);
    /// let both = windows.combined_sums(true, |peer| peer == 1, now);
    /// assert_eq!(both[&5].window, TeamSums { requested_tokens: 130, dispatched_tokens: 30 });
    /// ```
    pub fn combined_sums(
        &mut self,
        with_own: bool,
        is_included: impl Fn(InstanceId) -> bool,
        now: Timestamp,
    ) -> HashMap<TeamId, TeamCounts> {
        let own = if with_own { self.own_sums(now) } else { Vec::new() };
        let mut total: HashMap<TeamId, TeamCounts> = own.into_iter().collect();
        let timeout = self.options.peer_timeout;
        let included = self.peers.iter().filter(|(peer, _)| is_included(**peer));
        let received = included.filter(|(_, sums)| now < sums.received + timeout);
        received.for_each(|(_, sums)| sums.add_to(&mut total));
        total
    }

    /// `level` returns the tokens of one window up to which every team is served; infinite when
    /// operators state no rate of the pool and no team had much less than others.
    pub fn level(&mut self, pool_tokens_per_s: Option<u64>, now: Timestamp) -> f64 {
        self.levels(pool_tokens_per_s, now).share_tokens
    }

    /// `share_class` tells how a request of `tokens` stands against the team's even share. A request
    /// larger than the whole share is within it when the team had nothing else in the window.
    pub fn share_class(
        &mut self,
        team: TeamId,
        tokens: u64,
        pool_tokens_per_s: Option<u64>,
        now: Timestamp,
    ) -> ShareClass {
        let levels = self.levels(pool_tokens_per_s, now);
        let counts = self.fleet_counts(team, now);
        let dispatched = counts.window.dispatched_tokens as f64;
        let recent = counts.recent.dispatched_tokens as f64 + tokens as f64 / 2.0;
        if dispatched == 0.0 {
            ShareClass::WithinShare
        } else if levels.surplus_tokens < recent && self.options.policy.even_surplus {
            ShareClass::BeyondEven
        } else if dispatched + tokens as f64 / 2.0 <= levels.share_tokens {
            ShareClass::WithinShare
        } else if self.options.policy.needy_teams && self.underserved_teams.contains(&team) {
            ShareClass::Underserved
        } else {
            ShareClass::EvenSurplus
        }
    }

    /// `view` returns what this instance believes of the shares, with the teams that wait.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use bergamotpitch_control::traffic::team_windows::{Options, TeamWindows};
    ///
    /// let mut windows = TeamWindows::new(Options::default());
    /// let now = Duration::from_secs(9);
    /// windows.record_request(1, 90_000, now);
    /// windows.record_request(2, 500, now);
    /// windows.record_dispatch(2, 500, now);
    /// let view = windows.view(Some(10_000), now);
    /// assert_eq!(view.waiting.iter().map(|team| team.team).collect::<Vec<_>>(), [1]);
    /// assert_eq!(view.sources, 0);
    /// ```
    pub fn view(&mut self, pool_tokens_per_s: Option<u64>, now: Timestamp) -> SharesView {
        let Levels { share_tokens, surplus_tokens, min_backlog_tokens, .. } =
            self.levels(pool_tokens_per_s, now);
        let fleet = self.fleet_sums(now);
        let waiting =
            fleet.iter().filter(|(_, counts)| min_backlog_tokens < counts.window.unserved_tokens());
        let waiting = waiting.map(|(team, counts)| WaitingTeam {
            team: *team,
            counts: *counts,
            is_underserved: self.underserved_teams.contains(team),
        });
        let mut waiting: Vec<WaitingTeam> = waiting.collect();
        waiting.sort_by(|team, other| {
            let fractions = [team, other].map(|team| team.counts.window.dispatched_fraction());
            fractions[0].total_cmp(&fractions[1]).then(team.team.cmp(&other.team))
        });
        let ages = self.remote_sums().map(|sums| now.saturating_sub(sums.received));
        SharesView {
            share_tokens,
            surplus_tokens,
            sources: self.remote_sums().count(),
            oldest: ages.max().unwrap_or_default(),
            waiting,
        }
    }

    fn levels(&mut self, pool_tokens_per_s: Option<u64>, now: Timestamp) -> Levels {
        if let Some(levels) = self.levels
            && levels.pool_tokens_per_s == pool_tokens_per_s
            && now < levels.computed + LEVEL_INTERVAL
        {
            return levels;
        }
        let fleet = self.fleet_sums(now);
        let window = self.counted_window(now);
        let pool_in =
            |time: Duration| pool_tokens_per_s.map(|rate| rate as f64 * time.as_secs_f64());
        let capacity_in = |dispatched: u64, time| {
            (SURPLUS_GROWTH * dispatched as f64).max(pool_in(time).unwrap_or_default())
        };
        let requested =
            fleet.values().map(|counts| counts.recent.requested_tokens as f64).collect();
        let dispatched = fleet.values().map(|counts| counts.recent.dispatched_tokens).sum();
        let surplus_tokens =
            max_min_level(requested, capacity_in(dispatched, window.min(RECENT_WINDOW)));
        let measured_capacity = capacity_tokens(&fleet, window);
        let min_backlog_tokens = BACKLOG_MIN_FRACTION * measured_capacity;
        self.underserved_teams = underserved_teams(&fleet, min_backlog_tokens);
        let stated = pool_in(window).unwrap_or(f64::INFINITY);
        let pool =
            if self.underserved_teams.is_empty() { stated } else { stated.min(measured_capacity) };
        let requested =
            fleet.values().map(|counts| counts.window.requested_tokens as f64).collect();
        let share_tokens = max_min_level(requested, pool);
        let levels = Levels {
            computed: now,
            pool_tokens_per_s,
            share_tokens,
            surplus_tokens,
            min_backlog_tokens,
        };
        self.levels = Some(levels);
        levels
    }

    /// The part of the window for which at least one instance has counted.
    fn counted_window(&self, now: Timestamp) -> Duration {
        let window = self.options.window;
        if !self.options.policy.growing_shares {
            return window;
        }
        let peers = self.remote_sums().map(|peer| peer.counted + now.saturating_sub(peer.received));
        let longest = peers.max().unwrap_or_default().max(now);
        longest.clamp(window / BUCKETS as u32, window)
    }

    fn fleet_counts(&mut self, team: TeamId, now: Timestamp) -> TeamCounts {
        let (window, recent) = self.current_buckets(now);
        let mut counts = self.own.get_mut(&team).map_or_else(TeamCounts::default, |rings| {
            TeamCounts { window: rings.window.sum(window), recent: rings.recent.sum(recent) }
        });
        let timeout = self.options.peer_timeout;
        let peers = self.remote_sums().filter(|peer| now < peer.received + timeout);
        peers.filter_map(|peer| peer.teams.get(&team)).for_each(|sums| counts.add(sums));
        counts
    }

    fn fleet_sums(&mut self, now: Timestamp) -> HashMap<TeamId, TeamCounts> {
        let timeout = self.options.peer_timeout;
        self.peers.retain(|_, peer| now < peer.received + timeout);
        self.remote_domains =
            self.remote_domains.take().filter(|sums| now < sums.received + timeout);
        let mut fleet: HashMap<TeamId, TeamCounts> = self.own_sums(now).into_iter().collect();
        self.remote_sums().for_each(|sums| sums.add_to(&mut fleet));
        fleet
    }

    fn remote_sums(&self) -> impl Iterator<Item = &PeerSums> {
        self.peers.values().chain(&self.remote_domains)
    }

    /// The present buckets of both windows.
    fn current_buckets(&self, now: Timestamp) -> (u64, u64) {
        let of_window = |window: Duration| {
            let bucket_ms = (window.as_millis() / BUCKETS as u128).max(1);
            u64::try_from(now.as_millis() / bucket_ms).unwrap_or(u64::MAX)
        };
        (of_window(self.options.window), of_window(RECENT_WINDOW))
    }
}

/// What the engines give in a window. After a start or a pause the whole window tells of less.
fn capacity_tokens(fleet: &HashMap<TeamId, TeamCounts>, window: Duration) -> f64 {
    let dispatched: u64 = fleet.values().map(|counts| counts.window.dispatched_tokens).sum();
    let recent: u64 = fleet.values().map(|counts| counts.recent.dispatched_tokens).sum();
    (dispatched as f64).max(recent as f64 * window.div_duration_f64(window.min(RECENT_WINDOW)))
}

/// The teams that wait for `min_backlog_tokens` and more, and had much less than they asked and than the
/// best served team had. Requests of one team may find a place less often than those of another: its
/// prompts are longer, or its callers reach few instances.
fn underserved_teams(fleet: &HashMap<TeamId, TeamCounts>, min_backlog_tokens: f64) -> Vec<TeamId> {
    let dispatched = fleet.values().map(|counts| counts.window.dispatched_tokens);
    let most = dispatched.max().unwrap_or_default();
    let is_underserved = |sums: &TeamSums| {
        let due = UNDERSERVED_FRACTION * sums.requested_tokens.min(most) as f64;
        min_backlog_tokens < sums.unserved_tokens() && (sums.dispatched_tokens as f64) < due
    };
    let teams = fleet.iter().filter(|(_, counts)| is_underserved(&counts.window));
    teams.map(|(team, _)| *team).collect()
}

impl Ring {
    fn bucket_mut(&mut self, bucket: u64) -> &mut TeamSums {
        self.advance(bucket);
        &mut self.buckets[(bucket % BUCKETS as u64) as usize]
    }

    fn sum(&mut self, bucket: u64) -> TeamSums {
        self.advance(bucket);
        let mut total = TeamSums::default();
        self.buckets.iter().for_each(|sums| total.add(sums));
        total
    }

    fn advance(&mut self, bucket: u64) {
        if bucket <= self.newest {
            return;
        }
        let steps = (bucket - self.newest).min(BUCKETS as u64);
        for step in 0..steps {
            self.buckets[((bucket - step) % BUCKETS as u64) as usize] = TeamSums::default();
        }
        self.newest = bucket;
    }
}

/// `max_min_level` returns the level at which the demands, each cut at the level, add up to
/// `capacity`; infinite when all of them fit.
///
/// ```
/// use bergamotpitch_control::traffic::team_windows::max_min_level;
///
/// assert_eq!(max_min_level(vec![10.0, 100.0, 100.0], 110.0), 50.0);
/// assert_eq!(max_min_level(vec![10.0], 110.0), f64::INFINITY);
/// ```
pub fn max_min_level(mut demands: Vec<f64>, capacity: f64) -> f64 {
    demands.sort_by(f64::total_cmp);
    let mut left = capacity;
    let count = demands.len();
    for (index, demand) in demands.iter().enumerate() {
        let even = left / (count - index) as f64;
        if even < *demand {
            return even;
        }
        left -= demand;
    }
    f64::INFINITY
}
