//! The module's vocabulary as serde sees it. The interface itself stays free of any format.

use cloverhollow::{
    Action, Before, Call, Entry, Event, Heard, ListMode, Listed, Note, Outcome, Report, RequestId, ServerId,
    TitleId,
};
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::time::Duration;

#[derive(Serialize, Deserialize)]
#[serde(remote = "Listed")]
enum ListedForm {
    Serving,
    Draining,
    Gone,
}

#[derive(Serialize, Deserialize)]
#[serde(remote = "ListMode")]
enum ListModeForm {
    Patch,
    Whole,
    Stale,
    Broken,
}

#[derive(Serialize, Deserialize)]
#[serde(remote = "Outcome")]
enum OutcomeForm {
    Ok,
    Error,
    Full,
    Timeout,
    ConnectFailed,
    Reset,
    Cancelled,
    Moot,
}

#[derive(Serialize, Deserialize)]
#[serde(remote = "Report")]
struct ReportForm {
    link: Option<f64>,
    rack: Option<f64>,
}

#[derive(Serialize, Deserialize)]
#[serde(remote = "Note")]
enum NoteForm {
    Share(f64),
    Rung(usize),
    Link(f64),
    Rack(f64),
}

#[derive(Serialize, Deserialize)]
#[serde(remote = "Call")]
struct CallForm {
    request: RequestId,
    title: TitleId,
    class: usize,
    tenant: Option<usize>,
    top: usize,
    first_cell: u64,
    cells: u64,
    deadline: Duration,
    again: bool,
}

#[derive(Serialize, Deserialize)]
#[serde(remote = "Entry")]
struct EntryForm {
    server: ServerId,
    cell: u64,
    kind: usize,
    weight: f64,
    #[serde(with = "ListedForm")]
    state: Listed,
    started: Duration,
    #[serde(default)]
    key: u64,
    #[serde(default)]
    far: bool,
}

#[derive(Serialize, Deserialize)]
#[serde(remote = "Heard")]
struct HeardForm {
    server: ServerId,
    #[serde(with = "ListedForm")]
    state: Listed,
    started: Duration,
    failed: bool,
    lost: bool,
    #[serde(with = "ReportForm")]
    report: Report,
    age: Duration,
}

#[derive(Serialize, Deserialize)]
#[serde(remote = "Before")]
struct BeforeForm {
    further: Vec<Duration>,
    known: Duration,
    ran: Option<Duration>,
    late: Duration,
}

#[derive(Serialize, Deserialize)]
#[serde(remote = "Event")]
enum EventForm {
    List(#[serde(with = "ListModeForm")] ListMode, #[serde(with = "Entries")] Vec<Entry>),
    Call(#[serde(with = "CallForm")] Call),
    Adopted(#[serde(with = "CallForm")] Call, ServerId),
    Playing(RequestId, u32, ServerId, Duration),
    Note(RequestId, ServerId, #[serde(with = "NoteForm")] Note),
    Ended(
        RequestId,
        u32,
        ServerId,
        #[serde(with = "OutcomeForm")] Outcome,
        bool,
        #[serde(with = "ReportForm")] Report,
    ),
    Gone(RequestId),
    Timer(u64),
    Heard(#[serde(with = "HeardForm")] Heard),
    Before(#[serde(with = "BeforeForm")] Before),
    Clock(Duration),
    Counted {
        fronts: Option<usize>,
    },
}

#[derive(Serialize, Deserialize)]
#[serde(remote = "Action")]
enum ActionForm {
    Send(RequestId, ServerId, Duration),
    Rung(RequestId, usize),
    Refuse(RequestId, Duration),
    Fail(RequestId),
    Timer(Duration, u64),
    Subscribe,
    Log(String),
}

macro_rules! lists {
    ($($one:ident $of:ty, $form:ident, $form_text:literal, $refs:ident, $owned:ident;)*) => {$(
        #[derive(Serialize, Deserialize)]
        struct $one(#[serde(with = $form_text)] $of);

        /// A slice, to be written.
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

        /// A list, read back.
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
    OneEntry Entry, EntryForm, "EntryForm", EntriesRef, Entries;
}
