//! The head of a stream that another endpoint may continue.

use http::HeaderMap;
use http::header;

use crate::answer::EVENT_STREAM;
use crate::event_framer::EventFramer;
use crate::route_table::RetryPolicy;
use crate::upstream::Answer;
use crate::upstream::Delimiter;

/// The part of the head of an event stream that its continuation must share.
///
/// The caller received the head of the first endpoint only, so the body of a response that has another one
/// would be read as what it is not.
#[derive(Clone, Debug)]
pub(crate) struct StreamHead {
    /// Media type without its parameters, if it was stated.
    kind: Option<String>,
}

impl StreamHead {
    /// Returns the head of an event stream, or `None` if the response is something else.
    ///
    /// Without a stated media type, a response on a route for streams is taken for one.
    pub(crate) fn of(answer: &Answer, route: RetryPolicy) -> Option<Self> {
        let kind = media_type(&answer.headers);
        let is_events = match kind.as_deref() {
            Some(kind) => kind == EVENT_STREAM,
            None => route.is_stream(),
        };
        (answer.status == 200 && is_events).then_some(Self { kind })
    }

    /// Returns whether the end of an endpoint's body shows that the stream is complete
    /// (`docs/platform.md`, "When an answer is complete").
    ///
    /// The end of a connection shows least: it must follow a whole event, since an endpoint that fails closes its
    /// connections as well.
    pub(crate) fn is_complete(&self, end: Delimiter, events: &EventFramer) -> bool {
        match end {
            Delimiter::Close => events.has_event() && !events.is_partial(),
            // A body of no stated type that holds no event is not an event stream after all.
            Delimiter::Length | Delimiter::Chunks => {
                !events.is_partial() || (self.kind.is_none() && !events.has_event())
            }
        }
    }

    /// Returns whether a response can continue the stream.
    pub(crate) fn is_continued_by(&self, answer: &Answer) -> bool {
        answer.status == 200 && media_type(&answer.headers) == self.kind
    }
}

fn media_type(headers: &HeaderMap) -> Option<String> {
    let value = headers.get(header::CONTENT_TYPE)?;
    let value = String::from_utf8_lossy(value.as_bytes());
    let kind = value.split(';').next().unwrap_or_default();
    Some(kind.trim().to_ascii_lowercase())
}
