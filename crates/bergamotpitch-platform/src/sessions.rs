//! Sessions and the locks that they hold: the platform's leases.

use std::time::Duration;

use bytes::Bytes;
use http::{Method, StatusCode};
use serde::{Deserialize, Serialize};

use crate::clients::Platform;
use crate::entries::is_true;
use crate::errors::{Result, malformed_error};

/// `SessionId` names a session.
pub type SessionId = String;

#[derive(Serialize)]
#[serde(rename_all = "PascalCase")]
struct NewSession {
    #[serde(rename = "TTL")]
    ttl: String,
    behavior: &'static str,
    lock_delay: &'static str,
}

#[derive(Deserialize)]
struct CreatedSession {
    #[serde(rename = "ID")]
    id: SessionId,
}

impl Platform {
    /// `create_session` opens a session that ends when it is not renewed within `ttl`.
    ///
    /// # Errors
    ///
    /// As for any write. A session whose answer was lost is never used and ends by itself.
    pub async fn create_session(&self, ttl: Duration) -> Result<SessionId> {
        let wish = NewSession {
            ttl: format!("{}s", ttl.as_secs().max(1)),
            behavior: "release",
            lock_delay: "0s",
        };
        let path = "/v1/session/create";
        let body = serde_json::to_vec(&wish).map_err(|e| malformed_error(path, e.to_string()))?;
        let answer = self.write(Method::PUT, path, Bytes::from(body)).await?;
        let created: CreatedSession = serde_json::from_slice(&answer.body)
            .map_err(|error| malformed_error(path, error.to_string()))?;
        Ok(created.id)
    }

    /// `renew_session` extends a session by its time; it says whether the session still lives.
    ///
    /// # Errors
    ///
    /// As for any write.
    pub async fn renew_session(&self, session: &str) -> Result<bool> {
        let path = format!("/v1/session/renew/{session}");
        let answer = self.write(Method::PUT, &path, Bytes::new()).await?;
        Ok(answer.status == StatusCode::OK)
    }

    /// `destroy_session` ends a session and frees its locks.
    ///
    /// # Errors
    ///
    /// As for any write; the session ends by itself when it is not renewed.
    pub async fn destroy_session(&self, session: &str) -> Result<()> {
        let path = format!("/v1/session/destroy/{session}");
        self.write(Method::PUT, &path, Bytes::new()).await?;
        Ok(())
    }

    /// `acquire_lock` locks a key for a session; it says whether the session holds it now.
    ///
    /// # Errors
    ///
    /// As for any write.
    pub async fn acquire_lock(&self, key: &str, session: &str, value: Bytes) -> Result<bool> {
        let path = format!("/v1/kv/{key}?acquire={session}");
        let answer = self.write(Method::PUT, &path, value).await?;
        is_true(key, &answer.body)
    }

    /// `release_lock` frees a key that the session holds.
    ///
    /// # Errors
    ///
    /// As for any write.
    pub async fn release_lock(&self, key: &str, session: &str) -> Result<()> {
        let path = format!("/v1/kv/{key}?release={session}");
        self.write(Method::PUT, &path, Bytes::new()).await?;
        Ok(())
    }
}
