//! Tallies: what each team asked for and was given at this instance, and what each decider believes of
//! the shares, written once a second.
//!
//! Under a flood lines on single requests are left out of the log, just when teams are turned away.
//! Tallies are few and whole, so that what a team got can be summed over the instances and compared
//! with what the deciders believed.

use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use bergamotpitch_control::traffic::catalogs::{Catalog, Team};
use bergamotpitch_control::traffic::team_windows::{SharesView, WaitingTeam};
use bergamotpitch_core::HashMap;
use bergamotpitch_core::events::EventKind;
use bergamotpitch_core::ids::{TeamId, id_of_name};
use bergamotpitch_core::refusals::RefusalReason;
use bergamotpitch_core::units::Timestamp;

use crate::gateways::Gateway;
use crate::logs::decision;

/// `LOG_INTERVAL` is the time between two writings.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// `LOGGED_TEAMS_MAX` bounds how many teams are written, those first that asked most.
const LOGGED_TEAMS_MAX: usize = 12;

/// `LOGGED_WAITING_TEAMS_MAX` bounds how many teams that wait are written, those first that had least.
const LOGGED_WAITING_TEAMS_MAX: usize = 8;

/// `TeamCounters` is the table of all teams since it was last written.
#[derive(Debug, Default)]
pub struct TeamCounters {
    teams: RefCell<HashMap<TeamId, Counters>>,
    last_logged: Cell<Timestamp>,
}

/// `Counters` is what a team asked for and was given.
#[derive(Debug, Default)]
struct Counters {
    team: String,
    requested_tokens: u64,
    sent_tokens: u64,
    refused_tokens: BTreeMap<&'static str, u64>,
}

impl TeamCounters {
    /// `note_asked` counts a request that has come in.
    pub fn note_asked(&self, team: &Team, tokens: u64) {
        self.change(team, |counters| counters.requested_tokens += tokens);
    }

    /// `note_sent` counts a request that goes to an upstream for the first time.
    pub fn note_sent(&self, team: &Team, tokens: u64) {
        self.change(team, |counters| counters.sent_tokens += tokens);
    }

    /// `note_refused` counts a request that was refused.
    pub fn note_refused(&self, team: &Team, tokens: u64, reason: RefusalReason) {
        self.change(team, |counters| {
            *counters.refused_tokens.entry(reason.into()).or_default() += tokens;
        });
    }

    /// `take` begins anew and returns a line for each team.
    ///
    /// ```
    /// use bergamotpitch_control::traffic::catalogs::{Catalog, Team};
    /// use bergamotpitch_core::refusals::RefusalReason;
    /// use bergamotpitch_gateway::team_counters::TeamCounters;
    ///
    /// let team = Team {
    ///     name: "north".to_owned(),
    ///     priority: None,
    ///     keys: Vec::new(),
    ///     allowed_regions: Default::default(),
    /// };
    /// let counters = TeamCounters::default();
    /// counters.note_asked(&team, 700);
    /// counters.note_refused(&team, 700, RefusalReason::QueueFull);
    /// let line = "team=north asked_tokens=700 sent_tokens=0 refused_tokens=700 queue_full=700";
    /// assert_eq!(counters.take(), [line]);
    /// assert!(counters.take().is_empty());
    /// ```
    pub fn take(&self) -> Vec<String> {
        let team_counters = std::mem::take(&mut *self.teams.borrow_mut());
        let mut team_counters: Vec<Counters> = team_counters.into_values().collect();
        team_counters.sort_by_key(|counters| Reverse(counters.requested_tokens));
        team_counters.truncate(LOGGED_TEAMS_MAX);
        team_counters.iter().map(Counters::to_string).collect()
    }

    fn is_due(&self, now: Timestamp) -> bool {
        let is_due = self.last_logged.get() + LOG_INTERVAL <= now;
        if is_due {
            self.last_logged.set(now);
        }
        is_due
    }

    fn change(&self, team: &Team, change: impl FnOnce(&mut Counters)) {
        let mut teams = self.teams.borrow_mut();
        let counters = teams.entry(id_of_name(&team.name)).or_default();
        if counters.team.is_empty() {
            counters.team.clone_from(&team.name);
        }
        change(counters);
    }
}

impl Counters {
    fn refused_total(&self) -> u64 {
        self.refused_tokens.values().sum()
    }
}

impl fmt::Display for Counters {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { team, requested_tokens, sent_tokens, refused_tokens } = self;
        let refused = self.refused_total();
        write!(
            formatter,
            "team={team} asked_tokens={requested_tokens} sent_tokens={sent_tokens} refused_tokens={refused}"
        )?;
        refused_tokens
            .iter()
            .try_for_each(|(reason, tokens)| write!(formatter, " {reason}={tokens}"))
    }
}

impl Gateway {
    /// `log_team_counters` writes what is due: what teams got here, and, where this instance decides, which
    /// teams wait.
    pub(crate) fn log_team_counters(&self) {
        let now = self.now();
        if !self.team_counters.is_due(now) {
            return;
        }
        for line in self.team_counters.take() {
            decision(EventKind::TeamTallied, format_args!("{line}"));
        }
        let decides = self.is_dispatcher() || self.role().dispatcher.is_none();
        if let Some(catalog) = self.catalog().filter(|_| decides) {
            let view = self.traffic.borrow_mut().windows.view(catalog.pool_tokens_per_s, now);
            self.metrics.note_sums_age(view.oldest);
            log_waiting_teams(&catalog, &view);
        }
    }
}

fn log_waiting_teams(catalog: &Catalog, view: &SharesView) {
    for WaitingTeam { team, counts, is_underserved } in
        view.waiting.iter().take(LOGGED_WAITING_TEAMS_MAX)
    {
        let known = catalog.teams().find(|known| id_of_name(&known.name) == *team);
        decision(
            EventKind::TeamWaits,
            format_args!(
                "team={} asked_tokens={} begun_tokens={} recent_asked_tokens={} \
                 recent_begun_tokens={} is_needy={is_underserved} share_tokens={:.0} surplus_tokens={:.0} \
                 sources={} oldest_ms={}",
                known.map_or("-", |known| &known.name),
                counts.window.requested_tokens,
                counts.window.dispatched_tokens,
                counts.recent.requested_tokens,
                counts.recent.dispatched_tokens,
                view.share_tokens,
                view.surplus_tokens,
                view.sources,
                view.oldest.as_millis(),
            ),
        );
    }
}
