//! Requests to servers and the hints in their responses: CMCD out, CMSD in.

use crate::connection_pool::PooledConnection;
use crate::Shared;
use cloverhollow_hints::cmcd::{CustomKey, CustomValue, Kbps, Record};
use cloverhollow_hints::cmsd::{self, Hop};
use cloverhollow_hints::{Faults, Group};
use cloverhollow_http::{RequestHead, ResponseHead, Target};
use cloverhollow_session::{Load, Route, Setup};
use std::net::SocketAddr;

/// Custom CMCD key that marks a set-up and holds the attempt number. A server sets nothing up without it.
pub(crate) const SETUP_KEY: &str = "com.cloverhollow-setup";
/// Prefix of this project's custom keys; such keys from a viewer are not forwarded.
const OWN_PREFIX: &str = "com.cloverhollow-";
/// CMSD reason by which a server reports that it does not hold the session.
const UNKNOWN_SESSION: &str = "unknown-session";

/// Viewer's request, to be forwarded to a server.
#[derive(Debug)]
pub(crate) struct ViewerRequest {
    pub(crate) target: Target,
    pub(crate) hints: Record,
}

/// Server's response to a set-up, whose body is still to be relayed.
#[derive(Debug)]
pub(crate) struct SetupResponse {
    pub(crate) head: ResponseHead,
    pub(crate) connection: PooledConnection,
}

fn request_head(
    request: &ViewerRequest,
    address: SocketAddr,
    sid: &str,
    kbps: u32,
    attempt_number: Option<u32>,
    shared: &Shared,
) -> RequestHead {
    let mut hints = request.hints.clone();
    hints.sid = Some(sid.into());
    (hints.br, hints.rtp) = (Some(Kbps(kbps)), Some(Kbps(kbps)));
    // The server goes by the rung of the placement policy, so a lower top bit rate requested by the viewer is
    // removed.
    hints.tb = hints.tb.filter(|tb| tb.0 >= kbps);
    hints.custom.retain(|c| !c.key.starts_with(OWN_PREFIX));
    if let Some(number) = attempt_number {
        let value = CustomValue::Unquoted(number.to_string().into());
        hints.custom.push(CustomKey { key: SETUP_KEY.into(), value });
    }
    let mut head = RequestHead::get(request.target.clone());
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

/// Returns the request that sets a session up.
pub(crate) fn setup_request(setup: &Setup<std::sync::Arc<ViewerRequest>>, shared: &Shared) -> RequestHead {
    request_head(&setup.payload, setup.address, &setup.sid, setup.kbps, Some(setup.attempt.number), shared)
}

/// Returns the request for an object of an established session.
pub(crate) fn object_request(request: &ViewerRequest, route: &Route, shared: &Shared) -> RequestHead {
    request_head(request, route.address, &route.sid, route.kbps(), None, shared)
}

/// Hints from the head of a server's response.
#[derive(Debug, Default)]
pub(crate) struct ResponseHints {
    pub(crate) load: Load,
    /// True if the set-up was not executed.
    pub(crate) not_executed: bool,
    /// True if the server does not hold the session.
    pub(crate) unknown_session: bool,
    /// Members of `CMSD-Dynamic` as received.
    pub(crate) cmsd_path: String,
}

/// Reads `CMSD-Dynamic`. Its last member was added by the server that sent the response.
pub(crate) fn response_hints(head: &ResponseHead, kbps: u32) -> ResponseHints {
    let Some(cmsd_path) = head.headers.joined(cmsd::DYNAMIC_HEADER) else { return ResponseHints::default() };
    let mut faults = Faults::default();
    let hops = cmsd::read_dynamic(&cmsd_path, &mut faults);
    if faults.total() > 0 {
        tracing::debug!(dropped = %faults, "server hints dropped");
    }
    let Some(hop) = hops.into_iter().next_back() else { return ResponseHints::default() };
    let share = hop
        .throughput_kbps
        .filter(|_| kbps > 0)
        .map(|throughput| (f64::from(throughput) / f64::from(kbps)).min(1.0));
    ResponseHints {
        load: Load { link: hop.link_utilization, rack: hop.rack_utilization, share },
        not_executed: hop.not_executed,
        unknown_session: hop.reason.as_deref() == Some(UNKNOWN_SESSION),
        cmsd_path,
    }
}

/// Returns this front's own CMSD member, with the rung of the route.
pub(crate) fn own_cmsd_hop(shared: &Shared, route: Option<&Route>, delay_ms: u32) -> Hop {
    Hop {
        name: shared.settings.instance.name.as_str().into(),
        response_delay_ms: Some(delay_ms),
        max_bitrate_kbps: route.map(Route::kbps),
        rung: route.map(|r| r.rung() as u32),
        ..Hop::default()
    }
}
