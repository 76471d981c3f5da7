//! Sessions that stand through a session manager that has started anew are handed over to it.

use super::*;
use crate::standin::World;
use cloverhollow_settings::title_id;

/// A test that is not passed by then is begun again.
const TEST: Duration = Duration::from_secs(1);
/// Sessions handed over wait for no answer; they say so by an hour and more.
const WAIT_MS: &str = "4000000";
/// The id that a test names.
const TEST_ID: &str = "00000000000000ff";

impl Clients {
    /// A session manager has started: it is tested, and the sessions that stood through its last life follow at once.
    pub(crate) async fn hand_over(self: &Arc<Self>, front: usize, world: &World) {
        let Some(conn) = self.tested(front).await else { return };
        let standing: Vec<(Arc<str>, usize)> = {
            let side = self.side(front);
            side.sessions.iter().filter(|(_, s)| s.stands).map(|(sid, s)| (sid.clone(), s.top)).collect()
        };
        for (sid, top) in standing {
            let Some(setup) = setup_at(world, &sid, top) else { continue };
            {
                let mut side = self.side(front);
                let Some(session) = side.sessions.get_mut(&sid) else { continue };
                session.conn = conn;
                if let Some(c) = side.conns.get_mut(&conn) {
                    c.sessions += 1;
                }
            }
            if self.write(front, conn, setup) {
                self.log.put(Seen::HandedOver { sid, front });
            }
        }
        self.fronts.open(front);
    }

    /// Tests a session manager until it passes; the connection on which it did.
    async fn tested(self: &Arc<Self>, front: usize) -> Option<u64> {
        while self.fronts.phase(front) == Phase::Starting {
            let test: Arc<str> = TEST_ID.into();
            let conn = self.connect(front, true).await?;
            let (to, mut words) = mpsc::unbounded_channel();
            let session = Session { to, call: 0, top: 0, conn, answered: true, stands: false };
            self.side(front).sessions.insert(test.clone(), session);
            self.write(front, conn, rtsp::request(Method::Options, "rtsp://media/ping", "3", &test, &[]));
            let passed = tokio::time::timeout(TEST, words.recv()).await;
            self.side(front).sessions.remove(&test);
            if let Ok(Some(Word::Message(Message {
                start_line: StartLine::Response { status: 200 }, ..
            }))) = passed
            {
                return Some(conn);
            }
            self.close(front, conn);
        }
        None
    }
}

fn setup_at(world: &World, sid: &Arc<str>, top: usize) -> Option<Bytes> {
    let (class, title) = world.asked(sid)?;
    let server = world.stood_at(sid)?;
    let name = world.site.classes.0.get(class)?.name.as_str().to_owned();
    let title = title_id(&title);
    let (home, copies) = (world.site.home_cell(title), world.site.fleet.cells_per_title.value);
    let route = format!("home:{home};copies:{copies};top:{top};at:{}", crate::standin::server_name(server));
    let headers = [("X-Service", name), ("X-Setup-Ms", WAIT_MS.to_owned()), ("X-Route", route)];
    let uri = format!("rtsp://media/{title:016x}");
    Some(rtsp::request_with_body(Method::Setup, &uri, "1", sid, &headers, b"v=0"))
}
