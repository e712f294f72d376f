//! Entries of the key-value service: reads, watches and compare-and-swap writes.

use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use http::{Method, StatusCode};
use serde::{Deserialize, Deserializer};

use crate::clients::{Platform, VALUE_LIMIT_BYTES};
use crate::errors::{Error, Result, conflict_error, malformed_error};

/// `Entry` is a key with its value and the numbers that guard it.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Entry {
    /// The key.
    pub key: String,
    /// The value.
    #[serde(deserialize_with = "bytes_of_base64")]
    pub value: Vec<u8>,
    /// Number of the last change; a compare-and-swap names it.
    pub modify_index: u64,
    /// Number of times that the key was locked; it is the fencing number of the lock.
    #[serde(default)]
    pub lock_index: u64,
    /// Session that holds the lock.
    #[serde(default)]
    pub session: Option<String>,
}

/// `Watched` is what a watch saw.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Watched {
    /// The entry; none when the key is absent.
    pub entry: Option<Entry>,
    /// Index to name in the next watch.
    pub index: u64,
}

impl Platform {
    /// `get` reads a key.
    ///
    /// # Errors
    ///
    /// `Unreachable`, `RateLimited` or `Malformed`.
    pub async fn get(&self, key: &str) -> Result<Option<Entry>> {
        let path = format!("/v1/kv/{key}");
        let answer = self.read(&path, Duration::ZERO).await?;
        parse_entry(key, answer.status, &answer.body)
    }

    /// `watch` waits until a key changes from the given index, or until the wait of the options
    /// is over. Index 0 returns at once.
    ///
    /// # Errors
    ///
    /// `Unreachable`, `RateLimited` or `Malformed`.
    pub async fn watch(&self, key: &str, index: u64) -> Result<Watched> {
        let wait = self.options().watch_wait;
        let path = format!("/v1/kv/{key}?index={index}&wait={}ms", wait.as_millis());
        let answer = self.read(&path, wait).await?;
        let entry = parse_entry(key, answer.status, &answer.body)?;
        // A watch from index 0 is answered at once, so that an answer without an index would make
        // whoever goes on from it call the platform without a pause.
        if answer.index == 0 {
            return Err(malformed_error(key, "the answer to a watch names no index"));
        }
        Ok(Watched { entry, index: answer.index })
    }

    /// `put_cas` writes a key if it has not changed since `base_index`; 0 writes an absent key.
    ///
    /// # Errors
    ///
    /// `Conflict`, `Unreachable`, `RateLimited` and `TooLarge` when the write had no effect,
    /// `LostAnswer` when that is unknown.
    ///
    /// ```
    /// # tokio::runtime::Runtime::new().unwrap().block_on(async {
    /// use bergamotpitch_platform::{Error, Options, Platform};
    /// use bergamotpitch_standin::platforms::{PlatformOptions, start_platform};
    /// # let addresses = vec!["127.0.0.1:0".parse().unwrap()];
    /// # let options = PlatformOptions { addresses, rates: Default::default(), list_lag_ms: 0 };
    /// let standin = start_platform(options).await.unwrap();
    /// let address = standin.addresses[0];
    /// let platform = Platform::new(Options { address, ..Options::default() });
    /// platform.put_cas("key", "first".into(), 0).await.unwrap();
    /// let second = platform.put_cas("key", "second".into(), 0).await;
    /// assert_eq!(second, Err(Error::Conflict { key: "key".to_owned() }));
    /// assert_eq!(platform.get("key").await.unwrap().unwrap().value, b"first");
    /// # });
    /// ```
    pub async fn put_cas(&self, key: &str, value: Bytes, base_index: u64) -> Result<()> {
        if VALUE_LIMIT_BYTES < value.len() {
            return Err(Error::TooLarge {
                key: key.to_owned(),
                size_bytes: value.len(),
                limit_bytes: VALUE_LIMIT_BYTES,
            });
        }
        let path = format!("/v1/kv/{key}?cas={base_index}");
        let answer = self.write(Method::PUT, &path, value).await?;
        if is_true(key, &answer.body)? { Ok(()) } else { Err(conflict_error(key)) }
    }

    /// `delete` removes a key.
    ///
    /// # Errors
    ///
    /// `Unreachable` and `RateLimited` when nothing was removed, `LostAnswer` when that is unknown.
    pub async fn delete(&self, key: &str) -> Result<()> {
        self.write(Method::DELETE, &format!("/v1/kv/{key}"), Bytes::new()).await?;
        Ok(())
    }
}

/// `is_true` reads the answer of a write.
pub(crate) fn is_true(what: &str, body: &[u8]) -> Result<bool> {
    match body.trim_ascii() {
        b"true" => Ok(true),
        b"false" => Ok(false),
        other => Err(malformed_error(
            what,
            format!("\"{}\" is neither true nor false", String::from_utf8_lossy(other)),
        )),
    }
}

fn parse_entry(key: &str, status: StatusCode, body: &[u8]) -> Result<Option<Entry>> {
    if status == StatusCode::NOT_FOUND {
        return Ok(None);
    }
    let entries: Vec<Entry> =
        serde_json::from_slice(body).map_err(|error| malformed_error(key, error.to_string()))?;
    Ok(entries.into_iter().next())
}

fn bytes_of_base64<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> std::result::Result<Vec<u8>, D::Error> {
    let text = Option::<String>::deserialize(deserializer)?;
    STANDARD.decode(text.unwrap_or_default()).map_err(serde::de::Error::custom)
}
