//! Identifiers of hosts, services, targets, accounts, calls and daemons.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the name as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(Arc::from(text))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

name_type!(
    /// Name of a host; each host runs one daemon.
    HostName
);
name_type!(
    /// Name of a data centre.
    CentreName
);
name_type!(
    /// Name of a service that targets offer.
    ServiceName
);
name_type!(
    /// Name of one target of a service.
    TargetName
);
name_type!(
    /// Name of a client account.
    AccountName
);

/// Random id that an entry gives to each attempt of a call; unique over the lifetime of a
/// fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CallId(pub u128);

impl CallId {
    /// Generates a new id.
    #[must_use]
    pub fn random() -> Self {
        Self(uuid::Uuid::new_v4().as_u128())
    }
}

impl fmt::Display for CallId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

/// Random number that a daemon generates at each start; it identifies one run of the daemon
/// process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct DaemonIncarnation(pub u64);

impl DaemonIncarnation {
    /// Generates a new incarnation.
    #[must_use]
    pub fn random() -> Self {
        Self(uuid::Uuid::new_v4().as_u64_pair().0)
    }
}
