//! One control state with a small sheet, driven step by step in virtual time.

#![allow(dead_code, reason = "each test file uses a part of this module")]

use std::sync::Arc;
use std::time::Duration;

use bergamotpitch_control::inputs::{Arrival, AttemptOutcome};
use bergamotpitch_control::outputs::Refusal;
use bergamotpitch_control::{Input, Options, Output, Tables, step};
use bergamotpitch_core::ids::{RequestId, UpstreamId, id_of_name};
use bergamotpitch_core::settings::Policy;
use bergamotpitch_core::sheets::{AcceptedSheet, parse_sheet};

/// `Bench` is one control state and its clock.
pub struct Bench {
    pub tables: Tables,
    pub now: Duration,
    next_request: RequestId,
}

/// `Sent` is a request that was handed to an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Sent {
    pub request: RequestId,
    pub upstream: UpstreamId,
}

impl Bench {
    /// `new` has a sheet in force with some upstreams of two slots each and two teams.
    pub fn new(upstreams: usize) -> Self {
        Self::with_team_fields(upstreams, "")
    }

    /// `with_team_fields` adds fields to each team of the sheet.
    pub fn with_team_fields(upstreams: usize, fields: &str) -> Self {
        let options = Options {
            instance: 1,
            incarnation: 1,
            domain: id_of_name("randstad-a"),
            policy: Policy::LocalFair,
            window_depth_requests: 0,
            ..Options::default()
        };
        let tables = Tables { options, ..Tables::default() };
        let mut bench = Self { tables, now: Duration::ZERO, next_request: 1 };
        let sheet = Arc::new(sheet(upstreams, fields, 1));
        bench.step(vec![Input::SheetLearned(sheet)]);
        bench
    }

    /// `step` makes one step now.
    pub fn step(&mut self, inputs: Vec<Input>) -> Vec<Output> {
        step(&mut self.tables, self.now, inputs)
    }

    /// `wait` lets time pass in ticks of 5 ms and returns all outputs.
    pub fn wait(&mut self, time: Duration) -> Vec<Output> {
        let until = self.now + time;
        let mut outputs = Vec::new();
        while self.now < until {
            self.now += Duration::from_millis(5);
            outputs.extend(self.step(Vec::new()));
        }
        outputs
    }

    /// `arrival` is a new request of a team that waits for a minute.
    pub fn arrival(&mut self, team: &str, repeatable: bool) -> Arrival {
        self.next_request += 1;
        Arrival {
            request: self.next_request,
            team: id_of_name(team),
            service: id_of_name("order-registry"),
            body_bytes: 1_000,
            known_cost: 1,
            prefix: 0,
            deadline: self.now + Duration::from_secs(60),
            repeatable,
        }
    }

    /// `arrive` has a request of a team arrive.
    pub fn arrive(&mut self, team: &str, repeatable: bool) -> (RequestId, Vec<Output>) {
        let arrival = self.arrival(team, repeatable);
        (arrival.request, self.step(vec![Input::Arrived(arrival)]))
    }

    /// `end` ends an attempt.
    pub fn end(&mut self, request: RequestId, outcome: AttemptOutcome) -> Vec<Output> {
        self.step(vec![Input::AttemptEnded { request, outcome, cost: 1 }])
    }
}

/// `sheet` is a sheet with some upstreams of one plain service.
pub fn sheet(upstreams: usize, team_fields: &str, version: u64) -> AcceptedSheet {
    let entries: Vec<String> = (0..upstreams)
        .map(|index| {
            format!(
                r#"{{ "name": "registry-{index}", "service": "order-registry",
                      "domain": "randstad-a", "address": "127.0.0.1:{}", "slots": 2 }}"#,
                9_000 + index
            )
        })
        .collect();
    let team = |name: &str| {
        let hash = format!("{:064x}", id_of_name(name));
        format!(
            r#"{{ "name": "{name}", "share": 1, "key_hash": "{hash}",
                  "services": ["order-registry"] {team_fields} }}"#
        )
    };
    let text = format!(
        r#"{{ "domains": [{{ "name": "randstad-a", "region": "randstad" }}],
              "services": [{{ "name": "order-registry", "kind": "plain" }}],
              "upstreams": [{}], "teams": [{}, {}] }}"#,
        entries.join(","),
        team("delft"),
        team("leiden"),
    );
    let sheet = parse_sheet("sheet.json", &text).expect("the sheet is valid");
    AcceptedSheet { version, sheet }
}

/// `sent` lists what was handed over.
pub fn sent(outputs: &[Output]) -> Vec<Sent> {
    outputs
        .iter()
        .filter_map(|output| match output {
            Output::Dispatch { request, upstream, .. } => {
                Some(Sent { request: *request, upstream: *upstream })
            }
            _ => None,
        })
        .collect()
}

/// `refused` lists what was refused.
pub fn refused(outputs: &[Output]) -> Vec<(RequestId, Refusal)> {
    outputs
        .iter()
        .filter_map(|output| match output {
            Output::Refuse { request, refusal } => Some((*request, *refusal)),
            _ => None,
        })
        .collect()
}
