//! Identifiers, with a separate type for each kind so that they cannot be confused.
//!
//! Names are reference-counted strings, because many requests hold the same name at the same time.

use std::sync::Arc;

use derive_more::Display;
use derive_more::From;
use serde::Deserialize;
use serde::Serialize;

macro_rules! name_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Debug, Display, From, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        #[from(Arc<str>, &str, String)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl AsRef<str> for $name {
            fn as_ref(&self) -> &str {
                &self.0
            }
        }

        impl std::borrow::Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }
    };
}

name_id!(
    /// The name of an instance, which is one process of the system.
    InstanceId
);
name_id!(
    /// The name of an availability zone.
    ZoneId
);
name_id!(
    /// The name of a workspace, to which keys, limits and usage belong.
    WorkspaceId
);
name_id!(
    /// The name of an endpoint, which is a model engine or a server of another kind.
    EndpointId
);
name_id!(
    /// The name of a request class, which has a tier and targets.
    ClassId
);
name_id!(
    /// The name of a route, which maps requests to endpoints.
    RouteId
);
name_id!(
    /// The name of a service, which is a group of equivalent endpoints that routes refer to.
    ServiceId
);
name_id!(
    /// Identifies a key without revealing it.
    KeyId
);
name_id!(
    /// The name of a model or of a model adapter.
    ModelId
);
name_id!(
    /// Identifies a submission of a configuration change, so that a resend is recognized.
    ChangeId
);

/// Identifies a request on one instance; it is displayed as sixteen hexadecimal digits.
#[derive(
    Clone, Copy, Debug, Display, From, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{_0:016x}")]
#[serde(transparent)]
pub struct RequestId(pub u64);
