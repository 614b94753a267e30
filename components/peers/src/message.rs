use kernel::LimiterMessage;
use kernel::prelude::*;
use retry::CrashMessage;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// A message from one VM to another.
#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    /// Of the failure detector.
    Membership(membership::MembershipMessage),
    /// Of the rate limiter.
    Limiter(LimiterMessage),
    /// Of the crash guard of a service.
    Crash(ServiceId, CrashMessage),
    /// A new version of the configuration is in force on the sender.
    NewVersion(ConfigVersion),
    /// Free slots of a service in the sender's region, as its home counts them.
    FreeSlots(ServiceId, u32),
    /// Asks whether the receiver reaches a backend server of a service.
    ReachAsk(ServiceId, BackendId),
    /// Whether the sender reaches a backend server of a service.
    Reach(ServiceId, BackendId, bool),
}

/// A message as it travels. A receiver skips topics that it does not know, so that two releases
/// can run side by side.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RawMessage {
    topic: Box<str>,
    body: serde_json::Value,
}

/// Messages of one call.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Parcel {
    /// Sender.
    pub from: Incarnation,
    /// Messages in order.
    pub messages: Vec<RawMessage>,
}

/// Why a message is skipped.
#[derive(Debug, Error)]
pub enum MessageError {
    /// A newer release sent it.
    #[error("topic {0:?} is not known to this release; upgrade this VM")]
    Topic(Box<str>),
    /// The body has another form.
    #[error("the body of topic {topic:?} cannot be read ({source}); upgrade the older VM")]
    Body {
        /// Topic.
        topic: Box<str>,
        /// Cause.
        source: serde_json::Error,
    },
}

impl Parcel {
    /// Packs messages.
    pub fn new<'a>(from: Incarnation, messages: impl IntoIterator<Item = &'a Message>) -> Self {
        Parcel { from, messages: messages.into_iter().map(RawMessage::from).collect() }
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
            Message::ReachAsk(s, b) => ("reach-ask/1", serde_json::to_value((s, b))),
            Message::Reach(s, b, r) => ("reach/1", serde_json::to_value((s, b, r))),
        };
        // The types of messages have no map with keys other than text, so that this cannot fail.
        RawMessage { topic: topic.into(), body: body.unwrap_or_default() }
    }
}

impl TryFrom<RawMessage> for Message {
    type Error = MessageError;

    fn try_from(raw: RawMessage) -> Result<Self, MessageError> {
        fn read<T: DeserializeOwned>(raw: RawMessage) -> Result<T, MessageError> {
            let topic = raw.topic;
            serde_json::from_value(raw.body).map_err(|source| MessageError::Body { topic, source })
        }
        match &*raw.topic {
            "membership/1" => read(raw).map(Message::Membership),
            "limiter/1" => read(raw).map(Message::Limiter),
            "crash/1" => read(raw).map(|(s, m)| Message::Crash(s, m)),
            "new-version/1" => read(raw).map(Message::NewVersion),
            "reach-ask/1" => read(raw).map(|(s, b)| Message::ReachAsk(s, b)),
            "reach/1" => read(raw).map(|(s, b, r)| Message::Reach(s, b, r)),
            "free-slots/1" => read(raw).map(|(s, n)| Message::FreeSlots(s, n)),
            _ => Err(MessageError::Topic(raw.topic)),
        }
    }
}
