//! The same day of a fleet four times: undisturbed, and with fronts that die and come back cold, with their
//! last list, and warm.

use crate::day::{play, DayError, Options, Outcome};
use crate::exchange::{Exchange, Got, Seen};
use crate::fronts::{Fronts, StartMode};
use crate::policies::PolicyName;
use crate::rules::Verdict;
use crate::score::Worth;
use crate::script::{Day, Kind, Script};
use bytes::Bytes;
use cloverhollow_http::{RequestHead, Target};
use cloverhollow_net::connect;
use plotters::prelude::*;
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;
use tokio::time::timeout;

/// Served worth is looked at over so many seconds at a time.
const SMOOTH: usize = 3;
/// Back is within this of the same day on which no front dies: servers drain and links are short on both.
const BACK: f64 = 0.95;
/// After the fronts are back, refusals and wrong set-ups are counted for so long.
const MEANWHILE: Duration = Duration::from_secs(10);

/// What the exchange of knowledge cost the fronts that ran at the day's end.
#[derive(Clone, Copy, Debug, Default, Serialize)]
#[allow(missing_docs)] // the names say it
pub struct PeerCost {
    pub questions: u64,
    pub fed: u64,
    pub fed_bytes: u64,
    /// Seconds of CPU spent on feeding, and in all.
    pub feeding_cpu_s: f64,
    pub cpu_s: f64,
}

/// What a front's side address says at a path, up to so many bytes.
pub(crate) async fn get(side: SocketAddr, path: &'static str, most: usize) -> Option<Vec<u8>> {
    let exchange = async {
        let mut conn = connect(side).await.ok()?;
        let mut head = RequestHead::get(Target::parse(path.into())?);
        head.headers.push("host", "front");
        let (_, body) = conn.exchange(head, Bytes::new(), most).await.ok()?;
        Some(body)
    };
    timeout(Duration::from_secs(2), exchange).await.ok().flatten()
}

async fn metrics(side: SocketAddr) -> Option<String> {
    String::from_utf8(get(side, "/metrics", 1 << 20).await?).ok()
}

/// Reads what the exchange cost, from the fronts' own counts.
pub(crate) async fn peer_cost(fronts: &Fronts) -> PeerCost {
    let mut cost = PeerCost::default();
    for (front, side) in fronts.sides() {
        let Some(text) = metrics(side).await else { continue };
        let of = |name: &str| {
            let line = text.lines().find_map(|l| l.strip_prefix(&format!("cloverhollow_{name}_total ")));
            line.and_then(|n| n.parse::<u64>().ok()).unwrap_or(0)
        };
        cost.questions += of("peer_questions");
        cost.fed += of("peer_fed");
        cost.fed_bytes += of("peer_fed_bytes");
        cost.feeding_cpu_s += of("peer_fed_us") as f64 / 1e6;
        cost.cpu_s += fronts.cpu(front);
    }
    cost
}

/// One of the three.
#[derive(Debug, Serialize)]
pub struct Return {
    /// What the fronts knew.
    pub mode: StartMode,
    /// The lowest served part, as a part of the undisturbed day's at that second.
    pub lowest: f64,
    /// Seconds from the fronts' return until it was back within 5% of the undisturbed day; `None`: not that day.
    pub back_after_s: Option<f64>,
    /// Worth lost against the undisturbed day, in seconds of its mean worth.
    pub lost_s: f64,
    /// Calls refused within 10 s of the return.
    pub refused: usize,
    /// Set-ups within 10 s of the return at servers that a list had told to be draining or gone.
    pub wrong: usize,
    /// Set-ups after the return at servers that a list had told before it to be draining or gone, past the
    /// grace.
    pub to_draining: usize,
    /// Servers that fell over.
    pub toppled: usize,
    /// Worth served over worth asked, the whole day.
    pub served: f64,
    /// What warming cost.
    pub cost: PeerCost,
    /// The rules.
    pub rules: Vec<Verdict>,
    /// Served part by second, smoothed.
    pub course: Vec<f64>,
}

/// All three.
#[derive(Debug, Serialize)]
pub struct Comparison {
    /// The day.
    pub day: String,
    /// Its seed.
    pub seed: u64,
    /// How many servers and fronts.
    pub servers: usize,
    /// See `servers`.
    pub fronts: usize,
    /// How many fronts were restarted.
    pub restarted: usize,
    /// Worth served over worth asked on the undisturbed day.
    pub undisturbed: f64,
    /// Its served part by second, smoothed.
    pub reference: Vec<f64>,
    /// Cold, last list, warm.
    pub modes: Vec<Return>,
}

/// Plays the day once for each way to come back.
///
/// # Errors
/// Something did not start, or the script restarts no front.
pub async fn compare(day: &Day, exe: &Path, dir: &Path) -> Result<Comparison, DayError> {
    let mut modes = Vec::new();
    let mut restarted = 0;
    let mut calm = day.clone();
    calm.script.troubles.retain(|t| t.kind != Kind::BalancerCrash);
    let options = |mode: StartMode, name: &str| Options {
        exe: exe.into(),
        policy: PolicyName::Brain,
        dir: dir.join(name),
        record: false,
        mode,
        host: std::net::Ipv4Addr::LOCALHOST,
        platform: false,
    };
    let undisturbed = play(&calm, &options(StartMode::LastList, "undisturbed")).await?;
    let reference = smooth(&undisturbed.score.seconds);
    for mode in StartMode::ALL {
        let outcome = play(day, &options(mode, &mode.words().replace(' ', "-"))).await?;
        let down: BTreeSet<usize> = outcome
            .exchanges
            .iter()
            .filter_map(|e| match e.seen {
                Seen::FrontDown { front } => Some(front),
                _ => None,
            })
            .collect();
        restarted = down.len();
        modes.push(judge(mode, &day.script, outcome, &reference, &undisturbed.score.seconds));
    }
    let s = &day.script;
    Ok(Comparison {
        day: s.name.as_str().into(),
        seed: s.seed.get(),
        servers: s.fleet.servers.as_usize(),
        fronts: s.fronts.as_usize(),
        restarted,
        undisturbed: undisturbed.score.served,
        reference,
        modes,
    })
}

fn smooth(seconds: &[Worth]) -> Vec<f64> {
    let window = |i: usize| {
        let from = (i + 1).saturating_sub(SMOOTH);
        let sum = seconds[from..=i]
            .iter()
            .fold(Worth::default(), |a, w| Worth { asked: a.asked + w.asked, served: a.served + w.served });
        sum.part()
    };
    (0..seconds.len()).map(window).collect()
}

fn judge(mode: StartMode, script: &Script, o: Outcome, reference: &[f64], calm: &[Worth]) -> Return {
    let crash = script.troubles.iter().find(|t| t.kind == Kind::BalancerCrash);
    let (at, back) =
        crash.map_or((Duration::ZERO, Duration::ZERO), |t| (t.at_ms.get(), t.at_ms.get() + t.for_ms.get()));
    let course = smooth(&o.score.seconds);
    let (down, up) = (at.as_secs() as usize, back.as_secs() as usize);
    // The last second is cut by the day's end.
    let last = (script.length_ms.get().as_secs() as usize).min(course.len()).min(reference.len());
    let part = |i: usize| if reference[i] > 0.0 { course[i] / reference[i] } else { 1.0 };
    // Back is for good: for as long as the window that is looked at.
    let recovered = (up..last).find(|i| (*i..(*i + SMOOTH).min(last)).all(|i| part(i) >= BACK));
    let sum = |all: &[Worth]| all.iter().map(|w| w.served).sum::<f64>();
    let mean = sum(calm) / calm.len().max(1) as f64;
    let span = o.start + back..o.start + back + MEANWHILE;
    let refused = o.exchanges.iter().filter(|e| span.contains(&e.at) && is_refusal(&e.seen)).count();
    let counts = misplaced(&o.exchanges, script, o.start + back, &span);
    Return {
        mode,
        lowest: (down..last).map(part).fold(1.0, f64::min),
        back_after_s: recovered.map(|i| (i + 1) as f64 - back.as_secs_f64()),
        lost_s: (sum(calm) - sum(&o.score.seconds)) / mean.max(1e-9),
        refused,
        wrong: counts.wrong,
        to_draining: counts.to_draining,
        toppled: o.toppled,
        served: o.score.served,
        cost: o.cost,
        rules: o.rules,
        course,
    }
}

fn is_refusal(seen: &Seen) -> bool {
    matches!(seen, Seen::CallEnded { got: Got::Status { status: 503, .. }, .. })
}

struct Misplaced {
    wrong: usize,
    to_draining: usize,
}

/// Set-ups at servers that take nothing new, whoever was told so first: what one front knows, a warm one can.
fn misplaced(
    all: &[Exchange],
    script: &Script,
    returned: Duration,
    span: &std::ops::Range<Duration>,
) -> Misplaced {
    let grace = script.front.rules.drain_grace_ms.get();
    let mut stopped: BTreeMap<u64, Duration> = BTreeMap::new();
    let mut out = Misplaced { wrong: 0, to_draining: 0 };
    for e in all {
        match &e.seen {
            Seen::ListTold { stopped: gone, serving, .. } => {
                gone.iter().for_each(|s| {
                    stopped.entry(*s).or_insert(e.at);
                });
                serving.iter().for_each(|(s, _)| {
                    stopped.remove(s);
                });
            }
            Seen::SetupRead { server, arrived, .. } => {
                let Some(told) = stopped.get(server) else { continue };
                let late = *arrived > *told + grace + NEWS;
                out.wrong += usize::from(late && span.contains(arrived));
                out.to_draining += usize::from(late && *told < returned && *arrived > returned);
            }
            _ => {}
        }
    }
    out
}

/// A list's news goes to all subscribers within this.
const NEWS: Duration = Duration::from_millis(150);

impl Comparison {
    /// Whether every rule was kept, no server fell, and the warm fronts sent nothing to one that drains.
    pub fn kept(&self) -> bool {
        let rules = self.modes.iter().flat_map(|m| &m.rules).all(|r| r.first.is_none());
        let warm = self.modes.iter().filter(|m| m.mode == StartMode::Warm).all(|m| m.to_draining == 0);
        rules && warm && self.modes.iter().all(|m| m.toppled == 0)
    }

    /// As a table.
    pub fn text(&self) -> String {
        let mut out = String::new();
        let w = &mut out;
        // Writing to a string does not fail.
        let _ = writeln!(
            w,
            "{} (seed {}): {} servers, {} fronts, {} of them restarted",
            self.day, self.seed, self.servers, self.fronts, self.restarted
        );
        let _ = writeln!(w, "start      lowest  back after  lost  refused  wrong  to draining  fallen  served  asked  bytes fed  CPU fed");
        let _ = writeln!(w, "undisturbed{:>66.3}", self.undisturbed);
        for m in &self.modes {
            let back = m.back_after_s.map_or("not".into(), |s| format!("{s:.1} s"));
            let cpu = if m.cost.cpu_s > 0.0 { 100.0 * m.cost.feeding_cpu_s / m.cost.cpu_s } else { 0.0 };
            let _ = writeln!(
                w,
                "{:10} {:6.3}  {back:>10}  {:4.1}  {:7}  {:5}  {:11}  {:6}  {:6.3}  {:5}  {:9}  {cpu:6.2}%",
                m.mode.words(),
                m.lowest,
                m.lost_s,
                m.refused,
                m.wrong,
                m.to_draining,
                m.toppled,
                m.served,
                m.cost.questions,
                m.cost.fed_bytes
            );
        }
        for m in &self.modes {
            for r in m.rules.iter().filter(|r| r.first.is_some()) {
                let first = r.first.as_deref().unwrap_or_default();
                let _ = writeln!(w, "{}: rule {} BROKEN, first {first}", m.mode.words(), r.rule);
            }
        }
        if self.kept() {
            let _ = writeln!(
                w,
                "all rules kept, no server fallen, nothing to a draining server after a warm start"
            );
        }
        out
    }

    /// The course of all three as a plot.
    ///
    /// # Errors
    /// It cannot be drawn.
    pub fn svg(&self) -> Result<String, String> {
        let mut text = String::new();
        self.draw(&mut text).map_err(|e| e.to_string())?;
        Ok(text)
    }

    fn draw(&self, out: &mut String) -> Result<(), Box<dyn std::error::Error>> {
        let root = SVGBackend::with_string(out, (900, 420)).into_drawing_area();
        root.fill(&WHITE)?;
        let seconds = self.modes.iter().map(|m| m.course.len()).max().unwrap_or(1);
        let title = format!(
            "{}: served part of the worth asked, {} of {} fronts restarted",
            self.day, self.restarted, self.fronts
        );
        let mut chart = ChartBuilder::on(&root)
            .caption(title, ("sans-serif", 18))
            .margin(12)
            .x_label_area_size(36)
            .y_label_area_size(44)
            .build_cartesian_2d(0f64..seconds as f64, 0f64..1f64)?;
        chart.configure_mesh().x_desc("second of the day").draw()?;
        let calm = [("undisturbed", &self.reference)];
        let courses = calm.into_iter().chain(self.modes.iter().map(|m| (m.mode.words(), &m.course)));
        for ((name, course), colour) in courses.zip([BLACK, RED, BLUE, GREEN]) {
            let line = course.iter().enumerate().map(|(i, y)| ((i + 1) as f64, *y));
            chart
                .draw_series(LineSeries::new(line, colour.stroke_width(2)))?
                .label(name)
                .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 18, y)], colour));
        }
        chart.configure_series_labels().border_style(BLACK).background_style(WHITE).draw()?;
        root.present()?;
        Ok(())
    }
}
