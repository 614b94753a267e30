//! Tests of operator tokens.

use operator::{OperatorTokens, TokenError};

/// Guards against accepting a prefix of a token, and against settings that authorise everybody.
#[test]
fn only_complete_tokens_are_accepted() {
    let tokens =
        OperatorTokens::new(["first-token-of-operators", "second-token-of-operators"]).unwrap();
    assert!(tokens.contains(b"second-token-of-operators"));
    assert!(!tokens.contains(b"second-token-of-operator"));
    assert!(!tokens.contains(b""));
    assert_eq!(OperatorTokens::new([]).err(), Some(TokenError::Missing));
    assert_eq!(OperatorTokens::new([""]).err(), Some(TokenError::TooShort));
    assert_eq!(
        OperatorTokens::new(["token with spaces in it"]).err(),
        Some(TokenError::InvalidCharacter)
    );
}
