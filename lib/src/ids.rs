//! Identifiers, each a type of its own so that they cannot be mixed up.
//!
//! Names given by operators are shared strings, because one name is held by many requests at once.

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
    /// Names one process of the system.
    InstanceId
);
name_id!(
    /// Names an availability zone.
    ZoneId
);
name_id!(
    /// Names a workspace, the unit that keys, limits and usage belong to.
    WorkspaceId
);
name_id!(
    /// Names an endpoint, which is a model engine or a plain service.
    EndpointId
);
name_id!(
    /// Names a request class with its tier and targets.
    ClassId
);
name_id!(
    /// Names a route from a class to endpoints.
    RouteId
);
name_id!(
    /// Names a service, a group of like endpoints that routes lead to.
    ServiceId
);
name_id!(
    /// Names a key without revealing it.
    KeyId
);
name_id!(
    /// Names a model or an adapter.
    ModelId
);
name_id!(
    /// Names one submission of a configuration change, so that a resend is recognised.
    ChangeId
);

/// Names one request on one instance; it is printed as sixteen hexadecimal digits.
#[derive(
    Clone, Copy, Debug, Display, From, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{_0:016x}")]
#[serde(transparent)]
pub struct RequestId(pub u64);
