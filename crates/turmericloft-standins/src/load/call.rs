//! Calls to send.

use bytes::Bytes;
use http::{
    HeaderName, HeaderValue, Method, Request,
    header::{AUTHORIZATION, HOST},
};
use http_body_util::Full;

/// Text in a path or header value that is replaced by the number of the call.
const NUMBER_PLACEHOLDER: &str = "{n}";

/// What calls are counted by in the results.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CallKey {
    /// The caller.
    pub caller: String,
    /// The service.
    pub service: String,
    /// The kind of request.
    pub kind: String,
}

/// One sort of call. `{n}` in the path and in header values becomes the call's number, so that
/// each call can have a key of its own.
#[derive(Clone, Debug)]
pub struct Call {
    /// What the call is counted by.
    pub key: CallKey,
    /// Share among the calls of the plan.
    pub weight: u32,
    /// Method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Bearer token.
    pub token: String,
    /// Further headers.
    pub headers: Vec<(HeaderName, String)>,
    /// Body.
    pub body: Bytes,
}

impl Call {
    /// A GET of `path` with `token`.
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

    /// The request of call number `n`.
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
