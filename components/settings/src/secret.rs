use std::fmt;

/// A text that is not printed: `Debug` hides it and there is no `Display`.
#[derive(Clone, Eq, PartialEq)]
pub struct Secret(Box<str>);

impl Secret {
    /// Wraps the text.
    pub fn new(text: impl Into<Box<str>>) -> Self {
        Secret(text.into())
    }

    /// The text itself; use it only to compare or send it.
    pub fn reveal(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}
