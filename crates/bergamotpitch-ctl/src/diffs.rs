//! Differences between two sheets, entity by entity and field by field.

use std::collections::BTreeMap;
use std::fmt::Write;

use bergamotpitch_core::sheets::Sheet;
use serde::Serialize;
use serde_json::Value;

/// `Change` is one difference between two sheets.
#[derive(Debug, Clone, PartialEq)]
pub enum Change {
    /// The entity is in the new sheet alone.
    Added {
        /// The entity.
        entity: Entity,
    },
    /// The entity is in the old sheet alone.
    Removed {
        /// The entity.
        entity: Entity,
    },
    /// A field of the entity differs.
    Changed {
        /// The entity.
        entity: Entity,
        /// Name of the field.
        field: String,
        /// Value in the old sheet.
        old: Value,
        /// Value in the new sheet.
        new: Value,
    },
}

/// `Entity` names a domain, service, upstream or team of a sheet.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Entity {
    /// List that it stands in, in the singular.
    pub kind: &'static str,
    /// Its name.
    pub name: String,
}

/// `diff_sheets` lists what changes from one sheet to another; everything is added when there is no
/// old one.
///
/// ```
/// use bergamotpitch_core::sheets::parse_sheet;
/// use bergamotpitch_ctl::diffs::{diff_sheets, render_changes};
/// let text = r#"{ "domains": [{ "name": "zuid-a", "region": "zuid" }], "services": [],
///                 "upstreams": [], "teams": [] }"#;
/// let sheet = parse_sheet("sheet.json", text).unwrap();
/// assert_eq!(render_changes(&diff_sheets(None, &sheet)), "+ domain zuid-a\n");
/// ```
pub fn diff_sheets(old: Option<&Sheet>, new: &Sheet) -> Vec<Change> {
    let old = old.map(entities).unwrap_or_default();
    let new = entities(new);
    let mut changes = Vec::new();
    for (entity, old_fields) in &old {
        match new.get(entity) {
            None => changes.push(Change::Removed { entity: entity.clone() }),
            Some(new_fields) => push_field_changes(entity, old_fields, new_fields, &mut changes),
        }
    }
    for entity in new.keys().filter(|entity| !old.contains_key(entity)) {
        changes.push(Change::Added { entity: entity.clone() });
    }
    changes
}

/// `render_changes` writes one change a line.
pub fn render_changes(changes: &[Change]) -> String {
    let mut text = String::new();
    for change in changes {
        // Writing to a string does not fail.
        let _ = match change {
            Change::Added { entity } => writeln!(text, "+ {} {}", entity.kind, entity.name),
            Change::Removed { entity } => writeln!(text, "- {} {}", entity.kind, entity.name),
            Change::Changed { entity, field, old, new } => {
                writeln!(text, "~ {} {}: {field}: {old} -> {new}", entity.kind, entity.name)
            }
        };
    }
    text
}

type Fields = serde_json::Map<String, Value>;

fn entities(sheet: &Sheet) -> BTreeMap<Entity, Fields> {
    let mut entities = BTreeMap::new();
    add_entities("domain", &sheet.domains, &mut entities);
    add_entities("service", &sheet.services, &mut entities);
    add_entities("upstream", &sheet.upstreams, &mut entities);
    add_entities("team", &sheet.teams, &mut entities);
    entities
}

fn add_entities<T: Serialize>(
    kind: &'static str,
    entries: &[T],
    entities: &mut BTreeMap<Entity, Fields>,
) {
    for entry in entries {
        let Ok(Value::Object(mut fields)) = serde_json::to_value(entry) else { continue };
        let Some(Value::String(name)) = fields.remove("name") else { continue };
        entities.insert(Entity { kind, name }, fields);
    }
}

fn push_field_changes(entity: &Entity, old: &Fields, new: &Fields, changes: &mut Vec<Change>) {
    let names: std::collections::BTreeSet<&String> = old.keys().chain(new.keys()).collect();
    for field in names {
        let old_value = old.get(field).unwrap_or(&Value::Null);
        let new_value = new.get(field).unwrap_or(&Value::Null);
        if old_value != new_value {
            changes.push(Change::Changed {
                entity: entity.clone(),
                field: field.clone(),
                old: old_value.clone(),
                new: new_value.clone(),
            });
        }
    }
}
