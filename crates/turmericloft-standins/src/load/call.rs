//! Templates of the calls to send.

use bytes::Bytes;
use http::{
    HeaderName, HeaderValue, Method, Request,
    header::{AUTHORIZATION, HOST},
};
use http_body_util::Full;

/// Placeholder in paths and header values for the number of the call.
const NUMBER_PLACEHOLDER: &str = "{n}";

/// Key by which calls are grouped in the results.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CallKey {
    /// Name of the caller.
    pub caller: String,
    /// Name of the service.
    pub service: String,
    /// Name of the kind of request.
    pub kind: String,
}

/// Template of a call. `{n}` in the path and in header values is replaced by the call's number, so
/// that each call can have an idempotency key of its own.
#[derive(Clone, Debug)]
pub struct CallTemplate {
    /// Key by which calls of this template are grouped in the results.
    pub key: CallKey,
    /// Relative frequency among the templates of the plan.
    pub weight: u32,
    /// HTTP method.
    pub method: Method,
    /// Path and query, with placeholders.
    pub path: String,
    /// Bearer token, sent as the `authorization` header.
    pub token: String,
    /// Additional headers, whose values can contain placeholders.
    pub headers: Vec<(HeaderName, String)>,
    /// Request body.
    pub body: Bytes,
}

impl CallTemplate {
    /// Creates a template of weight 1 for a GET of `path` with `token`, without a body.
    pub fn get(path: &str, token: &str) -> Self {
        Self {
            key: CallKey::default(),
            weight: 1,
            method: Method::GET,
            path: path.to_owned(),
            token: token.to_owned(),
            headers: Vec::new(),
            body: Bytes::new(),
        }
    }

    /// Builds the request of call number `n`.
    pub(super) fn request(&self, n: u64) -> http::Result<Request<Full<Bytes>>> {
        let number = n.to_string();
        let mut req = Request::builder()
            .method(&self.method)
            .uri(self.path.replace(NUMBER_PLACEHOLDER, &number))
            .header(HOST, "gateway")
            .header(AUTHORIZATION, format!("Bearer {}", self.token));
        for (name, value) in &self.headers {
            let value = value.replace(NUMBER_PLACEHOLDER, &number);
            req = req.header(name, HeaderValue::try_from(value)?);
        }
        req.body(Full::new(self.body.clone()))
    }
}
