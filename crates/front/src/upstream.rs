//! What goes to a server and what its answers tell: CMCD out, CMSD in.

use crate::pool::Lease;
use crate::Shared;
use cloverhollow_hints::cmcd::{CustomKey, CustomValue, Kbps, Record};
use cloverhollow_hints::cmsd::{self, Hop};
use cloverhollow_hints::{Faults, Group};
use cloverhollow_http::{RequestHead, ResponseHead, Target};
use cloverhollow_session::{Load, Route, Setup};
use std::net::SocketAddr;

/// The custom key that marks a set-up, with the attempt's number. Without it a server never sets up.
pub(crate) const SETUP_KEY: &str = "com.cloverhollow-setup";
/// The prefix of our own custom keys: a viewer's are not passed on.
const OWN_PREFIX: &str = "com.cloverhollow-";
/// The reason by which a server says that it does not hold the session.
const UNKNOWN_SESSION: &str = "unknown-session";

/// A viewer's request, as a server is asked for it.
#[derive(Debug)]
pub(crate) struct Ask {
    pub(crate) target: Target,
    pub(crate) hints: Record,
}

/// A set-up's answer under way.
#[derive(Debug)]
pub(crate) struct SetupAnswer {
    pub(crate) head: ResponseHead,
    pub(crate) lease: Lease,
}

fn head(
    ask: &Ask,
    address: SocketAddr,
    sid: &str,
    kbps: u32,
    setup: Option<u32>,
    shared: &Shared,
) -> RequestHead {
    let mut hints = ask.hints.clone();
    hints.sid = Some(sid.into());
    (hints.br, hints.rtp) = (Some(Kbps(kbps)), Some(Kbps(kbps)));
    // The module's rung is what the server goes by; what the viewer asked at more must not look like it.
    hints.tb = hints.tb.filter(|tb| tb.0 >= kbps);
    hints.custom.retain(|c| !c.key.starts_with(OWN_PREFIX));
    if let Some(number) = setup {
        let value = CustomValue::Unquoted(number.to_string().into());
        hints.custom.push(CustomKey { key: SETUP_KEY.into(), value });
    }
    let mut head = RequestHead::get(ask.target.clone());
    head.headers.push("host", address.to_string());
    head.headers.push("via", shared.via.clone());
    for group in Group::ALL {
        let text = hints.to_header(group);
        if !text.is_empty() {
            head.headers.push(group.header(), text);
        }
    }
    head
}

/// The request of a set-up.
pub(crate) fn setup_head(setup: &Setup<std::sync::Arc<Ask>>, shared: &Shared) -> RequestHead {
    head(&setup.payload, setup.address, &setup.sid, setup.kbps, Some(setup.attempt.number), shared)
}

/// The request of a later object.
pub(crate) fn object_head(ask: &Ask, route: &Route, shared: &Shared) -> RequestHead {
    head(ask, route.address, &route.sid, route.kbps(), None, shared)
}

/// What an answer's head tells.
#[derive(Debug, Default)]
pub(crate) struct Told {
    pub(crate) load: Load,
    /// The set-up did not run.
    pub(crate) unrun: bool,
    /// The server does not hold the session.
    pub(crate) unknown: bool,
    /// The members of `CMSD-Dynamic` so far, as they came.
    pub(crate) path: String,
}

/// Reads `CMSD-Dynamic`; the last member is the server's that we asked.
pub(crate) fn told(head: &ResponseHead, kbps: u32) -> Told {
    let Some(path) = head.headers.joined(cmsd::DYNAMIC_HEADER) else { return Told::default() };
    let mut faults = Faults::default();
    let hops = cmsd::read_dynamic(&path, &mut faults);
    if faults.total() > 0 {
        tracing::debug!(dropped = %faults, "server hints dropped");
    }
    let Some(hop) = hops.into_iter().next_back() else { return Told::default() };
    let share =
        hop.throughput_kbps.filter(|_| kbps > 0).map(|etp| (f64::from(etp) / f64::from(kbps)).min(1.0));
    Told {
        load: Load { link: hop.link_utilization, rack: hop.rack_utilization, share },
        unrun: hop.not_executed,
        unknown: hop.reason.as_deref() == Some(UNKNOWN_SESSION),
        path,
    }
}

/// Our own member, with what the route says.
pub(crate) fn own_hop(shared: &Shared, route: Option<&Route>, delay_ms: u32) -> Hop {
    Hop {
        name: shared.settings.instance.name.as_str().into(),
        response_delay_ms: Some(delay_ms),
        max_bitrate_kbps: route.map(Route::kbps),
        rung: route.map(|r| r.rung() as u32),
        ..Hop::default()
    }
}
