//! An in-memory fleet of one VM behind the gRPC server.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use config::{ChangeSet, FleetConfig, apply};
use futures::future::BoxFuture;
use kernel::{EjectReason, Place};
use operator::{
    Applied, Ejection, ExplainQuery, ExplainStep, Explanation, OperatorError, OperatorHandler,
    OperatorTokens, RateShare, RateShares, Status, StatusQuery, VmLiveness, VmStatus, serve,
};
use tokio::net::TcpListener;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;

/// Token that the server accepts.
pub const TOKEN: &str = "token-of-the-operator";

/// State of the in-memory fleet.
#[derive(Default)]
pub struct Fleet {
    config: Mutex<Arc<FleetConfig>>,
    applied: Mutex<Vec<(Box<str>, u64)>>,
    /// Errors of the next calls of `apply`, last one first; the changes are applied all the same.
    pub failures: Mutex<Vec<OperatorError>>,
}

impl OperatorHandler for Fleet {
    fn apply(&self, set: ChangeSet) -> BoxFuture<'_, Result<Applied, OperatorError>> {
        Box::pin(async move {
            let mut applied = self.applied.lock().unwrap();
            if let Some((_, version)) = applied.iter().find(|(id, _)| *id == set.change_id) {
                return Ok(Applied { version: *version, repeated: true });
            }
            let mut current = self.config.lock().unwrap();
            let (config, delta) = apply(&current, &set)?;
            *current = Arc::new(config);
            applied.push((set.change_id, delta.version));
            match self.failures.lock().unwrap().pop() {
                Some(error) => Err(error),
                None => Ok(Applied { version: delta.version, repeated: false }),
            }
        })
    }

    fn config(&self) -> BoxFuture<'_, Result<Arc<FleetConfig>, OperatorError>> {
        Box::pin(async { Ok(self.config.lock().unwrap().clone()) })
    }

    fn status(&self, query: StatusQuery) -> BoxFuture<'_, Result<Status, OperatorError>> {
        Box::pin(async move { Ok(status(&query)) })
    }

    fn explain(&self, query: ExplainQuery) -> BoxFuture<'_, Result<Explanation, OperatorError>> {
        Box::pin(async move {
            match query {
                ExplainQuery::RequestId(id) => {
                    let text = format!("no request {id}; ask the VM that took it");
                    Err(OperatorError::NotFound(text.into()))
                }
                ExplainQuery::Hypothetical { .. } => Ok(explanation()),
            }
        })
    }
}

/// Returns a status with every field set.
pub fn status(query: &StatusQuery) -> Status {
    let vm = |vm: &str, liveness, freshness| VmStatus {
        vm: vm.into(),
        place: Place { region: "dakar".into(), domain: "dakar-rufisque".into() },
        incarnation: u64::MAX,
        liveness,
        version: 7,
        freshness,
    };
    let share = |vm: Option<&str>| RateShare { incarnation: 9, vm: vm.map(Into::into), units: 4 };
    let rate = |organisation: &str| RateShares {
        organisation: organisation.into(),
        total: 16,
        shares: vec![share(Some("vm-1")), share(None)],
    };
    Status {
        vm: "vm-1".into(),
        version: 7,
        store_reachable: true,
        vms: vec![
            vm("vm-1", VmLiveness::Live, Some(Duration::from_millis(1500))),
            vm("vm-2", VmLiveness::Leaving, Some(Duration::ZERO)),
            vm("vm-3", VmLiveness::Silent, None),
        ],
        ejections: vec![Ejection {
            service: "stock-svc".into(),
            backend: "b1".into(),
            reason: EjectReason::Slow,
            since: Duration::from_secs(90),
            vm: "vm-2".into(),
        }],
        rates: query.organisations.iter().map(|o| rate(o)).collect(),
    }
}

/// Returns an explanation with optional values that are present and ones that are absent.
pub fn explanation() -> Explanation {
    let step = |after| ExplainStep { after, vm: "vm-1".into(), text: "sent to b1".into() };
    Explanation {
        route: Some("read".into()),
        service: None,
        outcome: "answered".into(),
        steps: vec![step(Some(Duration::from_micros(1234))), step(None)],
    }
}

/// A running server.
pub struct TestServer {
    /// Its address.
    pub address: SocketAddr,
    /// Fleet that it serves.
    pub fleet: Arc<Fleet>,
    stop: oneshot::Sender<()>,
    task: JoinHandle<()>,
}

impl TestServer {
    /// Starts a server on a free port of the loopback interface.
    pub async fn start() -> TestServer {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let fleet = Arc::new(Fleet::default());
        let (stop, stopped) = oneshot::channel::<()>();
        let tokens = OperatorTokens::new([TOKEN]).unwrap();
        let served = serve(listener, fleet.clone(), tokens, async { drop(stopped.await) });
        let task = tokio::spawn(async { served.await.unwrap() });
        TestServer { address, fleet, stop, task }
    }

    /// Stops the server and waits until it has ended.
    pub async fn stop(self) {
        self.stop.send(()).unwrap();
        self.task.await.unwrap();
    }
}
