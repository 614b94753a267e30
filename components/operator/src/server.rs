use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use config::{Change, ChangeSet};
use futures::stream::{self, Iter, StreamExt};
use tokio::net::TcpListener;
use tonic::service::interceptor::InterceptedService;
use tonic::transport::server::TcpIncoming;
use tonic::{Request, Response, Status};

use crate::pager::Pager;
use crate::proto::operator_server::{Operator, OperatorServer};
use crate::{
    ExplainQuery, FieldError, OperatorError, OperatorHandler, OperatorTokens, StatusQuery, proto,
};

/// Maximum size of a change set. A service of 50 backend servers takes about 5 KB.
const MAX_REQUEST_BYTES: usize = 16 * 1024 * 1024;

/// Allows for a slow store. After a timeout, a client can retry with the same change id.
const CALL_TIMEOUT: Duration = Duration::from_secs(20);

struct OperatorService(Arc<dyn OperatorHandler>);

/// Serves operators until `shutdown` completes, and then finishes the calls in progress.
pub async fn serve(
    listener: TcpListener,
    handler: Arc<dyn OperatorHandler>,
    tokens: OperatorTokens,
    shutdown: impl Future<Output = ()>,
) -> Result<(), tonic::transport::Error> {
    let service =
        OperatorServer::new(OperatorService(handler)).max_decoding_message_size(MAX_REQUEST_BYTES);
    let authenticate = move |request: Request<()>| {
        let header = request.metadata().get("authorization");
        let token = header.and_then(|value| value.as_bytes().strip_prefix(b"Bearer "));
        match token {
            Some(token) if tokens.contains(token) => Ok(request),
            _ => Err(OperatorError::Unauthenticated.into()),
        }
    };
    tonic::transport::Server::builder()
        .timeout(CALL_TIMEOUT)
        .add_service(InterceptedService::new(service, authenticate))
        .serve_with_incoming_shutdown(TcpIncoming::from(listener), shutdown)
        .await
}

fn decode_changes(messages: Vec<proto::Change>) -> Result<Vec<Change>, OperatorError> {
    let (mut changes, mut errors) = (Vec::with_capacity(messages.len()), Vec::new());
    for (i, message) in messages.into_iter().enumerate() {
        match Change::try_from(message) {
            Ok(change) => changes.push(change),
            Err(error) => errors.push(error.prefix_path(format_args!("changes[{i}]"))),
        }
    }
    if errors.is_empty() { Ok(changes) } else { Err(OperatorError::Invalid(errors)) }
}

#[tonic::async_trait]
impl Operator for OperatorService {
    async fn apply(
        &self,
        request: Request<proto::ApplyRequest>,
    ) -> Result<Response<proto::ApplyResponse>, Status> {
        let proto::ApplyRequest { base_version, change_id, changes } = request.into_inner();
        let (change_id, changes) = (change_id.into(), decode_changes(changes)?);
        let applied = self.0.apply(ChangeSet { change_id, base_version, changes }).await?;
        let (version, repeated) = (applied.version, applied.repeated);
        Ok(Response::new(proto::ApplyResponse { version, repeated }))
    }

    type GetConfigStream =
        stream::Map<Iter<Pager>, fn(proto::ConfigPart) -> Result<proto::ConfigPart, Status>>;

    async fn get_config(
        &self,
        request: Request<proto::GetConfigRequest>,
    ) -> Result<Response<Self::GetConfigStream>, Status> {
        let config = self.0.config().await?;
        let pager = Pager::new(config, &request.get_ref().kinds().collect::<Vec<_>>());
        Ok(Response::new(stream::iter(pager).map(Ok)))
    }

    async fn status(
        &self,
        request: Request<proto::StatusRequest>,
    ) -> Result<Response<proto::StatusResponse>, Status> {
        let organisations = request.into_inner().organisations;
        let organisations = organisations.into_iter().map(Into::into).collect();
        Ok(Response::new(self.0.status(StatusQuery { organisations }).await?.into()))
    }

    async fn explain(
        &self,
        request: Request<proto::ExplainRequest>,
    ) -> Result<Response<proto::ExplainResponse>, Status> {
        let invalid = |error: FieldError| OperatorError::Invalid(vec![error]);
        let query = ExplainQuery::try_from(request.into_inner()).map_err(invalid)?;
        Ok(Response::new(self.0.explain(query).await?.into()))
    }
}
