//! Policies: which mechanisms of the decision are in force.
//!
//! All are by default. Operators turn one off to see what it is worth under their load, or when it
//! does harm there; what it guards against is then not guarded against.

use serde::{Deserialize, Serialize};

/// `Policy` has a switch for each mechanism by which requests are admitted, placed, sent again and
/// refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Policy {
    /// One instance of a large failure domain decides for its upstreams. Without it each instance does,
    /// by what the others told it.
    pub dispatchers: bool,
    /// Requests beyond their team's even share leave room for those within one. Without it, a team
    /// that floods takes what the others are due.
    pub team_shares: bool,
    /// What the engines give beyond the shares is divided evenly. Without it, it goes to whoever asks
    /// most.
    pub even_surplus: bool,
    /// A team that had much less than others counts as within its share.
    pub needy_teams: bool,
    /// Shares grow with the time for which somebody has counted. Without it, all that waited for the
    /// end of an outage is sent at once.
    pub growing_shares: bool,
    /// Peers' sums of what teams asked and began are added to the own ones.
    pub peer_sums: bool,
    /// What peers have in hand at upstreams is added to the own requests there.
    pub peer_loads: bool,
    /// Peers tell each other which engine read which start of a prompt.
    pub start_notes: bool,
    /// Engines fetch starts from each other instead of reading them again.
    pub start_fetches: bool,
    /// Engines of the own domain are preferred in the same order by all instances for a start that
    /// nobody told of.
    pub start_order: bool,
    /// The own domain and region are preferred.
    pub distance_weights: bool,
    /// Prompts that take most of their target to read are sent all the same within the shares.
    pub long_prompts: bool,
    /// Engines are not given more to read at once than streams that run there can wait for.
    pub stream_pauses: bool,
    /// An engine that reads nothing takes any request.
    pub empty_engines: bool,
    /// How fast the engines of a service read is learned from their answers.
    pub learned_speeds: bool,
    /// By how much an upstream is slower than the others is learned from its answers.
    pub learned_paces: bool,
    /// Upstreams that fail, hang or take no connection are passed over.
    pub evidence: bool,
    /// Requests are refused at once while this process is late.
    pub lateness_refusals: bool,
    /// No more streams are taken on than this process has time for. Without it, an instance that a flood
    /// reaches serves nobody in time.
    pub stream_limits: bool,
    /// New callers are sent elsewhere while this process is late.
    pub lateness_readiness: bool,
    /// A request that takes much longer than predicted is cut off where another upstream has room.
    pub cut_offs: bool,
    /// Upstreams that have just started get no more requests a second than operators allow. Without
    /// it, all that waits is sent to those that come back, and they fall over.
    pub warm_up_limits: bool,
    /// Upstreams that count as warm are bounded as well, as they may become cold unannounced.
    pub unannounced_warm_ups: bool,
    /// Prompts with a part under which upstreams crash are refused.
    pub crash_suspects: bool,
    /// Requests to a second upstream stay within the budget of the whole fleet. Without it none is
    /// sent a second time.
    pub retries: bool,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            dispatchers: true,
            team_shares: true,
            even_surplus: true,
            needy_teams: true,
            growing_shares: true,
            peer_sums: true,
            peer_loads: true,
            start_notes: true,
            start_fetches: true,
            start_order: true,
            distance_weights: true,
            long_prompts: true,
            stream_pauses: true,
            empty_engines: true,
            learned_speeds: true,
            learned_paces: true,
            evidence: true,
            lateness_refusals: true,
            stream_limits: true,
            lateness_readiness: true,
            cut_offs: true,
            warm_up_limits: true,
            unannounced_warm_ups: true,
            crash_suspects: true,
            retries: true,
        }
    }
}
