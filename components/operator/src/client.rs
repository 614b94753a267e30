use std::error::Error;
use std::net::SocketAddr;
use std::time::Duration;

use config::{ChangeSet, FleetConfig};
use tonic::metadata::{Ascii, MetadataValue};
use tonic::service::Interceptor;
use tonic::service::interceptor::InterceptedService;
use tonic::transport::{Channel, Endpoint};
use tonic::{Code, Request};

use crate::error_detail::read_kind;
use crate::proto::EntryKind;
use crate::proto::operator_client::OperatorClient;
use crate::{
    Applied, ExplainQuery, Explanation, FieldError, OperatorError, Status, StatusQuery, TokenError,
    proto, tokens,
};

/// Longest wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);

/// Longest wait for an answer; longer than the server's limit, so that its answer is seen.
const CALL_TIMEOUT: Duration = Duration::from_secs(25);

/// Tries of a change whose outcome is not known; its change id keeps it from a second effect.
const APPLY_TRIES: usize = 3;

/// Pause between these tries.
const APPLY_PAUSE: Duration = Duration::from_millis(300);

/// Largest message that is read. Parts of the configuration stay below 4 MB; the status of 5,800
/// VMs takes about 1 MB.
const MAX_RESPONSE: usize = 64 * 1024 * 1024;

struct ShowToken(MetadataValue<Ascii>);

impl Interceptor for ShowToken {
    fn call(&mut self, mut request: Request<()>) -> Result<Request<()>, tonic::Status> {
        request.metadata_mut().insert("authorization", self.0.clone());
        Ok(request)
    }
}

/// A connection of an operator to one VM.
pub struct Client {
    inner: OperatorClient<InterceptedService<Channel, ShowToken>>,
}

impl Client {
    /// Connects to a VM. The token is checked by the first call.
    pub async fn connect(address: SocketAddr, token: &str) -> Result<Self, OperatorError> {
        let unusable = |e: TokenError| FieldError::new("token", e.to_string());
        tokens::check(token).map_err(|e| OperatorError::Invalid(vec![unusable(e)]))?;
        let mut token: MetadataValue<Ascii> =
            format!("Bearer {token}").parse().map_err(|_| OperatorError::Unauthenticated)?;
        token.set_sensitive(true);
        let unreachable = |e: tonic::transport::Error| {
            // The error itself only says that it comes from the transport.
            let cause = e.source().map_or_else(|| e.to_string(), ToString::to_string);
            let text = format!("{address} cannot be reached ({cause}); check it or ask another VM");
            OperatorError::Unavailable(text.into())
        };
        let endpoint = Endpoint::from_shared(format!("http://{address}")).map_err(unreachable)?;
        let endpoint = endpoint.connect_timeout(CONNECT_TIMEOUT).timeout(CALL_TIMEOUT);
        let channel = endpoint.connect().await.map_err(unreachable)?;
        let inner = OperatorClient::with_interceptor(channel, ShowToken(token));
        Ok(Client { inner: inner.max_decoding_message_size(MAX_RESPONSE) })
    }

    /// Applies a change set. An unknown outcome is asked for again with the same change id.
    pub async fn apply(&mut self, set: &ChangeSet) -> Result<Applied, OperatorError> {
        let mut tries = 1;
        loop {
            match self.try_apply(set).await {
                Err(OperatorError::UnknownOutcome { .. }) if tries < APPLY_TRIES => {
                    tries += 1;
                    tokio::time::sleep(APPLY_PAUSE).await;
                }
                result => return result,
            }
        }
    }

    async fn try_apply(&mut self, set: &ChangeSet) -> Result<Applied, OperatorError> {
        let request = proto::ApplyRequest {
            base_version: set.base_version,
            change_id: set.change_id.to_string(),
            changes: set.changes.iter().map(Into::into).collect(),
        };
        match self.inner.apply(request).await {
            Ok(response) => {
                let proto::ApplyResponse { version, repeated } = response.into_inner();
                Ok(Applied { version, repeated })
            }
            // Without a detail the error was made on the way and the VM may have made the change.
            Err(status)
                if read_kind(status.details()).is_none()
                    && matches!(
                        status.code(),
                        Code::Unavailable
                            | Code::Unknown
                            | Code::Cancelled
                            | Code::DeadlineExceeded
                            | Code::Internal
                    ) =>
            {
                Err(OperatorError::UnknownOutcome { change_id: set.change_id.clone() })
            }
            Err(status) => Err(status.into()),
        }
    }

    /// Reads the configuration.
    pub async fn config(&mut self) -> Result<FleetConfig, OperatorError> {
        self.read_entries(&[]).await
    }

    /// Reads the entries of these kinds, with the version; no kind reads all.
    pub async fn read_entries(
        &mut self,
        kinds: &[EntryKind],
    ) -> Result<FleetConfig, OperatorError> {
        let kinds = kinds.iter().map(|kind| (*kind).into()).collect();
        let request = proto::GetConfigRequest { kinds };
        let mut parts = self.inner.get_config(request).await?.into_inner();
        let mut config = FleetConfig::default();
        while let Some(part) = parts.message().await? {
            part.add_to(&mut config)?;
        }
        Ok(config)
    }

    /// Reads the state of the fleet.
    pub async fn status(&mut self, query: StatusQuery) -> Result<Status, OperatorError> {
        let organisations = query.organisations.into_iter().map(Into::into).collect();
        let request = proto::StatusRequest { organisations };
        self.inner.status(request).await?.into_inner().try_into()
    }

    /// Explains a request.
    pub async fn explain(&mut self, query: ExplainQuery) -> Result<Explanation, OperatorError> {
        let request = proto::ExplainRequest::from(query);
        Ok(self.inner.explain(request).await?.into_inner().into())
    }
}
