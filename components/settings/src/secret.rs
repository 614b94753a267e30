use std::fmt;

/// Text that is never printed.
#[derive(Clone, Eq, PartialEq)]
pub struct Secret(Box<str>);

impl Secret {
    /// Wraps the text.
    pub fn new(text: impl Into<Box<str>>) -> Self {
        Secret(text.into())
    }

    /// The text itself, for comparing and sending only.
    pub fn reveal(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}
