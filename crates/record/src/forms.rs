//! Serialization of the policy's types, mirrored here so that the policy itself needs no serialization format.

use cloverhollow::{
    Action, AttemptOutcome, Event, ListEntry, ListMode, LoadReport, PeerReport, RecoveredHistory, RequestId,
    ServerId, ServerState, SessionReport, SessionRequest, TitleId,
};
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::time::Duration;

#[derive(Serialize, Deserialize)]
#[serde(remote = "ServerState")]
enum ListedForm {
    Serving,
    Draining,
    #[serde(rename = "Gone")]
    Removed,
}

#[derive(Serialize, Deserialize)]
#[serde(remote = "ListMode")]
enum ListModeForm {
    Patch,
    #[serde(rename = "Whole")]
    Full,
    Stale,
    #[serde(rename = "Broken")]
    Failed,
}

#[derive(Serialize, Deserialize)]
#[serde(remote = "AttemptOutcome")]
enum OutcomeForm {
    Ok,
    Error,
    Full,
    Timeout,
    ConnectFailed,
    Reset,
    Cancelled,
    #[serde(rename = "Moot")]
    NotSent,
}

#[derive(Serialize, Deserialize)]
#[serde(remote = "LoadReport")]
struct ReportForm {
    #[serde(rename = "link")]
    link_load: Option<f64>,
    #[serde(rename = "rack")]
    uplink_load: Option<f64>,
}

#[derive(Serialize, Deserialize)]
#[serde(remote = "SessionReport")]
enum NoteForm {
    #[serde(rename = "Share")]
    DeliveredShare(f64),
    Rung(usize),
    #[serde(rename = "Link")]
    LinkLoad(f64),
    #[serde(rename = "Rack")]
    UplinkLoad(f64),
}

#[derive(Serialize, Deserialize)]
#[serde(remote = "SessionRequest")]
struct CallForm {
    #[serde(rename = "request")]
    id: RequestId,
    title: TitleId,
    class: usize,
    tenant: Option<usize>,
    #[serde(rename = "top")]
    max_rung: usize,
    first_cell: u64,
    #[serde(rename = "cells")]
    cell_count: u64,
    deadline: Duration,
    #[serde(rename = "again")]
    is_repeat: bool,
}

#[derive(Serialize, Deserialize)]
#[serde(remote = "ListEntry")]
struct EntryForm {
    server: ServerId,
    cell: u64,
    kind: usize,
    weight: f64,
    #[serde(with = "ListedForm")]
    state: ServerState,
    #[serde(rename = "started")]
    started_at: Duration,
    #[serde(rename = "key", default)]
    shared_key: u64,
    #[serde(rename = "far", default)]
    in_other_zone: bool,
}

#[derive(Serialize, Deserialize)]
#[serde(remote = "PeerReport")]
struct HeardForm {
    server: ServerId,
    #[serde(with = "ListedForm")]
    state: ServerState,
    #[serde(rename = "started")]
    started_at: Duration,
    failed: bool,
    #[serde(rename = "lost")]
    may_have_restarted: bool,
    #[serde(with = "ReportForm")]
    #[serde(rename = "report")]
    load: LoadReport,
    #[serde(rename = "age")]
    load_age: Duration,
}

#[derive(Serialize, Deserialize)]
#[serde(remote = "RecoveredHistory")]
struct BeforeForm {
    #[serde(rename = "further")]
    retry_ages: Vec<Duration>,
    #[serde(rename = "known")]
    complete_for: Duration,
    #[serde(rename = "ran")]
    last_setup_age: Option<Duration>,
    #[serde(rename = "late")]
    list_delay: Duration,
}

#[derive(Serialize, Deserialize)]
#[serde(remote = "Event")]
enum EventForm {
    #[serde(rename = "List")]
    ListUpdate(#[serde(with = "ListModeForm")] ListMode, #[serde(with = "Entries")] Vec<ListEntry>),
    #[serde(rename = "Call")]
    Request(#[serde(with = "CallForm")] SessionRequest),
    Adopted(#[serde(with = "CallForm")] SessionRequest, ServerId),
    Playing(RequestId, u32, ServerId, Duration),
    #[serde(rename = "Note")]
    SessionReport(RequestId, ServerId, #[serde(with = "NoteForm")] SessionReport),
    #[serde(rename = "Ended")]
    AttemptEnded(
        RequestId,
        u32,
        ServerId,
        #[serde(with = "OutcomeForm")] AttemptOutcome,
        bool,
        #[serde(with = "ReportForm")] LoadReport,
    ),
    #[serde(rename = "Gone")]
    ViewerLeft(RequestId),
    Timer(u64),
    #[serde(rename = "Heard")]
    PeerReport(#[serde(with = "HeardForm")] PeerReport),
    #[serde(rename = "Before")]
    RecoveredHistory(#[serde(with = "BeforeForm")] RecoveredHistory),
    #[serde(rename = "Clock")]
    ClockOffset(Duration),
    #[serde(rename = "Counted")]
    FleetSize {
        #[serde(rename = "fronts")]
        max_fronts: Option<usize>,
    },
}

#[derive(Serialize, Deserialize)]
#[serde(remote = "Action")]
enum ActionForm {
    Send(RequestId, ServerId, Duration),
    #[serde(rename = "Rung")]
    SetRung(RequestId, usize),
    Refuse(RequestId, Duration),
    Fail(RequestId),
    #[serde(rename = "Timer")]
    SetTimer(Duration, u64),
    Subscribe,
    Log(String),
}

macro_rules! lists {
    ($($one:ident $of:ty, $form:ident, $form_text:literal, $refs:ident, $owned:ident;)*) => {$(
        #[derive(Serialize, Deserialize)]
        struct $one(#[serde(with = $form_text)] $of);

        /// Slice to be serialized.
        pub(crate) struct $refs<'a>(pub(crate) &'a [$of]);

        impl Serialize for $refs<'_> {
            fn serialize<S: Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
                struct Ref<'b>(&'b $of);
                impl Serialize for Ref<'_> {
                    fn serialize<S: Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
                        $form::serialize(self.0, s)
                    }
                }
                s.collect_seq(self.0.iter().map(Ref))
            }
        }

        /// Serialization of a list, for `#[serde(with)]`.
        pub(crate) struct $owned;

        impl $owned {
            pub(crate) fn serialize<S: Serializer>(all: &[$of], s: S) -> Result<S::Ok, S::Error> {
                $refs(all).serialize(s)
            }

            pub(crate) fn deserialize<'de, D: Deserializer<'de>>(d: D) -> Result<Vec<$of>, D::Error> {
                Ok(Vec::<$one>::deserialize(d)?.into_iter().map(|one| one.0).collect())
            }
        }
    )*};
}

lists! {
    OneEvent Event, EventForm, "EventForm", EventsRef, Events;
    OneAction Action, ActionForm, "ActionForm", ActionsRef, Actions;
    OneEntry ListEntry, EntryForm, "EntryForm", EntriesRef, Entries;
}
