//! What endpoints of these tests do with requests.

use strum::{EnumIter, VariantArray};

/// What an endpoint does with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, EnumIter, VariantArray)]
pub enum Behaviour {
    /// Runs it and responds.
    Respond,
    /// Runs it and responds with status 500.
    Fail,
    /// Rejects it without running it.
    Shed,
    /// Rejects it without running it, and asks for no requests for a minute.
    ShedForAMinute,
    /// Runs it and responds that it is leaving.
    Leave,
    /// Responds that the request is for another endpoint.
    OtherInstance,
    /// Closes the connection without running it.
    Close,
    /// Runs it and closes the connection without a response.
    RunAndClose,
    /// Runs it and closes the connection before the end of the response.
    Truncate,
    /// Runs it and responds without a length; the end of the connection ends the response.
    Unframed,
    /// Runs it and responds without a signature.
    Unsigned,
    /// Runs it and responds with an encoded body.
    Encoded,
    /// Runs it and sends bytes that are no response.
    Garbage,
    /// Sends the response to another request before its own.
    StaleFirst,
    /// Sends the response to another request instead of its own, and closes the connection.
    StaleOnly,
    /// Sends its response twice.
    Twice,
    /// Runs it and sends informational responses without end.
    EndlessInformational,
    /// Runs it and sends a header field without end.
    EndlessHeader,
    /// Runs it and sends header fields without end.
    EndlessHead,
    /// Runs it and sends a body without a length and without end.
    EndlessBody,
    /// Runs it and sends chunks without end.
    EndlessChunks,
    /// Runs it and sends an extension of a chunk without end.
    EndlessExtension,
    /// Runs it and sends small chunks with large extensions without end.
    EndlessExtensions,
    /// Runs it and sends trailer fields without end.
    EndlessTrailers,
    /// Runs it and sends responses to other requests without end.
    EndlessStale,
    /// Runs it once the test releases it.
    Hold,
    /// Runs it, and closes the connection without a response once the test releases it.
    HoldAndClose,
}

/// A response of an endpoint that has run the request.
pub fn response(id: &str, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 200 OK\r\nId: {id}\r\nSeal: s\r\nContent-Length: {length}\r\n\r\n{body}")
}

/// Head of a response with a chunked body.
fn chunked(id: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nId: {id}\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n")
}

/// Head of a response without end, and what is repeated behind it; `None` if the behaviour is no such response.
pub fn endless_response(behaviour: Behaviour, id: &str) -> Option<(String, String)> {
    let ok = "HTTP/1.1 200 OK\r\n";
    let (head, part) = match behaviour {
        Behaviour::EndlessInformational => (String::new(), "HTTP/1.1 102 Processing\r\n\r\n"),
        Behaviour::EndlessHeader => (format!("{ok}A: "), "a"),
        Behaviour::EndlessHead => (ok.to_owned(), "A: b\r\n"),
        Behaviour::EndlessBody => (format!("{ok}Id: {id}\r\nSeal: s\r\n\r\n"), "body"),
        Behaviour::EndlessChunks => (chunked(id), "4\r\nbody\r\n"),
        Behaviour::EndlessExtension => (chunked(id) + "4;", "e"),
        Behaviour::EndlessExtensions => {
            let chunk = format!("1;{}\r\nb\r\n", "e".repeat(900));
            return Some((chunked(id), chunk));
        }
        Behaviour::EndlessTrailers => (chunked(id) + "0\r\n", "A: b\r\n"),
        Behaviour::EndlessStale => return Some((String::new(), response("another", "stale"))),
        _ => return None,
    };
    Some((head, part.to_owned()))
}
