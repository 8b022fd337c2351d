use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, VecDeque},
};

use bytes::Bytes;
use rosemarybank_bundle::KeyPair;
use rosemarybank_protocol::{
    id::Version,
    platform::{CONFIG_PATH, InstanceStatus, SignedBundle},
};
use rosemarybank_store::{CallError, Listing, Object, ObjectVersion, WriteOutcome};

use super::{
    acceptance::check_acceptance,
    history::{self, MAX_VERSIONS},
    update::{Candidate, CurrentConfig, read_current, roll_out},
};
use crate::{error::CliError, store::ObjectStore};

const TEXT: &str = include_str!("../../../../config/bundle.yaml");

/// Fault of a write of the configuration.
enum WriteFault {
    /// The write takes effect and its response is lost.
    LoseResponse,
    /// The request is lost.
    LoseRequest,
    /// The write takes effect after the next read; its response is lost.
    Delay,
    /// The write takes effect, another bundle is rolled out immediately after it, and its response
    /// is lost.
    Supersede(SignedBundle),
}

/// In-memory object store that injects a fault into each of the next writes of the configuration.
#[derive(Default)]
struct FakeStore {
    objects: RefCell<BTreeMap<String, (ObjectVersion, Bytes)>>,
    revision: Cell<ObjectVersion>,
    faults: RefCell<VecDeque<WriteFault>>,
    delayed: RefCell<Option<(Option<ObjectVersion>, Bytes)>>,
}

impl FakeStore {
    fn with(faults: impl Into<VecDeque<WriteFault>>) -> FakeStore {
        FakeStore { faults: RefCell::new(faults.into()), ..FakeStore::default() }
    }

    fn write(&self, path: &str, condition: Option<ObjectVersion>, value: Bytes) -> WriteOutcome {
        let mut objects = self.objects.borrow_mut();
        let current = objects.get(path).map(|(version, _)| *version);
        if current != condition {
            return WriteOutcome::Conflict { current };
        }
        self.revision.set(self.revision.get() + 1);
        objects.insert(path.to_owned(), (self.revision.get(), value));
        WriteOutcome::Applied { version: self.revision.get() }
    }

    fn write_config(&self, condition: Option<ObjectVersion>, value: Bytes) -> WriteOutcome {
        match self.faults.borrow_mut().pop_front() {
            None => return self.write(CONFIG_PATH, condition, value),
            Some(WriteFault::LoseRequest) => {}
            Some(WriteFault::LoseResponse) => {
                self.write(CONFIG_PATH, condition, value);
            }
            Some(WriteFault::Delay) => *self.delayed.borrow_mut() = Some((condition, value)),
            Some(WriteFault::Supersede(later)) => {
                let WriteOutcome::Applied { version } =
                    self.write(CONFIG_PATH, condition, value.clone())
                else {
                    panic!("the first write must not conflict");
                };
                let earlier: serde_json::Value = serde_json::from_slice(&value).unwrap();
                let path = format!("config/log/{:020}", earlier["version"].as_u64().unwrap());
                let mut entry = earlier;
                entry["rolled_out_unix_ms"] = serde_json::Value::Null;
                self.write(&path, None, entry.to_string().into());
                let later = serde_json::to_vec(&later).unwrap();
                self.write(CONFIG_PATH, Some(version), later.into());
            }
        }
        WriteOutcome::Unknown(CallError::Timeout)
    }
}

impl ObjectStore for FakeStore {
    async fn get(&self, path: &str) -> Result<Option<Object>, CallError> {
        let object = self.objects.borrow().get(path).cloned();
        if let Some((condition, value)) = self.delayed.take() {
            self.write(CONFIG_PATH, condition, value);
        }
        Ok(object.map(|(version, value)| Object { path: path.into(), version, value }))
    }

    async fn list(&self, prefix: &str) -> Result<Listing, CallError> {
        let objects = self.objects.borrow();
        let below = objects.iter().filter(|(path, _)| path.starts_with(prefix));
        let objects = below.map(|(path, (version, value))| Object {
            path: path.as_str().into(),
            version: *version,
            value: value.clone(),
        });
        Ok(Listing { revision: self.revision.get(), objects: objects.collect() })
    }

    async fn create(&self, path: &str, value: Bytes) -> WriteOutcome {
        if path == CONFIG_PATH {
            self.write_config(None, value)
        } else {
            self.write(path, None, value)
        }
    }

    async fn update(&self, path: &str, version: ObjectVersion, value: Bytes) -> WriteOutcome {
        assert_eq!(path, CONFIG_PATH);
        self.write_config(Some(version), value)
    }

    async fn delete(&self, path: &str, _: ObjectVersion) -> WriteOutcome {
        self.objects.borrow_mut().remove(path);
        WriteOutcome::Applied { version: self.revision.get() }
    }
}

fn block_on<T>(future: impl Future<Output = T>) -> T {
    tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap().block_on(future)
}

fn key(name: &str) -> KeyPair {
    KeyPair::generate(name).unwrap()
}

async fn try_roll_out(
    store: &FakeStore,
    current: &CurrentConfig,
    key: &KeyPair,
) -> Result<Version, CliError> {
    let candidate = Candidate::Text { text: TEXT, key };
    Ok(roll_out(store, current, candidate, None).await?.version)
}

async fn active_bundle(store: &FakeStore) -> (Version, String) {
    let (_, bundle) = read_current(store).await.unwrap().unwrap();
    (bundle.version, bundle.signer.to_string())
}

/// Guards against two concurrent roll-outs that both report success.
#[test]
fn the_second_of_two_concurrent_roll_outs_reports_a_conflict() {
    block_on(async {
        let store = FakeStore::default();
        try_roll_out(&store, &None, &key("first")).await.unwrap();
        let current = read_current(&store).await.unwrap();
        assert_eq!(try_roll_out(&store, &current, &key("fast")).await.unwrap(), 2);
        let e = try_roll_out(&store, &current, &key("slow")).await.unwrap_err();
        insta::assert_snapshot!(format!("{e} ({}) {:?}", e.help(), e.exit_status()));
        assert_eq!(active_bundle(&store).await, (2, "fast".to_owned()));
    });
}

/// Guards against a duplicate version or a false failure when requests or responses of the platform
/// are lost.
#[test]
fn a_lost_response_is_resolved_by_reading_back() {
    let fault_sequences = [
        vec![WriteFault::LoseResponse],
        vec![WriteFault::LoseRequest],
        vec![WriteFault::Delay],
        vec![WriteFault::LoseRequest, WriteFault::LoseResponse],
        vec![WriteFault::Delay, WriteFault::LoseRequest],
    ];
    for faults in fault_sequences {
        block_on(async {
            let store = FakeStore::with(faults);
            assert_eq!(try_roll_out(&store, &None, &key("ops")).await.unwrap(), 1);
            assert_eq!(active_bundle(&store).await, (1, "ops".to_owned()));
        });
    }
}

/// Guards against reporting a conflict for a bundle that was active before a later version replaced
/// it, and against treating another operator's bundle of the same version as the operator's own.
#[test]
fn after_a_lost_response_own_and_foreign_bundles_are_distinguished() {
    block_on(async {
        let later = rosemarybank_bundle::sign(&key("later"), 2, TEXT).unwrap();
        let store = FakeStore::with([WriteFault::Supersede(later.clone())]);
        assert_eq!(try_roll_out(&store, &None, &key("ops")).await.unwrap(), 1);

        let store = FakeStore::with([WriteFault::LoseRequest]);
        let first = rosemarybank_bundle::sign(&key("other"), 1, TEXT).unwrap();
        let value = serde_json::to_vec(&first).unwrap();
        // The other operator's bundle becomes active after the next read.
        *store.delayed.borrow_mut() = Some((None, value.into()));
        let e = try_roll_out(&store, &None, &key("ops")).await.unwrap_err();
        assert!(
            matches!(e, CliError::RollOutConflict { planned_version: 1, active_version: 1, .. }),
            "{e}"
        );
    });
}

/// Guards against reporting success or failure when the outcome is unknown.
#[test]
fn an_outcome_that_stays_unknown_is_reported_as_unknown() {
    block_on(async {
        let faults: Vec<_> = std::iter::repeat_with(|| WriteFault::LoseRequest).take(5).collect();
        let e = try_roll_out(&FakeStore::with(faults), &None, &key("ops")).await.unwrap_err();
        assert!(matches!(e, CliError::RollOutOutcomeUnknown { version: 1 }), "{e}");
    });
}

/// Guards against replacing a version that the operator did not expect, and against rolling out a
/// signed bundle whose version already exists.
#[test]
fn an_unexpected_active_version_is_a_conflict() {
    block_on(async {
        let store = FakeStore::default();
        let key = key("ops");
        try_roll_out(&store, &None, &key).await.unwrap();
        let current = read_current(&store).await.unwrap();
        let candidate = Candidate::Text { text: TEXT, key: &key };
        let e = roll_out(&store, &current, candidate, Some(0)).await.unwrap_err();
        assert!(
            matches!(e, CliError::RollOutConflict { planned_version: 1, active_version: 1, .. }),
            "{e}"
        );
        let stale = Candidate::Signed(rosemarybank_bundle::sign(&key, 1, TEXT).unwrap());
        let e = roll_out(&store, &current, stale, None).await.unwrap_err();
        assert!(
            matches!(e, CliError::RollOutConflict { planned_version: 1, active_version: 1, .. }),
            "{e}"
        );
    });
}

/// Guards against a history that grows without bound or lacks the previous version.
#[test]
fn the_history_keeps_the_latest_versions() {
    block_on(async {
        let store = FakeStore::default();
        let key = key("ops");
        for _ in 0..MAX_VERSIONS + 3 {
            let current = read_current(&store).await.unwrap();
            let candidate = Candidate::Text { text: TEXT, key: &key };
            let signed = roll_out(&store, &current, candidate, None).await.unwrap();
            history::prune(&store, signed.version).await.unwrap();
        }
        let versions: Vec<_> =
            history::list(&store).await.unwrap().iter().map(|it| it.signed.version).collect();
        let newest = MAX_VERSIONS + 3;
        // The active version is not listed, because `bundle roll-out` adds it after the update.
        assert_eq!(versions, (newest - MAX_VERSIONS + 1..newest).rev().collect::<Vec<_>>());
    });
}

/// Guards against accepting a version that only half of the instances have.
#[test]
fn acceptance_requires_a_majority_of_the_configured_instances() {
    let instance = |name: &str, version| InstanceStatus {
        instance: name.into(),
        data_centre: "maun".into(),
        version,
        ready: true,
    };
    let statuses = [
        instance("a", Some(8)),
        instance("b", Some(9)),
        instance("c", Some(7)),
        instance("d", None),
    ];
    let half = check_acceptance(&statuses, 8, None);
    assert_eq!((half.holding, half.instances, half.accepted), (2, 4, false));
    assert_eq!(half.behind, ["c", "d"]);
    assert!(check_acceptance(&statuses, 7, None).accepted);
    assert!(check_acceptance(&statuses[..2], 8, Some(3)).accepted);
    assert!(!check_acceptance(&statuses[..2], 8, Some(4)).accepted);
    assert!(!check_acceptance(&[], 1, None).accepted);
}
