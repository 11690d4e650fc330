//! Check of a server whose answer ended with its connection, after which the answer counts as complete or not.

use std::time::Duration;

use plumgate::gateway::{FAILURE_WINDOW, ServerCheck, ServerEntry, ServerSign};

use super::connection_cause::{ConnectionCause, ConnectionPurpose};
use super::incarnations::ServerIncarnation;
use super::server_connection::{CONNECT_TIMEOUT, ConnectFailure, open_server};
use super::shared::GatewayShared;
use crate::clock::Clock;

/// Time from the end of an answer until its server is checked: a process that ends closes its listener last.
const CHECK_DELAY: Duration = FAILURE_WINDOW;

impl<C: Clock, W> GatewayShared<C, W> {
    /// Waits until it is known whether a server failed when one of its answers ended, which is now. Takes
    /// [`CHECK_DELAY`] and the time of a new connection at most.
    pub(crate) async fn sign_of_end(
        &self,
        server: &ServerEntry,
        incarnation: &ServerIncarnation,
    ) -> (ServerSign, Option<ServerCheck>) {
        let ended_at = self.clock.boot_time();
        let sign = incarnation.failure_sign(&self.clock).await;
        if sign == ServerSign::Failed {
            return (sign, None);
        }
        let waited = self.clock.boot_time().saturating_sub(ended_at);
        self.clock.sleep(CHECK_DELAY.saturating_sub(waited)).await;
        let check = self.check_server(server).await;
        match check {
            ServerCheck::Refused => incarnation.record_failure(ended_at),
            ServerCheck::Reached => {}
            // Another answer that ended at the same moment may have been checked before the server was given up.
            ServerCheck::Silent if incarnation.has_failed_at(ended_at) => {
                return (ServerSign::Failed, Some(check));
            }
            ServerCheck::Silent => {}
        }
        (check.into(), Some(check))
    }

    /// Opens a connection to a server, through another node if need be, and closes it.
    async fn check_server(&self, server: &ServerEntry) -> ServerCheck {
        let deadline = self.clock.now() + CONNECT_TIMEOUT;
        let purpose = ConnectionPurpose::check(ConnectionCause::ServerCheck);
        let opened = open_server(self, server, purpose, deadline).await;
        match opened {
            Ok(_) => ServerCheck::Reached,
            Err(ConnectFailure::Refused) => ServerCheck::Refused,
            Err(ConnectFailure::Silent | ConnectFailure::Paused) => ServerCheck::Silent,
        }
    }
}
