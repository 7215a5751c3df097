//! Text newtypes that are validated when they are created.

/// Defines a text id whose `FromStr` and `Deserialize` make the same check.
macro_rules! text_id {
    ($(#[$doc:meta])* $name:ident, $max:expr) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[derive(Serialize, Deserialize)]
        #[serde(try_from = "CompactString", into = "CompactString")]
        pub struct $name(CompactString);

        impl $name {
            /// Maximum length in bytes.
            pub const MAX: usize = $max;

            /// Returns the text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(s: &str) -> Result<Self, IdError> {
                check_text(s, Self::MAX)?;
                Ok($name(CompactString::new(s)))
            }
        }

        impl TryFrom<CompactString> for $name {
            type Error = IdError;

            fn try_from(s: CompactString) -> Result<Self, IdError> {
                check_text(&s, Self::MAX)?;
                Ok($name(s))
            }
        }

        impl From<$name> for CompactString {
            fn from(id: $name) -> CompactString {
                id.0
            }
        }
    };
}

pub(crate) use text_id;
