//! Why this node uses a connection to a server, for the metric of connections.

use super::metrics::ServerConnectionLabels;
use super::shared::GatewayShared;

/// Reason for which a connection to a server is opened or reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnectionCause {
    /// The first attempt of a request.
    FirstTry,
    /// Another attempt, as a server refused the request, failed or could not be reached.
    Retry,
    /// A stream that broke goes on.
    Resume,
    /// Another server is asked, as the first one is silent.
    SecondServer,
    /// This node checks whether it reaches a server or a data centre again.
    PathProbe,
    /// This node checks whether a server has crashed.
    ServerCheck,
    /// Another node asked for the connection.
    Tunnel,
}

/// What a connection to a server is used for.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ConnectionPurpose<'a> {
    /// Why it is opened.
    pub(crate) cause: ConnectionCause,
    /// Id of the request that it is for; `None` for a probe or check.
    pub(crate) request: Option<&'a str>,
}

impl<'a> ConnectionPurpose<'a> {
    /// Creates the purpose of a connection for a request.
    pub(crate) fn new(cause: ConnectionCause, request: &'a str) -> Self {
        Self {
            cause,
            request: Some(request),
        }
    }

    /// Creates the purpose of a connection without a request.
    pub(crate) fn check(cause: ConnectionCause) -> Self {
        Self {
            cause,
            request: None,
        }
    }
}

impl ConnectionCause {
    /// Returns the name used in metrics.
    fn as_str(self) -> &'static str {
        match self {
            Self::FirstTry => "first_try",
            Self::Retry => "retry",
            Self::Resume => "resume",
            Self::SecondServer => "second_server",
            Self::PathProbe => "path_probe",
            Self::ServerCheck => "server_check",
            Self::Tunnel => "tunnel",
        }
    }
}

impl<C, W> GatewayShared<C, W> {
    /// Counts a connection to a server. The result is that of a direct connection, or `reused`, `tunnelled` (another
    /// node opened it) or `paused` (it was not tried, as the server has just not been reached).
    pub(crate) fn record_connection(&self, cause: ConnectionCause, result: &'static str) {
        let cause = cause.as_str();
        let labels = ServerConnectionLabels { cause, result };
        self.metrics
            .paths
            .server_connections
            .get_or_create(&labels)
            .inc();
    }
}
