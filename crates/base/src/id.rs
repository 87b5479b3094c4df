//! Names and numbers that identify things.
//!
//! A name is 1 to 63 characters of `a`-`z`, `0`-`9`, `.`, `_` and `-`, and
//! starts with a letter or digit, so that it can stand in a URL path, a store
//! key and an INI section header without escaping.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Deserializer, Serialize, Serializer};
use smol_str::SmolStr;
use snafu::Snafu;

/// Longest accepted name, in bytes.
pub(crate) const NAME_MAX_BYTES: usize = 63;

/// A name or number that is not a valid id.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum IdError {
    /// The name is empty or too long.
    #[snafu(display("a name has 1 to {NAME_MAX_BYTES} characters, this one has {length}"))]
    Length {
        /// Length of the refused text in bytes.
        length: usize,
    },
    /// The name has a character that is not allowed at its place.
    #[snafu(display(
        "`{name}` has `{found}`: a name has a-z, 0-9, `.`, `_` and `-`, and starts with a letter or digit"
    ))]
    Character {
        /// The refused text.
        name: SmolStr,
        /// The first character that is not allowed.
        found: char,
    },
    /// A number in hexadecimal digits was expected.
    #[snafu(display("`{text}` is not an id of 1 to 32 hexadecimal digits"))]
    Hex {
        /// The refused text.
        text: SmolStr,
    },
}

fn check_name(name: &str) -> Result<SmolStr, IdError> {
    if name.is_empty() || name.len() > NAME_MAX_BYTES {
        return Err(IdError::Length { length: name.len() });
    }
    let allowed = |(at, c): (usize, char)| {
        c.is_ascii_lowercase() || c.is_ascii_digit() || (at > 0 && matches!(c, '.' | '_' | '-'))
    };
    match name.char_indices().find(|&each| !allowed(each)) {
        Some((_, found)) => Err(IdError::Character { name: name.into(), found }),
        None => Ok(name.into()),
    }
}

macro_rules! name_ids {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
        #[serde(transparent)]
        pub struct $name(SmolStr);

        impl $name {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<$name, IdError> {
                check_name(text).map($name)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.pad(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}({})", stringify!($name), self.0)
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(from: D) -> Result<$name, D::Error> {
                let text = SmolStr::deserialize(from)?;
                text.parse().map_err(serde::de::Error::custom)
            }
        }
    )*};
}

name_ids! {
    /// A team: callers that share a key, a share and an upper limit.
    TeamId;
    /// A customer's plan, one section of the list `plans`.
    PlanId;
    /// A queue that callers send calls and jobs to.
    QueueId;
    /// A pool of hosts.
    PoolId;
    /// A host: an endpoint instance or a worker.
    HostId;
    /// A rack of hosts, which can fail as one.
    RackId;
    /// An availability zone.
    ZoneId;
    /// A region of availability zones.
    RegionId;
    /// An entry host of the system, by the name in its settings.
    NodeId;
}

macro_rules! hex_ids {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(u128);

        impl $name {
            /// Makes an id from a number; the caller sees to its uniqueness.
            pub const fn new(value: u128) -> $name {
                $name(value)
            }

            /// Returns the id as a number.
            pub const fn value(self) -> u128 {
                self.0
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<$name, IdError> {
                let digits = text.len() <= 32 && text.bytes().all(|b| b.is_ascii_hexdigit());
                let value = if digits { u128::from_str_radix(text, 16).ok() } else { None };
                value.map($name).ok_or_else(|| IdError::Hex { text: text.chars().take(40).collect() })
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{:032x}", self.0)
            }
        }

        // Text formats such as JSON have no numbers of 128 bits.
        impl Serialize for $name {
            fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
                if to.is_human_readable() { to.collect_str(self) } else { to.serialize_u128(self.0) }
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(from: D) -> Result<$name, D::Error> {
                if !from.is_human_readable() {
                    return u128::deserialize(from).map($name);
                }
                let text = SmolStr::deserialize(from)?;
                text.parse().map_err(serde::de::Error::custom)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}({:x})", stringify!($name), self.0)
            }
        }
    )*};
}

hex_ids! {
    /// A job, unique over all entry hosts and time.
    JobId;
    /// One request of a caller as the entry host received it.
    RequestId;
}
