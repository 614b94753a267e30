//! Operator tokens.

use operator::{OperatorTokens, TokenError};

/// Guards against a token that fits only in part, and against settings that let everybody in.
#[test]
fn only_whole_tokens_fit() {
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
