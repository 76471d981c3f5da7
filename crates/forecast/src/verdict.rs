//! Take it, take it in waves, or don't: with the reasons.

use crate::figures::{Days, Fault, Plan, Scene};
use crate::help::help;
use crate::layout::MOST_WAVES;
use crate::learn::Record;
use crate::{between, Advice, Demand, Foretold, Layout, Limiting, Verdict, Wave};
use cloverhollow::Settings;
use std::collections::BTreeSet;
use std::time::Duration;

/// Most layouts that are planned one after the other.
pub const MOST_STEPS: usize = 16;

/// What a layout may cost.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bars {
    /// The high end of the highest peak of a link or an uplink, over what it gives.
    pub link: f64,
    /// Worth refused over what the layout that holds would refuse, of all that is asked.
    pub refused_more: f64,
    /// The same while a wave is on.
    pub wave_more: f64,
    /// The same while a hall is lost in a wave, over its loss now.
    pub lost_more: f64,
}

impl Default for Bars {
    fn default() -> Self {
        Bars { link: 1.0, refused_more: 0.01, wave_more: 0.05, lost_more: 0.05 }
    }
}

/// What is asked.
pub struct Asking<'a> {
    /// What the fronts are told.
    pub settings: &'a Settings,
    /// The layout that holds now, and all that are planned after it, in order.
    pub steps: &'a [Layout],
    /// What was recorded.
    pub demand: &'a Demand,
    /// Now, on the clock of the record.
    pub now: Duration,
    /// What was learnt.
    pub record: &'a Record,
    /// What it may cost.
    pub bars: Bars,
    /// How much is played.
    pub plan: &'a Plan,
}

/// Looks at the end of all steps and at every wave on the way.
pub fn assess(it: &Asking) -> Result<Verdict, Fault> {
    let (Some(from), Some(end)) = (it.steps.first(), it.steps.get(1..).and_then(<[Layout]>::last)) else {
        return Err(Fault::NoLayout);
    };
    if it.steps.len() > MOST_STEPS + 1 {
        return Err(Fault::NoLayout);
    }
    let cells = it.settings.cell_count;
    // A title without a holder in a layout that is planned is a reason, not a fault.
    for step in it.steps {
        Layout { titles: Vec::new(), ..step.clone() }.check(cells)?;
    }
    from.check(cells)?;
    let days = Days::new(it.settings, it.plan, it.demand, it.now, it.record.spread())?;
    let mut verdict = Verdict {
        advice: Advice::Dont,
        to: end.generation,
        from: from.generation,
        made: it.now,
        limiting: None,
        helps: None,
        at_end: Foretold::default(),
        as_is: Foretold::default(),
        waves: Vec::new(),
        change: None,
        reasons: Vec::new(),
    };
    let wanted = wanted_titles(it.demand);
    if let Some(title) = it.steps[1..].iter().find_map(|step| unheld(step, &wanted, cells)) {
        return Ok(no_holder(verdict, title, "the end of a step"));
    }
    verdict.at_end = days.foretell(&end.into(), false, it.plan.plays);
    verdict.as_is = days.foretell(&from.into(), false, days.count().div_ceil(2));
    let over = over(&verdict.at_end, &verdict.as_is, &it.bars);
    if let Some((limiting, why)) = over {
        verdict.limiting = Some(limiting);
        verdict.reasons.push(why);
        verdict.change = help(&days, end, &it.bars, (&verdict.at_end, &verdict.as_is), limiting, it.plan.few);
        verdict.helps = verdict.change.map(|c| c.words());
        return Ok(verdict);
    }
    Ok(in_waves(it, &days, &wanted, verdict))
}

/// The fewest waves that stay under the bars, and of no more servers than what was learnt lets go at once.
fn in_waves(it: &Asking, days: &Days, wanted: &BTreeSet<u64>, mut verdict: Verdict) -> Verdict {
    let (from, cells) = (&it.steps[0], it.settings.cell_count);
    let halls = from.serves.len();
    let as_is = days.foretell(&from.into(), true, it.plan.few);
    let now_lost: Vec<_> = (0..halls)
        .map(|h| days.foretell(&Scene { lost: Some(h), ..from.into() }, true, 1).refused.middle)
        .collect();
    let most = it.steps.windows(2).map(|w| w[0].changed(&w[1]).len()).max().unwrap_or(0).max(1);
    let mut count = most.div_ceil(it.record.most_a_wave(most));
    loop {
        let (mut sizes, mut waves, mut broke) = (Vec::new(), Vec::new(), None);
        'steps: for pair in it.steps.windows(2) {
            let changed = pair[0].changed(&pair[1]).len();
            let each = changed.div_ceil(count.min(MOST_WAVES)).max(1);
            let mut these = vec![each; changed / each];
            these.extend((changed % each > 0).then_some(changed % each));
            if these.is_empty() {
                these.push(0);
            }
            let mut before = pair[0].clone();
            for (layout, size) in between(&pair[0], &pair[1], &these, cells).into_iter().zip(these) {
                sizes.push(size);
                if let Some(title) = unheld(&layout, wanted, cells) {
                    return no_holder(verdict, title, "a wave on the way");
                }
                let scene = Scene { before: Some(&before), layout: &layout, lost: None };
                let costs = days.foretell(&scene, true, it.plan.few);
                let mut wave = Wave { servers: before.changed(&layout), costs, ..Wave::default() };
                broke = wave_over(&wave.costs, &as_is, &it.bars);
                for (hall, now) in now_lost.iter().enumerate() {
                    if broke.is_some() {
                        break;
                    }
                    let lost = days.foretell(&Scene { lost: Some(hall), ..scene }, true, 1);
                    if lost.refused.middle > now + it.bars.lost_more {
                        let (more, now) = (lost.refused.middle * 100.0, now * 100.0);
                        let why =
                            format!("with hall {hall} lost in a wave {more:.1}% is refused, now {now:.1}%");
                        broke = Some((lost.limiting, why));
                    }
                    wave.lost.insert(hall, lost);
                }
                before = layout;
                waves.push(wave);
                if broke.is_some() {
                    break 'steps;
                }
            }
        }
        (verdict.waves, verdict.limiting) = (waves, broke.as_ref().and_then(|b| b.0));
        let Some((_, why)) = broke else {
            let once = sizes.iter().filter(|s| **s > 0).count() <= 1;
            verdict.advice = if once { Advice::Take } else { Advice::InWaves(sizes) };
            return verdict;
        };
        verdict.reasons.push(format!("in {} waves: {why}", count.min(most)));
        if count >= most.min(MOST_WAVES) {
            return verdict;
        }
        count = (count * 2).min(most.min(MOST_WAVES));
    }
}

fn no_holder(mut verdict: Verdict, title: u64, when: &str) -> Verdict {
    verdict.limiting = Some(Limiting::Title(title));
    verdict.reasons.push(format!("at {when} no server holds title {title}, which is asked for"));
    verdict.helps = Some(format!("a server that holds title {title} must stay until another one does"));
    verdict
}

fn wanted_titles(demand: &Demand) -> BTreeSet<u64> {
    let all = demand.days.iter().flat_map(|d| d.values().flatten());
    all.filter(|a| a.began > 0.0).map(|a| a.title).collect()
}

/// A title that is asked for and has no place in the layout, or one that no server of it holds.
fn unheld(layout: &Layout, wanted: &BTreeSet<u64>, cells: u64) -> Option<u64> {
    let there: BTreeSet<u64> = layout.titles.iter().map(|t| t.title).collect();
    wanted.iter().find(|t| !there.contains(t)).copied().or_else(|| layout.orphan(cells))
}

/// What of a layout itself is over its bar, if anything: the link that limits, and why.
pub(crate) fn over(it: &Foretold, now: &Foretold, bars: &Bars) -> Option<(Limiting, String)> {
    let links = it.links.iter().map(|(id, l)| (Limiting::Link(*id), l.high));
    let uplinks = it.uplinks.iter().map(|(rack, l)| (Limiting::Uplink(*rack), l.high));
    let worst = links.chain(uplinks).max_by(|a, b| a.1.total_cmp(&b.1));
    if it.refused.high > now.refused.high + bars.refused_more {
        let limiting = it.limiting.or(worst.map(|w| w.0))?;
        let (more, now) = (it.refused.high * 100.0, now.refused.high * 100.0);
        return Some((limiting, format!("up to {more:.1}% of all worth is refused, as it is {now:.1}%")));
    }
    let (limiting, high) = worst.filter(|w| it.peak.high.max(w.1) > bars.link)?;
    let any = it.peak.high * 100.0;
    Some((limiting, format!("up to {:.0}% of it may be asked, up to {any:.0}% of any", high * 100.0)))
}

/// The same of a wave, by the middle: how far days differ was looked at with the layout itself.
fn wave_over(it: &Foretold, now: &Foretold, bars: &Bars) -> Option<(Option<Limiting>, String)> {
    let links = it.links.iter().map(|(id, l)| (Limiting::Link(*id), l.middle));
    let uplinks = it.uplinks.iter().map(|(rack, l)| (Limiting::Uplink(*rack), l.middle));
    let worst = links.chain(uplinks).max_by(|a, b| a.1.total_cmp(&b.1));
    if it.refused.middle > now.refused.middle + bars.wave_more {
        let why = format!("{:.1}% of all worth is refused", it.refused.middle * 100.0);
        return Some((it.limiting.or(worst.map(|w| w.0)), why));
    }
    let (limiting, middle) = worst.filter(|w| w.1 > bars.link)?;
    Some((Some(limiting), format!("{:.0}% of a link is asked", middle * 100.0)))
}

impl Verdict {
    /// Whether it still says something: not older than the bound, and made for the layout that holds now.
    pub fn holds(&self, now: Duration, bound: Duration, from: u64) -> bool {
        self.from == from && now.checked_sub(self.made).is_some_and(|age| age <= bound)
    }

    /// Whether a release from that layout to that one may start on it.
    pub fn lets(&self, now: Duration, bound: Duration, from: u64, to: u64) -> bool {
        self.holds(now, bound, from) && self.to == to && self.advice != Advice::Dont
    }
}
