//! Random change sets, lost replies, damaged snapshots and late VMs against the oracle.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use config::{
    Change, ChangeError, ChangeSet, CommitOutcome, ConfigStore, FleetConfig, StoreError, decode,
    diff, digest_key, encode,
};
use futures::executor::block_on;
use quickcheck::{Arbitrary, Gen};

use crate::common::{organisation, route, service, set};
use crate::memory::{MemoryObjects, MemoryTable};
use crate::oracle::Oracle;

const KEYS: [&[u8]; 4] = [b"k0", b"k1", b"k2", b"k3"];

/// Reads a number that a longer run sets in the environment.
pub fn setting(name: &str, default: u64) -> u64 {
    std::env::var(name).map_or(default, |text| text.parse().expect("a number"))
}

fn below(gen_: &mut Gen, limit: u64) -> u64 {
    u64::arbitrary(gen_) % limit
}

fn name(gen_: &mut Gen, kind: &str) -> Box<str> {
    format!("{kind}{}", below(gen_, 3)).into()
}

fn change(gen_: &mut Gen) -> Change {
    let key = |gen_: &mut Gen| digest_key(KEYS[below(gen_, 4) as usize]);
    match below(gen_, 20) {
        0..=4 => {
            let organisation = organisation(below(gen_, 12) as f64 - 1.0);
            Change::PutOrganisation { id: name(gen_, "o"), organisation }
        }
        5 => Change::RemoveOrganisation { id: name(gen_, "o") },
        6..=8 => {
            let mut service = service(below(gen_, 4) as usize);
            service.min_healthy = below(gen_, 11) as f64 / 9.0;
            Change::PutService { id: name(gen_, "s"), service }
        }
        9 => Change::RemoveService { id: name(gen_, "s") },
        10..=13 => {
            let mut route = route(&format!("/{}", name(gen_, "p")), &name(gen_, "s"));
            if bool::arbitrary(gen_) {
                route.organisations = vec![name(gen_, "o")];
            }
            Change::PutRoute { id: name(gen_, "r"), route }
        }
        14 => Change::RemoveRoute { id: name(gen_, "r") },
        15..=18 => Change::IssueKey { digest: key(gen_), organisation: name(gen_, "o") },
        _ => Change::WithdrawKey { digest: key(gen_) },
    }
}

struct World {
    table: Arc<MemoryTable>,
    objects: Arc<MemoryObjects>,
    store: ConfigStore,
    oracle: Oracle,
    /// Configuration of the VM that takes changes, and of one that reads now and then.
    held: FleetConfig,
    late: FleetConfig,
    /// Sets that have taken effect, with their versions.
    accepted: Vec<(ChangeSet, u64)>,
}

impl World {
    fn new() -> Self {
        let table = Arc::new(MemoryTable::default());
        let objects = Arc::new(MemoryObjects::default());
        let store = ConfigStore::new(table.clone(), objects.clone());
        let (held, late) = (FleetConfig::default(), FleetConfig::default());
        World { table, objects, store, oracle: Oracle::default(), held, late, accepted: vec![] }
    }

    fn load(&mut self) {
        let config = block_on(self.store.load(&self.held)).unwrap().config;
        assert!(config.version >= self.held.version, "the version went down");
        // The difference leads from the one to the other, apart from the version.
        let changes = diff(&self.held, &config);
        if !changes.is_empty() {
            let change_set = set(self.held.version, "difference", changes);
            let (mut got, _) = config::apply(&self.held, &change_set).unwrap();
            got.version = config.version;
            assert_eq!(got, config);
        }
        assert_eq!(decode(&encode(&config).unwrap()).unwrap(), config);
        self.held = config;
    }

    fn commit(&mut self, gen_: &mut Gen, step: u64) {
        self.table.lose_after.store(below(gen_, 6) / 5, Ordering::Relaxed);
        self.table.lose_before.store(below(gen_, 6) / 5, Ordering::Relaxed);
        let changes = (0..=below(gen_, 3)).map(|_| change(gen_)).collect();
        let base = self.oracle.version.saturating_sub(below(gen_, 8) / 7);
        let change_set = set(base, &format!("c{step}"), changes);
        let result = block_on(self.store.commit(&self.held, &change_set));
        if base < self.oracle.version {
            let current = self.oracle.version;
            let conflict = StoreError::Change(ChangeError::Conflict { base, current });
            assert_eq!(result, Err(conflict));
        } else if self.oracle.accept(&change_set.changes) {
            let version = self.oracle.version;
            match result {
                Ok(CommitOutcome::Applied { config, .. }) => assert_eq!(config.version, version),
                other => assert_eq!(other, Ok(CommitOutcome::AlreadyApplied { version })),
            }
            self.accepted.push((change_set, version));
        } else {
            let invalid = matches!(result, Err(StoreError::Change(ChangeError::Invalid(_))));
            assert!(invalid, "{change_set:?} gave {result:?}");
        }
        self.table.lose_after.store(0, Ordering::Relaxed);
        self.table.lose_before.store(0, Ordering::Relaxed);
    }

    fn step(&mut self, gen_: &mut Gen, step: u64) {
        match below(gen_, 16) {
            0 => {
                self.load();
                // Nothing is deleted while the oldest snapshot to keep is damaged.
                let written = block_on(self.store.write_snapshot(&self.held));
                assert!(matches!(written, Ok(_) | Err(StoreError::Snapshot(_))), "{written:?}");
            }
            1 => {
                // All but the oldest snapshot, whose deltas are the only ones that are kept.
                let mut objects = self.objects.0.lock().unwrap();
                let at = below(gen_, 1000) as usize;
                for bytes in objects.values_mut().skip(1).step_by(2) {
                    let at = at % bytes.len();
                    bytes[at] ^= 1;
                }
            }
            2 | 3 => self.load(),
            4 => {
                std::mem::swap(&mut self.held, &mut self.late);
                self.load();
            }
            5 => {
                let fresh = block_on(self.store.load(&FleetConfig::default())).unwrap().config;
                self.load();
                assert_eq!(fresh, self.held, "two VMs differ at one version");
            }
            6 if !self.accepted.is_empty() => {
                // Sent again, the set has no second effect, whether it is remembered or not.
                let at = below(gen_, self.accepted.len() as u64) as usize;
                let (change_set, version) = &self.accepted[at];
                let (base, current) = (change_set.base_version, self.oracle.version);
                match block_on(self.store.commit(&self.held, change_set)) {
                    Ok(again) => {
                        assert_eq!(again, CommitOutcome::AlreadyApplied { version: *version })
                    }
                    Err(error) => {
                        let conflict = ChangeError::Conflict { base, current };
                        assert_eq!(error, StoreError::Change(conflict));
                    }
                }
            }
            _ => self.commit(gen_, step),
        }
        if self.held.version == self.oracle.version {
            let paths: Vec<String> = (0..3).map(|i| format!("/p{i}")).collect();
            self.oracle.check(&self.held, &KEYS, &paths);
        }
    }
}

/// Guards against versions that go down, withdrawn keys that work again, changes made twice or
/// lost, VMs that differ at one version, and validation that lets in what breaks a reference.
#[test]
fn random_histories_agree_with_the_oracle() {
    let (cases, seed) =
        (setting("PAPAYAREEL_FUZZ_CASES", 40), setting("PAPAYAREEL_FUZZ_SEED", 20_261_204));
    let mut versions = 0;
    for case in 0..cases {
        println!("case {case}, seed {seed}");
        let mut gen_ = Gen::from_size_and_seed(100, seed.wrapping_add(case));
        let mut world = World::new();
        (0..300).for_each(|step| world.step(&mut gen_, step));
        world.load();
        assert_eq!(world.held.version, world.oracle.version);
        versions += world.oracle.version;
    }
    // Histories in which hardly anything is accepted would check nothing.
    assert!(versions > cases * 20, "only {versions} changes were accepted in {cases} cases");
}
