//! An answer that is cut, repeated or another's is never taken for the caller's own.

use bergamotpitch_load::checks::{StreamCheck, is_own_call_answer, short_hash};
use bergamotpitch_load::records::CallerOutcome;

#[test]
fn whole_answer() {
    let text = stream("prompt", 1..=3) + "data: [DONE]\n\n";
    assert_eq!(outcome("prompt", &text), CallerOutcome::Answered);
}

/// A router closes the stream of a broken upstream as if the answer were whole; the customer gets
/// half a campaign text and nobody knows.
#[test]
fn cut_answer() {
    assert_eq!(outcome("prompt", &stream("prompt", 1..=2)), CallerOutcome::CutUnseen);
    let ended_early = stream("prompt", 1..=2) + "data: [DONE]\n\n";
    assert_eq!(outcome("prompt", &ended_early), CallerOutcome::CutUnseen);
}

/// Two answers are swapped between their callers.
#[test]
fn foreign_answer() {
    let text = stream("another prompt", 1..=3) + "data: [DONE]\n\n";
    assert_eq!(outcome("prompt", &text), CallerOutcome::Foreign);
    assert!(!is_own_call_answer("one body", br#"{ "run": { "body_hash": "00000000" } }"#));
    let own = format!(r#"{{ "run": {{ "body_hash": "{}" }} }}"#, short_hash("one body"));
    assert!(is_own_call_answer("one body", own.as_bytes()));
}

/// A resumed stream starts again one token too early, so that a word stands twice in the text.
#[test]
fn repeated_token() {
    let text = stream("prompt", 1..=2) + &stream("prompt", 2..=3) + "data: [DONE]\n\n";
    assert_eq!(outcome("prompt", &text), CallerOutcome::Foreign);
}

fn outcome(prompt: &str, text: &str) -> CallerOutcome {
    let mut check = StreamCheck::of_prompt(prompt, 3);
    // Pieces end anywhere in a line, as they do on a network.
    for piece in text.as_bytes().chunks(7) {
        check.take(piece);
    }
    check.outcome()
}

fn stream(prompt: &str, tokens: std::ops::RangeInclusive<u32>) -> String {
    let hash = short_hash(prompt);
    tokens
        .map(|token| {
            let chunk = serde_json::json!({ "choices": [{ "delta": { "content": format!("w{token}-{hash} ") } }] });
            format!("id: {token}\ndata: {chunk}\n\n")
        })
        .collect()
}
