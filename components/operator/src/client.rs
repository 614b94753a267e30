use std::error::Error;
use std::net::SocketAddr;
use std::time::Duration;

use config::{ChangeSet, FleetConfig};
use tonic::metadata::{Ascii, MetadataValue};
use tonic::service::Interceptor;
use tonic::service::interceptor::InterceptedService;
use tonic::transport::{Channel, Endpoint};
use tonic::{Code, Request};

use crate::error_detail::decode_error_kind;
use crate::proto::EntryKind;
use crate::proto::operator_client::OperatorClient;
use crate::{
    Applied, ExplainQuery, Explanation, FieldError, OperatorError, Status, StatusQuery, TokenError,
    proto, tokens,
};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);

/// Longer than the server's timeout, so that the server's error response is received.
const CALL_TIMEOUT: Duration = Duration::from_secs(25);

/// Attempts of a change whose outcome is unknown. The change id makes retries idempotent.
const MAX_APPLY_ATTEMPTS: usize = 3;

const APPLY_RETRY_DELAY: Duration = Duration::from_millis(300);

/// Parts of the configuration stay below 4 MB; the status of 5,800 VMs takes about 1 MB.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

struct AuthInterceptor(MetadataValue<Ascii>);

impl Interceptor for AuthInterceptor {
    fn call(&mut self, mut request: Request<()>) -> Result<Request<()>, tonic::Status> {
        request.metadata_mut().insert("authorization", self.0.clone());
        Ok(request)
    }
}

/// Client of the operators interface of one VM.
pub struct Client {
    inner: OperatorClient<InterceptedService<Channel, AuthInterceptor>>,
}

impl Client {
    /// Connects to a VM. Only the format of the token is checked; the VM verifies it on each call.
    pub async fn connect(address: SocketAddr, token: &str) -> Result<Self, OperatorError> {
        let invalid_token = |e: TokenError| FieldError::new("token", e.to_string());
        tokens::validate(token).map_err(|e| OperatorError::Invalid(vec![invalid_token(e)]))?;
        let mut token: MetadataValue<Ascii> =
            format!("Bearer {token}").parse().map_err(|_| OperatorError::Unauthenticated)?;
        token.set_sensitive(true);
        let unreachable = |e: tonic::transport::Error| {
            // The message of the error itself is only "transport error".
            let cause = e.source().map_or_else(|| e.to_string(), ToString::to_string);
            let text = format!(
                "cannot connect to {address} ({cause}); check the address or ask another VM"
            );
            OperatorError::Unavailable(text.into())
        };
        let endpoint = Endpoint::from_shared(format!("http://{address}")).map_err(unreachable)?;
        let endpoint = endpoint.connect_timeout(CONNECT_TIMEOUT).timeout(CALL_TIMEOUT);
        let channel = endpoint.connect().await.map_err(unreachable)?;
        let inner = OperatorClient::with_interceptor(channel, AuthInterceptor(token));
        Ok(Client { inner: inner.max_decoding_message_size(MAX_RESPONSE_BYTES) })
    }

    /// Applies a change set. If the outcome is unknown, it is sent again with the same change id.
    pub async fn apply(&mut self, set: &ChangeSet) -> Result<Applied, OperatorError> {
        let mut attempts = 1;
        loop {
            match self.apply_once(set).await {
                Err(OperatorError::UnknownOutcome { .. }) if attempts < MAX_APPLY_ATTEMPTS => {
                    attempts += 1;
                    tokio::time::sleep(APPLY_RETRY_DELAY).await;
                }
                result => return result,
            }
        }
    }

    async fn apply_once(&mut self, set: &ChangeSet) -> Result<Applied, OperatorError> {
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
            // An error without a detail was not created by the VM, so that the change may have been
            // applied.
            Err(status)
                if decode_error_kind(status.details()).is_none()
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

    /// Reads the whole configuration.
    pub async fn config(&mut self) -> Result<FleetConfig, OperatorError> {
        self.read_entries(&[]).await
    }

    /// Reads the version and the entries of these kinds; an empty list reads all kinds.
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

    /// Explains how a request was handled or would be handled.
    pub async fn explain(&mut self, query: ExplainQuery) -> Result<Explanation, OperatorError> {
        let request = proto::ExplainRequest::from(query);
        Ok(self.inner.explain(request).await?.into_inner().into())
    }
}
