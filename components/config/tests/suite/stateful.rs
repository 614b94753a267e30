//! Compares the store with the reference model under random change sets, lost responses, corrupt
//! snapshots and lagging VMs.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use config::{
    Change, ChangeError, ChangeSet, CommitOutcome, ConfigStore, ConfigStoreError, FleetConfig,
    decode, diff, digest_key, encode,
};
use futures::executor::block_on;
use quickcheck::{Arbitrary, Gen};

use crate::common::{organisation, route, service, set};
use crate::memory::{MemoryObjects, MemoryTable};
use crate::oracle::Oracle;

const KEYS: [&[u8]; 4] = [b"k0", b"k1", b"k2", b"k3"];

/// Reads a number from the environment, where longer runs set it.
pub fn env_number(name: &str, default: u64) -> u64 {
    std::env::var(name).map_or(default, |text| text.parse().expect("a number"))
}

fn random_below(gen_: &mut Gen, limit: u64) -> u64 {
    u64::arbitrary(gen_) % limit
}

fn random_name(gen_: &mut Gen, kind: &str) -> Box<str> {
    format!("{kind}{}", random_below(gen_, 3)).into()
}

fn random_change(gen_: &mut Gen) -> Change {
    let key = |gen_: &mut Gen| digest_key(KEYS[random_below(gen_, 4) as usize]);
    match random_below(gen_, 20) {
        0..=4 => {
            let organisation = organisation(random_below(gen_, 12) as f64 - 1.0);
            Change::PutOrganisation { id: random_name(gen_, "o"), organisation }
        }
        5 => Change::RemoveOrganisation { id: random_name(gen_, "o") },
        6..=8 => {
            let mut service = service(random_below(gen_, 4) as usize);
            service.min_healthy = random_below(gen_, 11) as f64 / 9.0;
            Change::PutService { id: random_name(gen_, "s"), service }
        }
        9 => Change::RemoveService { id: random_name(gen_, "s") },
        10..=13 => {
            let mut route = route(&format!("/{}", random_name(gen_, "p")), &random_name(gen_, "s"));
            if bool::arbitrary(gen_) {
                route.organisations = vec![random_name(gen_, "o")];
            }
            Change::PutRoute { id: random_name(gen_, "r"), route }
        }
        14 => Change::RemoveRoute { id: random_name(gen_, "r") },
        15..=18 => Change::IssueKey { digest: key(gen_), organisation: random_name(gen_, "o") },
        _ => Change::WithdrawKey { digest: key(gen_) },
    }
}

struct TestFleet {
    table: Arc<MemoryTable>,
    objects: Arc<MemoryObjects>,
    store: ConfigStore,
    oracle: Oracle,
    /// Local configuration of the VM that commits changes.
    writer: FleetConfig,
    /// Local configuration of a VM that rarely loads changes; it swaps roles with the writer.
    lagging: FleetConfig,
    /// Applied change sets with their versions.
    accepted: Vec<(ChangeSet, u64)>,
}

impl TestFleet {
    fn new() -> Self {
        let table = Arc::new(MemoryTable::default());
        let objects = Arc::new(MemoryObjects::default());
        let store = ConfigStore::new(table.clone(), objects.clone());
        let (writer, lagging) = (FleetConfig::default(), FleetConfig::default());
        TestFleet {
            table,
            objects,
            store,
            oracle: Oracle::default(),
            writer,
            lagging,
            accepted: vec![],
        }
    }

    fn load(&mut self) {
        let config = block_on(self.store.load(&self.writer)).unwrap().config;
        assert!(config.version >= self.writer.version, "the version went down");
        // Applying the diff gives the loaded configuration, apart from the version.
        let changes = diff(&self.writer, &config);
        if !changes.is_empty() {
            let change_set = set(self.writer.version, "difference", changes);
            let (mut applied, _) = config::apply(&self.writer, &change_set).unwrap();
            applied.version = config.version;
            assert_eq!(applied, config);
        }
        assert_eq!(decode(&encode(&config).unwrap()).unwrap(), config);
        self.writer = config;
    }

    fn commit(&mut self, gen_: &mut Gen, step: u64) {
        self.table.lost_responses.store(random_below(gen_, 6) / 5, Ordering::Relaxed);
        self.table.lost_requests.store(random_below(gen_, 6) / 5, Ordering::Relaxed);
        let changes = (0..=random_below(gen_, 3)).map(|_| random_change(gen_)).collect();
        let base = self.oracle.version.saturating_sub(random_below(gen_, 8) / 7);
        let change_set = set(base, &format!("c{step}"), changes);
        let result = block_on(self.store.commit(&self.writer, &change_set));
        if base < self.oracle.version {
            let current = self.oracle.version;
            let conflict = ConfigStoreError::Change(ChangeError::Conflict { base, current });
            assert_eq!(result, Err(conflict));
        } else if self.oracle.apply_set(&change_set.changes) {
            let version = self.oracle.version;
            match result {
                Ok(CommitOutcome::Applied { config, .. }) => assert_eq!(config.version, version),
                other => assert_eq!(other, Ok(CommitOutcome::AlreadyApplied { version })),
            }
            self.accepted.push((change_set, version));
        } else {
            let invalid = matches!(result, Err(ConfigStoreError::Change(ChangeError::Invalid(_))));
            assert!(invalid, "{change_set:?} gave {result:?}");
        }
        self.table.lost_responses.store(0, Ordering::Relaxed);
        self.table.lost_requests.store(0, Ordering::Relaxed);
    }

    fn step(&mut self, gen_: &mut Gen, step: u64) {
        match random_below(gen_, 16) {
            0 => {
                self.load();
                // Nothing is deleted while the oldest snapshot to keep is corrupt.
                let written = block_on(self.store.write_snapshot(&self.writer));
                assert!(
                    matches!(written, Ok(_) | Err(ConfigStoreError::Snapshot(_))),
                    "{written:?}"
                );
            }
            1 => {
                // The oldest snapshot stays intact, because the deltas before it are deleted.
                let mut objects = self.objects.0.lock().unwrap();
                let at = random_below(gen_, 1000) as usize;
                for bytes in objects.values_mut().skip(1).step_by(2) {
                    let at = at % bytes.len();
                    bytes[at] ^= 1;
                }
            }
            2 | 3 => self.load(),
            4 => {
                std::mem::swap(&mut self.writer, &mut self.lagging);
                self.load();
            }
            5 => {
                let loaded = block_on(self.store.load(&FleetConfig::default())).unwrap().config;
                self.load();
                assert_eq!(loaded, self.writer, "two VMs differ at the same version");
            }
            6 if !self.accepted.is_empty() => {
                // A repeated set is not applied again, whether its row still exists or not.
                let at = random_below(gen_, self.accepted.len() as u64) as usize;
                let (change_set, version) = &self.accepted[at];
                let (base, current) = (change_set.base_version, self.oracle.version);
                match block_on(self.store.commit(&self.writer, change_set)) {
                    Ok(outcome) => {
                        assert_eq!(outcome, CommitOutcome::AlreadyApplied { version: *version })
                    }
                    Err(error) => {
                        let conflict = ChangeError::Conflict { base, current };
                        assert_eq!(error, ConfigStoreError::Change(conflict));
                    }
                }
            }
            _ => self.commit(gen_, step),
        }
        if self.writer.version == self.oracle.version {
            let paths: Vec<String> = (0..3).map(|i| format!("/p{i}")).collect();
            self.oracle.check(&self.writer, &KEYS, &paths);
        }
    }
}

/// Guards against versions that go down, withdrawn keys that become valid again, changes that are
/// lost or applied twice, VMs that differ at the same version, and invalid references.
#[test]
fn random_histories_agree_with_the_oracle() {
    let (cases, seed) =
        (env_number("PAPAYAREEL_FUZZ_CASES", 40), env_number("PAPAYAREEL_FUZZ_SEED", 20_261_204));
    let mut versions = 0;
    for case in 0..cases {
        println!("case {case}, seed {seed}");
        let mut gen_ = Gen::from_size_and_seed(100, seed.wrapping_add(case));
        let mut fleet = TestFleet::new();
        (0..300).for_each(|step| fleet.step(&mut gen_, step));
        fleet.load();
        assert_eq!(fleet.writer.version, fleet.oracle.version);
        versions += fleet.oracle.version;
    }
    // Cases in which hardly any change is accepted would check nothing.
    assert!(versions > cases * 20, "only {versions} changes were accepted in {cases} cases");
}
