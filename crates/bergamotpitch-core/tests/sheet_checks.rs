//! A sheet with a fault is rejected with file, field and reason.

use bergamotpitch_core::sheets::parse_sheet;

#[test]
fn unknown_field() {
    let error = parse_sheet("sheet.json", r#"{ "domains": [], "machines": [] }"#).unwrap_err();
    assert!(error.to_string().starts_with("sheet.json: machines: unknown field"), "{error}");
}

#[test]
fn undeclared_domain() {
    let text = r#"{
        "domains": [{ "name": "randstad-a", "region": "randstad" }],
        "services": [{ "name": "order-registry", "kind": "plain" }],
        "upstreams": [{ "name": "r1", "service": "order-registry", "domain": "zuid-a",
                        "address": "127.0.0.1:9000", "slots": 4 }],
        "teams": []
    }"#;
    let error = parse_sheet("sheet.json", text).unwrap_err();
    assert_eq!(
        error.to_string(),
        "sheet.json: upstreams[0].domain: \"zuid-a\" is not declared in this sheet"
    );
}

#[test]
fn name_twice() {
    let text = r#"{ "domains": [{ "name": "a", "region": "r" }, { "name": "a", "region": "r" }],
        "services": [], "upstreams": [], "teams": [] }"#;
    let error = parse_sheet("sheet.json", text).unwrap_err();
    assert_eq!(error.to_string(), "sheet.json: domains[1].name: \"a\" stands twice");
}
