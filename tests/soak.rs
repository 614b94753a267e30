//! Guards against broken guarantees under random faults, in short seeded soak runs. Longer runs:
//! `cargo run --release -p soak -- --seed N`.

use std::time::Duration;

use soak::{Plan, run};

#[tokio::test(flavor = "multi_thread")]
async fn guarantees_hold_under_random_faults() -> anyhow::Result<()> {
    for seed in [1, 2] {
        let plan = Plan {
            program: env!("CARGO_BIN_EXE_papayareel-gateway").into(),
            seed,
            vms: 4,
            targets: 4,
            length: Duration::from_secs(6),
        };
        let report = run(plan).await?;
        assert!(report.broken.is_empty(), "seed {seed}: {:?}", report.broken);
        assert!(report.served > 0, "seed {seed}: no request was served");
    }
    Ok(())
}
