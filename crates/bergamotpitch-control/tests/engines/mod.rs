//! A stand-in for model engines in virtual time: prompts are read first come, first served, in
//! chunks between decoding steps; the most recently used starts of prompts are kept.

use std::collections::VecDeque;
use std::time::Duration;

use bergamotpitch_control::traffic::facts::{PartId, PromptPart};

/// `Speed` is how fast an engine works.
#[derive(Debug, Clone, Copy)]
pub struct Speed {
    pub prefill_tokens_per_ms: f64,
    pub chunk_tokens: f64,
    pub step_ms: f64,
    pub step_ms_per_request: f64,
}

impl Default for Speed {
    fn default() -> Self {
        Self {
            prefill_tokens_per_ms: 100.0,
            chunk_tokens: 4_096.0,
            step_ms: 3.0,
            step_ms_per_request: 0.025,
        }
    }
}

/// `Engine` is one engine.
pub struct Engine {
    pub slots: usize,
    pub cache_tokens: u64,
    pub reread_tokens: f64,
    speed: Speed,
    waiting: VecDeque<Work>,
    reading: VecDeque<Work>,
    running: Vec<Work>,
    cached: VecDeque<PromptPart>,
    time_ms: f64,
}

/// `Work` is one request at an engine.
#[derive(Clone)]
pub struct Work {
    pub number: u64,
    pub prefix: Vec<PromptPart>,
    unread_tokens: f64,
    remaining_tokens: f64,
}

/// `EngineEvent` is what an engine tells.
pub enum EngineEvent {
    Began(u64, Duration),
    Ended(u64),
}

impl Engine {
    pub fn new(slots: usize, cache_tokens: u64, speed: Speed) -> Self {
        Self {
            slots,
            cache_tokens,
            speed,
            reread_tokens: 0.0,
            waiting: VecDeque::new(),
            reading: VecDeque::new(),
            running: Vec::new(),
            cached: VecDeque::new(),
            time_ms: 0.0,
        }
    }

    pub fn send(&mut self, number: u64, prefix: Vec<PromptPart>, output_tokens: u64) {
        let remaining_tokens = output_tokens.max(1) as f64;
        self.waiting.push_back(Work { number, prefix, unread_tokens: 0.0, remaining_tokens });
    }

    /// `fetch` takes what `holder` keeps of the shared start of a prompt.
    pub fn fetch(&mut self, prefix: &[PromptPart], holder: &Engine) {
        let shared = &prefix[..prefix.len().saturating_sub(1)];
        let is_cached =
            |part: &&PromptPart| holder.cached.iter().any(|cached| cached.id == part.id);
        let fetched: Vec<PromptPart> = shared.iter().take_while(is_cached).copied().collect();
        self.cache(&fetched);
    }

    /// `run` goes on until `until` and returns what happened.
    pub fn run(&mut self, until: Duration) -> Vec<EngineEvent> {
        let until_ms = until.as_secs_f64() * 1_000.0;
        let mut events = Vec::new();
        while self.time_ms < until_ms {
            self.admit();
            if self.reading.is_empty() && self.running.is_empty() {
                self.time_ms = until_ms;
                break;
            }
            self.step(&mut events);
        }
        events
    }

    fn admit(&mut self) {
        while self.reading.len() + self.running.len() < self.slots {
            let Some(mut work) = self.waiting.pop_front() else { return };
            work.unread_tokens = self.unread_tokens(&work.prefix);
            self.cache(&work.prefix);
            self.reading.push_back(work);
        }
    }

    fn unread_tokens(&mut self, prefix: &[PromptPart]) -> f64 {
        let cached = |part: &PromptPart| self.cached.iter().any(|cached| cached.id == part.id);
        let tokens = |parts: &[PromptPart]| parts.iter().map(|part| f64::from(part.tokens)).sum();
        let first_unread = prefix.iter().position(|part| !cached(part)).unwrap_or(prefix.len());
        let shared = prefix.len().saturating_sub(1).max(first_unread);
        let again: f64 = tokens(&prefix[first_unread..shared]);
        self.reread_tokens += again;
        tokens(&prefix[first_unread..])
    }

    fn cache(&mut self, prefix: &[PromptPart]) {
        for part in prefix {
            self.cached.retain(|cached| cached.id != part.id);
            self.cached.push_back(*part);
        }
        let mut used: u64 = self.cached.iter().map(|part| u64::from(part.tokens)).sum();
        while self.cache_tokens < used {
            let Some(dropped) = self.cached.pop_front() else { return };
            used -= u64::from(dropped.tokens);
        }
    }

    fn step(&mut self, events: &mut Vec<EngineEvent>) {
        let speed = self.speed;
        let mut chunk = speed.chunk_tokens;
        let mut begun = Vec::new();
        while let Some(work) = self.reading.front_mut() {
            let read = work.unread_tokens.min(chunk);
            work.unread_tokens -= read;
            chunk -= read;
            if 0.0 < work.unread_tokens {
                break;
            }
            begun.extend(self.reading.pop_front());
        }
        let decoding = self.running.len() as f64;
        self.time_ms += (speed.chunk_tokens - chunk) / speed.prefill_tokens_per_ms
            + speed.step_ms
            + speed.step_ms_per_request * decoding;
        for work in &mut self.running {
            work.remaining_tokens -= 1.0;
        }
        let ended = self.running.iter().filter(|work| work.remaining_tokens <= 0.0);
        events.extend(ended.map(|work| EngineEvent::Ended(work.number)));
        self.running.retain(|work| 0.0 < work.remaining_tokens);
        for work in begun {
            let time = Duration::from_secs_f64(self.time_ms / 1_000.0);
            events.push(EngineEvent::Began(work.number, time));
            self.running.push(work);
        }
    }
}

/// `part` is one part of a prompt.
pub fn part(id: PartId, tokens: u32) -> PromptPart {
    PromptPart { id, tokens }
}
