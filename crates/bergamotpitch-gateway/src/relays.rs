//! Relays: documents of the platform's store that instances hand to each other.
//!
//! The store may turn one instance away and serve the others, and it may be out of reach when an
//! instance starts. Without a relay such an instance would work by an old configuration, or by
//! none, although the instance beside it knows the present one.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Full, Limited};
use serde::{Deserialize, Serialize};

use crate::connections::connect;
use crate::probes::DOCUMENTS_PATH;

/// `FETCH_TIMEOUT` is the time for all documents of a peer to come: a megabyte over a slow link.
const FETCH_TIMEOUT: Duration = Duration::from_millis(1_500);

/// `FETCH_LIMIT_BYTES` bounds what is read of a peer.
const FETCH_LIMIT_BYTES: usize = 8 << 20;

/// `Document` is one entry of the platform's store, as it was read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// Its key.
    pub key: String,
    /// Revision of its last change.
    pub revision: u64,
    /// Its value.
    pub value: Vec<u8>,
}

/// `Documents` are the newest known documents, by key.
pub type Documents = BTreeMap<String, Document>;

/// `encode` writes all documents for a peer.
pub fn encode(documents: &Documents) -> Bytes {
    let documents: Vec<&Document> = documents.values().collect();
    match postcard::to_stdvec(&documents) {
        Ok(bytes) => Bytes::from(bytes),
        Err(error) => {
            log::warn!("event=documents_not_encoded error={error}");
            Bytes::new()
        }
    }
}

/// `fetch` reads all documents of a peer.
///
/// # Errors
///
/// Fails, with a reason for the log, when the peer does not answer in time or not in this form.
pub async fn fetch(peer: SocketAddr) -> Result<Vec<Document>, String> {
    match tokio::time::timeout(FETCH_TIMEOUT, fetch_all(peer)).await {
        Ok(result) => result,
        Err(_) => Err("no answer in time".to_owned()),
    }
}

async fn fetch_all(peer: SocketAddr) -> Result<Vec<Document>, String> {
    let mut sender = connect(peer).await.map_err(|error| error.to_string())?;
    let request = Request::get(DOCUMENTS_PATH)
        .header(http::header::HOST, peer.to_string())
        .body(Full::new(Bytes::new()))
        .map_err(|error| error.to_string())?;
    let response = sender.send_request(request).await.map_err(|error| error.to_string())?;
    let body = Limited::new(response.into_body(), FETCH_LIMIT_BYTES)
        .collect()
        .await
        .map_err(|error| error.to_string())?;
    postcard::from_bytes(&body.to_bytes()).map_err(|error| error.to_string())
}
