//! Names and numbers that identify the parts of a fleet.

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
    /// The name of a host; one daemon runs on each.
    HostName
);
name_type!(
    /// The name of a data centre.
    CentreName
);
name_type!(
    /// The name of a service that targets offer.
    ServiceName
);
name_type!(
    /// The name of one target of a service.
    TargetName
);
name_type!(
    /// The name of a client account.
    AccountName
);

/// One call as its entry numbered it; unique over the fleet's life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CallId(pub u128);

impl CallId {
    /// Draws a new id.
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

/// One life of a daemon process; drawn anew at each start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct DaemonIncarnation(pub u64);

impl DaemonIncarnation {
    /// Draws a new incarnation.
    #[must_use]
    pub fn random() -> Self {
        Self(uuid::Uuid::new_v4().as_u64_pair().0)
    }
}
