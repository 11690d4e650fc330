//! Body of a server's answer, read together with the connection that carries it.

use std::error::Error;
use std::io;

use bytes::Bytes;
use hyper::Response;
use hyper::body::Incoming;
use hyper::http::response::Parts;
use plumgate::gateway::{AnswerFraming, BodyEnd};

use crate::answer_framing::read_framing;
use crate::link::HttpLink;

/// Body of a server's answer.
pub(crate) struct ServerBody {
    link: HttpLink,
    body: Incoming,
    framing: AnswerFraming,
}

/// Next input from a body.
pub(crate) enum BodyInput {
    /// Further bytes; none for a frame without data.
    Bytes(Bytes),
    /// The end of the bytes.
    End(BodyEnd),
}

impl ServerBody {
    /// Splits a response into its head and its body.
    pub(crate) fn new(response: Response<Incoming>, link: HttpLink) -> (Parts, Self) {
        let (head, body) = response.into_parts();
        let framing = read_framing(&head.headers, &body);
        (
            head,
            Self {
                link,
                body,
                framing,
            },
        )
    }

    /// Returns the way in which the end of the body is marked.
    pub(crate) fn framing(&self) -> AnswerFraming {
        self.framing
    }

    /// Waits for further bytes, or the end.
    pub(crate) async fn next(&mut self) -> BodyInput {
        match self.link.frame(&mut self.body).await {
            Some(Ok(frame)) => BodyInput::Bytes(frame.into_data().unwrap_or_default()),
            Some(Err(error)) if is_early_close(&error) => BodyInput::End(BodyEnd::Closed),
            Some(Err(_)) => BodyInput::End(BodyEnd::Reset),
            None if self.framing == AnswerFraming::Connection => BodyInput::End(BodyEnd::Closed),
            None => BodyInput::End(BodyEnd::Marked),
        }
    }

    /// Returns whether the connection was cut between this node and the one that opened it for this node.
    pub(crate) fn has_lost_path(&self) -> bool {
        self.link.has_lost_path()
    }

    /// Returns the connection.
    pub(crate) fn into_link(self) -> HttpLink {
        self.link
    }
}

/// Returns whether the peer closed the connection in order, before the end of the body.
fn is_early_close(error: &hyper::Error) -> bool {
    let mut source = error.source();
    while let Some(cause) = source {
        if let Some(error) = cause.downcast_ref::<io::Error>() {
            return error.kind() == io::ErrorKind::UnexpectedEof;
        }
        source = cause.source();
    }
    false
}
