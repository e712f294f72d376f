//! Parsing of JSON documents with comments.

use serde::de::DeserializeOwned;

use crate::errors::{Result, field_error};

/// `parse_document` reads a JSON document that may hold comments.
///
/// # Errors
///
/// Names the file, the path of the field and the reason when the text is not JSON, when a field is
/// unknown or missing, or when a value has the wrong type.
///
/// ```
/// use bergamotpitch_core::documents::parse_document;
/// let numbers: Vec<u32> = parse_document("example.json", "[1, /* two */ 2]").unwrap();
/// assert_eq!(numbers, [1, 2]);
/// ```
pub fn parse_document<T: DeserializeOwned>(file: &str, text: &str) -> Result<T> {
    let stripped = json_comments::StripComments::new(text.as_bytes());
    let mut deserializer = serde_json::Deserializer::from_reader(stripped);
    let document = serde_path_to_error::deserialize(&mut deserializer)
        .map_err(|error| field_error(file, &error.path().to_string(), error.inner().to_string()))?;
    deserializer.end().map_err(|error| field_error(file, "end of document", error.to_string()))?;
    Ok(document)
}
