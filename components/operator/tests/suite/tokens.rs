//! Operator tokens.

use operator::{TokenError, Tokens};

/// Guards against a token that fits only in part, and against settings that let everybody in.
#[test]
fn only_whole_tokens_fit() {
    let tokens = Tokens::new(["first-token-of-operators", "second-token-of-operators"]).unwrap();
    assert!(tokens.contains(b"second-token-of-operators"));
    assert!(!tokens.contains(b"second-token-of-operator"));
    assert!(!tokens.contains(b""));
    assert_eq!(Tokens::new([]).err(), Some(TokenError::None));
    assert_eq!(Tokens::new([""]).err(), Some(TokenError::Short));
    assert_eq!(Tokens::new(["token with spaces in it"]).err(), Some(TokenError::Characters));
}
