//! Attempts of one request have one digest, and other requests have others.

use bergamotpitch_control::traffic::facts::PromptPart;
use bergamotpitch_control::traffic::request_digests::RequestContent;

/// Guards against two requests that are taken for one, as their fields hold the same bytes in a row.
#[test]
fn each_field() {
    let part = |id| PromptPart { id, tokens: 10 };
    let (prefix, longer) = (vec![part(1), part(2)], vec![part(1), part(2), part(3)]);
    let content = RequestContent {
        team: Some(0),
        method: "POST",
        host: b"a.example",
        target: "/orders/1?q=2",
        prefix: &prefix,
        body: b"a body",
    };
    let others = [
        RequestContent { team: Some(1), ..content },
        RequestContent { team: None, ..content },
        RequestContent { method: "PUT", ..content },
        RequestContent { host: b"a.exampl", target: "e/orders/1?q=2", ..content },
        RequestContent { target: "/orders/1?q=", ..content },
        RequestContent { prefix: &longer, ..content },
        RequestContent { prefix: &prefix[..1], ..content },
        RequestContent { body: b"a bod", ..content },
    ];
    let mut digests: Vec<u64> = others.iter().map(RequestContent::digest).collect();
    digests.push(content.digest());
    digests.sort_unstable();
    digests.dedup();
    assert_eq!(digests.len(), others.len() + 1);
}
