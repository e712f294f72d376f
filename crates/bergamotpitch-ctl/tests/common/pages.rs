//! Tables of a page, and their comparison with the code.

use serde_json::Value;

/// `Row` is one field of a table.
#[derive(Debug)]
pub struct Row {
    /// Name of the field.
    pub field: String,
    /// Range; numbers as `A to B`.
    pub range: String,
    /// Default: a JSON value, `none`, `required` or `as below`.
    pub default: String,
}

/// `sections` returns the tables under headings that name a struct.
pub fn sections(page: &str) -> Vec<(String, Vec<Row>)> {
    let mut sections: Vec<(String, Vec<Row>)> = Vec::new();
    let mut in_section = false;
    for line in page.lines() {
        if line.starts_with('#') {
            let name = line.strip_prefix("### `").and_then(|rest| rest.strip_suffix('`'));
            in_section = name.is_some();
            sections.extend(name.map(|name| (name.to_owned(), Vec::new())));
        } else if in_section && line.starts_with("| `") {
            let cells: Vec<&str> = line.trim_matches('|').split('|').map(str::trim).collect();
            assert_eq!(cells.len(), 5, "five cells: {line}");
            assert!(!cells[4].is_empty(), "a meaning: {line}");
            let row = Row {
                field: cells[0].trim_matches('`').to_owned(),
                range: cells[2].to_owned(),
                default: cells[3].trim_matches('`').to_owned(),
            };
            sections.last_mut().unwrap().1.push(row);
        }
    }
    sections
}

/// `check_section` compares one table with the fields of a struct; `parse` fills in defaults and
/// checks ranges.
pub fn check_section(
    sections: &[(String, Vec<Row>)],
    name: &str,
    fields: &[&str],
    least: &Value,
    parse: impl Fn(&Value) -> Result<Value, String>,
) {
    let Some((_, rows)) = sections.iter().find(|(section, _)| section == name) else {
        panic!("docs/SETTINGS.md lacks {name}");
    };
    let documented: Vec<&str> = rows.iter().map(|row| row.field.as_str()).collect();
    assert!(!fields.is_empty(), "{name} is no struct");
    assert_eq!(documented, fields, "{name}: docs/SETTINGS.md and the code name other fields");
    let filled = parse(least).unwrap();
    for row in rows {
        check_default(name, row, least, &filled, &parse);
        check_range(name, row, least, &parse);
    }
}

fn check_default(
    name: &str,
    row: &Row,
    least: &Value,
    filled: &Value,
    parse: &impl Fn(&Value) -> Result<Value, String>,
) {
    let value = filled.get(&row.field);
    match row.default.as_str() {
        "required" => {
            let mut without = least.clone();
            without.as_object_mut().unwrap().remove(&row.field);
            let error = parse(&without).expect_err(&format!("{name}.{} is required", row.field));
            assert!(error.contains(&format!("`{}`", row.field)), "{error}");
        }
        "none" => assert!(value.is_none_or(Value::is_null), "{name}.{}: {value:?}", row.field),
        "as below" => assert!(value.is_some_and(Value::is_object), "{name}.{}", row.field),
        default => {
            let default: Value = serde_json::from_str(default).unwrap();
            assert_eq!(value, Some(&default), "{name}.{}", row.field);
        }
    }
}

fn check_range(
    name: &str,
    row: &Row,
    least: &Value,
    parse: &impl Fn(&Value) -> Result<Value, String>,
) {
    let range = row.range.split(';').next().unwrap_or("");
    let Some((first, last)) = range.split_once(" to ") else { return };
    let (Ok(first), Ok(last)) = (first.parse::<u64>(), last.parse::<u64>()) else { return };
    let parse_with = |value: u64| {
        let mut document = least.clone();
        document[&row.field] = value.into();
        parse(&document)
    };
    let field = &row.field;
    assert!(parse_with(last).is_ok(), "{name}.{field}: {last} is in the documented range");
    assert!(parse_with(last + 1).is_err(), "{name}.{field}: {} is out of it", last + 1);
    if 0 < first {
        assert!(parse_with(first).is_ok(), "{name}.{field}: {first} is in the documented range");
        assert!(parse_with(first - 1).is_err(), "{name}.{field}: {} is out of it", first - 1);
    }
}
