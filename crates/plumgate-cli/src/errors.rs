//! Error type of the tool and its exit codes.

use std::process::ExitCode;

use displaydoc::Display;
use plumgate::FindingList;

/// Result with the error type of the tool.
pub(crate) type Result<T> = std::result::Result<T, Error>;

/// Failure of a command.
#[derive(Debug, Display)]
pub(crate) enum Error {
    /// {0}
    Findings(FindingList),
    /// {0}: {1}
    File(String, std::io::Error),
    /// version {0} was applied meanwhile by {1}; your change was not applied. Version {0} changed:{2}
    Conflict(u64, String, String),
    /// the platform does not answer; nothing was applied
    NotApplied,
    /// the platform does not answer; it is unknown whether the change was applied. Search "plumgate history" for change {0}
    InDoubt(String),
    /// no configuration was applied yet
    NoConfig,
    /// there is no version {0}
    NoVersion(u64),
    /// "{0}" is not a backend server
    NoServer(String),
    /// version {0} is not in force in: {1}
    NotInForce(u64, String),
    /// standard input has no key
    NoKey,
    /// no node answers at the addresses given by --nodes
    NoNode,
}

impl std::error::Error for Error {}

impl Error {
    /// Returns the exit code, as listed in the operators' documentation.
    pub(crate) fn exit_code(&self) -> ExitCode {
        let code = match self {
            Self::Findings(_) | Self::File(..) | Self::NoServer(_) | Self::NoKey => 2,
            Self::Conflict(..) => 3,
            Self::NotApplied | Self::NoNode => 4,
            Self::InDoubt(_) => 5,
            Self::NotInForce(..) => 6,
            Self::NoConfig | Self::NoVersion(_) => 7,
        };
        ExitCode::from(code)
    }
}
