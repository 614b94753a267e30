use kernel::LimiterMessage;
use kernel::prelude::*;
use retry::CrashMessage;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// A message from one VM to another.
#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    /// Message of the failure detector.
    Membership(membership::MembershipMessage),
    /// Message of the rate limiter.
    Limiter(LimiterMessage),
    /// Message of the crash guard of a service.
    Crash(ServiceId, CrashMessage),
    /// A new version of the configuration is in force on the sender.
    NewVersion(ConfigVersion),
    /// Free slots of a service in the sender's region, as its home counts them.
    FreeSlots(ServiceId, u32),
    /// Asks whether the receiver can reach a backend server of a service.
    ReachabilityQuery(ServiceId, BackendId),
    /// Whether the sender can reach a backend server of a service.
    Reachability(ServiceId, BackendId, bool),
}

/// A message in its wire format. Receivers skip unknown topics, so that two releases can run side
/// by side.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RawMessage {
    topic: Box<str>,
    body: serde_json::Value,
}

/// Messages delivered by one call.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MessageBatch {
    /// Sender.
    pub from: Incarnation,
    /// Messages in order.
    pub messages: Vec<RawMessage>,
}

/// Reason for which a message is skipped.
#[derive(Debug, Error)]
pub enum MessageError {
    /// The topic is unknown, as it comes from a newer release.
    #[error("topic {0:?} is unknown to this release; upgrade this VM")]
    UnknownTopic(Box<str>),
    /// The body does not have the format of its topic.
    #[error("cannot decode the body of topic {topic:?} ({source}); upgrade the older VM")]
    InvalidBody {
        /// Topic.
        topic: Box<str>,
        /// Cause.
        source: serde_json::Error,
    },
}

impl MessageBatch {
    /// Encodes messages.
    pub fn new<'a>(from: Incarnation, messages: impl IntoIterator<Item = &'a Message>) -> Self {
        MessageBatch { from, messages: messages.into_iter().map(RawMessage::from).collect() }
    }
}

impl From<&Message> for RawMessage {
    fn from(message: &Message) -> Self {
        let (topic, body) = match message {
            Message::Membership(m) => ("membership/1", serde_json::to_value(m)),
            Message::Limiter(m) => ("limiter/1", serde_json::to_value(m)),
            Message::Crash(s, m) => ("crash/1", serde_json::to_value((s, m))),
            Message::NewVersion(v) => ("new-version/1", serde_json::to_value(v)),
            Message::FreeSlots(s, n) => ("free-slots/1", serde_json::to_value((s, n))),
            Message::ReachabilityQuery(s, b) => ("reach-ask/1", serde_json::to_value((s, b))),
            Message::Reachability(s, b, r) => ("reach/1", serde_json::to_value((s, b, r))),
        };
        // Encoding cannot fail, since no message type has a map with keys other than strings.
        RawMessage { topic: topic.into(), body: body.unwrap_or_default() }
    }
}

impl TryFrom<RawMessage> for Message {
    type Error = MessageError;

    fn try_from(raw: RawMessage) -> Result<Self, MessageError> {
        fn read<T: DeserializeOwned>(raw: RawMessage) -> Result<T, MessageError> {
            let topic = raw.topic;
            serde_json::from_value(raw.body)
                .map_err(|source| MessageError::InvalidBody { topic, source })
        }
        match &*raw.topic {
            "membership/1" => read(raw).map(Message::Membership),
            "limiter/1" => read(raw).map(Message::Limiter),
            "crash/1" => read(raw).map(|(s, m)| Message::Crash(s, m)),
            "new-version/1" => read(raw).map(Message::NewVersion),
            "reach-ask/1" => read(raw).map(|(s, b)| Message::ReachabilityQuery(s, b)),
            "reach/1" => read(raw).map(|(s, b, r)| Message::Reachability(s, b, r)),
            "free-slots/1" => read(raw).map(|(s, n)| Message::FreeSlots(s, n)),
            _ => Err(MessageError::UnknownTopic(raw.topic)),
        }
    }
}
