//! Serialization of the policy's types, mirrored here so that the policy itself needs no serialization format.

use cloverhollow::{
    Action, AttemptOutcome, Event, ListEntry, ListMode, LoadReport, PeerReport, RecoveredHistory, RequestId,
    ServerId, ServerState, SessionReport, SessionRequest, TitleId,
};
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::time::Duration;

#[derive(Serialize, Deserialize)]
#[serde(remote = "ServerState")]
enum ServerStateDef {
    Serving,
    Draining,
    #[serde(rename = "Gone")]
    Removed,
}

#[derive(Serialize, Deserialize)]
#[serde(remote = "ListMode")]
enum ListModeDef {
    Patch,
    #[serde(rename = "Whole")]
    Full,
    Stale,
    #[serde(rename = "Broken")]
    Failed,
}

#[derive(Serialize, Deserialize)]
#[serde(remote = "AttemptOutcome")]
enum AttemptOutcomeDef {
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
struct LoadReportDef {
    #[serde(rename = "link")]
    link_load: Option<f64>,
    #[serde(rename = "rack")]
    uplink_load: Option<f64>,
}

#[derive(Serialize, Deserialize)]
#[serde(remote = "SessionReport")]
enum SessionReportDef {
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
struct SessionRequestDef {
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
struct ListEntryDef {
    server: ServerId,
    cell: u64,
    kind: usize,
    weight: f64,
    #[serde(with = "ServerStateDef")]
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
struct PeerReportDef {
    server: ServerId,
    #[serde(with = "ServerStateDef")]
    state: ServerState,
    #[serde(rename = "started")]
    started_at: Duration,
    failed: bool,
    #[serde(rename = "lost")]
    may_have_restarted: bool,
    #[serde(with = "LoadReportDef")]
    #[serde(rename = "report")]
    load: LoadReport,
    #[serde(rename = "age")]
    load_age: Duration,
}

#[derive(Serialize, Deserialize)]
#[serde(remote = "RecoveredHistory")]
struct RecoveredHistoryDef {
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
enum EventDef {
    #[serde(rename = "List")]
    ListUpdate(#[serde(with = "ListModeDef")] ListMode, #[serde(with = "Entries")] Vec<ListEntry>),
    #[serde(rename = "Call")]
    Request(#[serde(with = "SessionRequestDef")] SessionRequest),
    Adopted(#[serde(with = "SessionRequestDef")] SessionRequest, ServerId),
    Playing(RequestId, u32, ServerId, Duration),
    #[serde(rename = "Note")]
    SessionReport(RequestId, ServerId, #[serde(with = "SessionReportDef")] SessionReport),
    #[serde(rename = "Ended")]
    AttemptEnded(
        RequestId,
        u32,
        ServerId,
        #[serde(with = "AttemptOutcomeDef")] AttemptOutcome,
        bool,
        #[serde(with = "LoadReportDef")] LoadReport,
    ),
    #[serde(rename = "Gone")]
    ViewerLeft(RequestId),
    Timer(u64),
    #[serde(rename = "Heard")]
    PeerReport(#[serde(with = "PeerReportDef")] PeerReport),
    #[serde(rename = "Before")]
    RecoveredHistory(#[serde(with = "RecoveredHistoryDef")] RecoveredHistory),
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
enum ActionDef {
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
    ($($element:ident $item_type:ty, $def:ident, $def_name:literal, $slice:ident, $list:ident;)*) => {$(
        #[derive(Serialize, Deserialize)]
        struct $element(#[serde(with = $def_name)] $item_type);

        /// Slice to be serialized.
        pub(crate) struct $slice<'a>(pub(crate) &'a [$item_type]);

        impl Serialize for $slice<'_> {
            fn serialize<S: Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
                struct Ref<'b>(&'b $item_type);
                impl Serialize for Ref<'_> {
                    fn serialize<S: Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
                        $def::serialize(self.0, s)
                    }
                }
                s.collect_seq(self.0.iter().map(Ref))
            }
        }

        /// Serialization and deserialization of a list, for `#[serde(with)]`.
        pub(crate) struct $list;

        impl $list {
            pub(crate) fn serialize<S: Serializer>(elements: &[$item_type], s: S) -> Result<S::Ok, S::Error> {
                $slice(elements).serialize(s)
            }

            pub(crate) fn deserialize<'de, D: Deserializer<'de>>(d: D) -> Result<Vec<$item_type>, D::Error> {
                Ok(Vec::<$element>::deserialize(d)?.into_iter().map(|element| element.0).collect())
            }
        }
    )*};
}

lists! {
    EventElement Event, EventDef, "EventDef", EventsRef, Events;
    ActionElement Action, ActionDef, "ActionDef", ActionsRef, Actions;
    EntryElement ListEntry, ListEntryDef, "ListEntryDef", EntriesRef, Entries;
}
