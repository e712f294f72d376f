//! Request digests: which attempts are of the same request.
//!
//! A caller's attempts come with new ids, on new connections and at other instances. Their content is the
//! same.

use bergamotpitch_core::ids::TeamId;

use crate::traffic::facts::PromptPart;

/// `RequestDigest` names a request by its content.
pub type RequestDigest = u64;

/// `RequestContent` is what all attempts of a request have in common.
#[derive(Debug, Clone, Copy)]
pub struct RequestContent<'a> {
    /// Its team: what one team sends cannot count against another one's requests.
    pub team: Option<TeamId>,
    /// Method.
    pub method: &'a str,
    /// Host, as the caller sent it.
    pub host: &'a [u8],
    /// Path and query.
    pub target: &'a str,
    /// Parts of the prompt, the request's own among them.
    pub prefix: &'a [PromptPart],
    /// Body.
    pub body: &'a [u8],
}

impl RequestContent<'_> {
    /// `digest` returns the name of the request.
    ///
    /// ```
    /// use bergamotpitch_control::traffic::request_digests::RequestContent;
    ///
    /// let content = RequestContent {
    ///     team: Some(7),
    ///     method: "GET",
    ///     host: b"florists.example",
    ///     target: "/orders/12",
    ///     prefix: &[],
    ///     body: b"",
    /// };
    /// assert_eq!(content.digest(), content.digest());
    /// assert_ne!(content.digest(), RequestContent { target: "/orders/13", ..content }.digest());
    /// ```
    pub fn digest(&self) -> RequestDigest {
        let mut hasher = blake3::Hasher::new();
        let mut add = |bytes: &[u8]| {
            // With its length, no field can be taken for the end of the one before.
            hasher.update(&(bytes.len() as u64).to_le_bytes());
            hasher.update(bytes);
        };
        add(&self.team.map_or(0, |team| u64::from(team) + 1).to_le_bytes());
        add(self.method.as_bytes());
        add(self.host);
        add(self.target.as_bytes());
        for part in self.prefix {
            add(&part.id.to_le_bytes());
            add(&part.tokens.to_le_bytes());
        }
        add(self.body);
        let digest = hasher.finalize();
        u64::from_le_bytes(std::array::from_fn(|index| digest.as_bytes()[index]))
    }
}
