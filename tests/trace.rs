//! Guards against `papayareel trace` naming the wrong cause of a failed request: a refusal without
//! its reason, or an ordinary error of a backend server taken for a gray period.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const LOG_LINES: &str = r#"vm-1.log:{"event":901,"fields":{"source":"store","version":10},"name":"config-learned","time":"2026-10-18T03:30:40.000Z"}
vm-1.log:{"event":933,"fields":{"cause":"organisation north is above its rate (configuration 10)","kind":"rate-exceeded","outcome":"not-run","request":"refused-1","retry_ms":22,"took_ms":0},"name":"request-refused","time":"2026-10-18T03:30:41.000Z"}
vm-1.log:{"event":934,"fields":{"backend":"i-1","cause":"500","request":"other-1","service":"s"},"name":"attempt-failed","time":"2026-10-18T03:30:42.000Z"}
vm-2.log:{"event":934,"fields":{"backend":"i-1","cause":"500","request":"other-2","service":"s"},"name":"attempt-failed","time":"2026-10-18T03:30:43.000Z"}
vm-1.log:{"event":934,"fields":{"backend":"i-1","cause":"500","request":"gray-1","service":"s"},"name":"attempt-failed","time":"2026-10-18T03:30:44.000Z"}
vm-1.log:{"event":932,"fields":{"request":"gray-1","status":500,"took_ms":4},"name":"request-failed","time":"2026-10-18T03:30:44.001Z"}
vm-1.log:{"event":934,"fields":{"backend":"i-2","cause":"500","request":"single-1","service":"s"},"name":"attempt-failed","time":"2026-10-18T03:30:44.100Z"}
this line is of another program
"#;

fn run_trace(request: &str) -> anyhow::Result<Output> {
    let mut child = Command::new(env!("CARGO_BIN_EXE_papayareel"))
        .args(["trace", request])
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()?;
    if let Some(mut stdin) = child.stdin.take() {
        stdin.write_all(LOG_LINES.as_bytes())?;
    }
    Ok(child.wait_with_output()?)
}

fn reported_cause(request: &str) -> anyhow::Result<String> {
    let output = run_trace(request)?;
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let text = String::from_utf8(output.stdout)?;
    Ok(text.lines().last().unwrap_or_default().to_owned())
}

#[test]
fn refusal_is_explained_by_kind_and_cause() -> anyhow::Result<()> {
    let cause = reported_cause("refused-1")?;
    assert!(cause.contains("not-run (rate-exceeded)") && cause.contains("configuration 10"));
    Ok(())
}

#[test]
fn gray_period_is_distinguished_from_ordinary_error() -> anyhow::Result<()> {
    let gray = reported_cause("gray-1")?;
    assert!(gray.contains("i-1") && gray.contains("2 other requests") && gray.ends_with("gray"));
    assert!(reported_cause("single-1")?.ends_with("an ordinary error"));
    Ok(())
}

#[test]
fn unknown_request_id_is_an_error() -> anyhow::Result<()> {
    let output = run_trace("absent-1")?;
    assert_eq!(output.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&output.stderr).contains("absent-1"));
    Ok(())
}
