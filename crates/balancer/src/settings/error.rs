//! The error for an invalid value in a JSON document.

/// A value in a JSON document is missing or invalid. [`settings::read`](super::read) and the
/// readers of other documents, such as endpoint lists, return this error.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidValue {
    /// A required value is missing.
    #[error("{path}: missing, expected {expected}")]
    Missing {
        /// The path of the missing value, such as `profiles[1].name`.
        path: String,
        /// A description of the expected value.
        expected: &'static str,
    },
    /// The value does not have the expected type or form, or is out of its range.
    #[error("{path}: expected {expected}, got {got}")]
    Unexpected {
        /// The path of the value, such as `profiles[1].name`.
        path: String,
        /// A description of the expected value.
        expected: &'static str,
        /// The value that was found instead, as text.
        got: String,
    },
}

impl InvalidValue {
    /// Creates the error for the value at `path`. `got` is the value as text, or `None` if it is
    /// missing.
    pub fn new(path: String, expected: &'static str, got: Option<String>) -> InvalidValue {
        match got {
            Some(got) => InvalidValue::Unexpected {
                path,
                expected,
                got,
            },
            None => InvalidValue::Missing { path, expected },
        }
    }
}
