//! The fields of a struct, as its deserialization asks for them.

use std::fmt;

use serde::de::{self, DeserializeOwned, Deserializer, Visitor};

/// `fields_of` returns the names of a struct's fields.
pub fn fields_of<T: DeserializeOwned>() -> &'static [&'static str] {
    match T::deserialize(FieldNames) {
        Err(Found(fields)) => fields,
        Ok(_) => &[],
    }
}

/// `Found` carries the names out of a deserialization that it ends.
#[derive(Debug)]
struct Found(&'static [&'static str]);

impl fmt::Display for Found {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:?}", self.0)
    }
}

impl std::error::Error for Found {}

impl de::Error for Found {
    fn custom<T: fmt::Display>(_message: T) -> Self {
        Self(&[])
    }
}

struct FieldNames;

impl<'de> Deserializer<'de> for FieldNames {
    type Error = Found;

    fn deserialize_any<V: Visitor<'de>>(self, _visitor: V) -> Result<V::Value, Found> {
        Err(Found(&[]))
    }

    fn deserialize_struct<V: Visitor<'de>>(
        self,
        _name: &'static str,
        fields: &'static [&'static str],
        _visitor: V,
    ) -> Result<V::Value, Found> {
        Err(Found(fields))
    }

    serde::forward_to_deserialize_any! {
        bool i8 i16 i32 i64 i128 u8 u16 u32 u64 u128 f32 f64 char str string bytes byte_buf option
        unit unit_struct newtype_struct seq tuple tuple_struct map enum identifier ignored_any
    }
}
