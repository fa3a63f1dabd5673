//! The error that a value of a JSON document causes.

/// A value of a JSON document is missing or not as expected. [`settings::read`](super::read) and
/// the readers of other documents, such as endpoint lists, report it.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidValue {
    /// A required value is missing.
    #[error("{path}: missing, expected {expected}")]
    Missing {
        /// Where the value was looked for, such as `profiles[1].name`.
        path: String,
        /// What was expected there.
        expected: &'static str,
    },
    /// The value has another type than expected, or is out of its range.
    #[error("{path}: expected {expected}, got {got}")]
    Unexpected {
        /// Where the value stands, such as `profiles[1].name`.
        path: String,
        /// What was expected there.
        expected: &'static str,
        /// The text of what was found instead.
        got: String,
    },
}

impl InvalidValue {
    /// The error for the value at `path`; `got` is the value's text, or `None` if it is missing.
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
