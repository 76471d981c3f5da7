//! How a request's path tells class, tenant and title. Translation by the operator's own scheme: any number
//! of literal segments and one placeholder each, as `/{tenant}/{class}/{title}/{object}`.

use serde::{de, Deserialize, Deserializer};

/// A placeholder of the pattern.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Part {
    Tenant,
    Class,
    Title,
    /// Whatever it is: not looked at.
    Any,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Segment {
    Literal(String),
    Hole(Part),
}

/// Which text names the title.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TitleFrom {
    /// The path's `{title}`: what is fetched, whatever the hints say.
    #[default]
    Path,
    /// CMCD `cid`, and the path's `{title}` where that is absent.
    Cid,
}

/// The pattern; its last segment may be `{object}`, which takes the rest of the path.
#[derive(Clone, Debug)]
pub struct Pattern {
    segments: Vec<Segment>,
    open: bool,
}

/// What a path told.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PathMatch<'a> {
    /// The tenant's segment.
    pub tenant: Option<&'a str>,
    /// The class's segment.
    pub class: Option<&'a str>,
    /// The title's segment.
    pub title: Option<&'a str>,
}

impl Pattern {
    /// Reads a pattern.
    ///
    /// # Errors
    /// In words, what is wrong with it.
    pub fn parse(text: &str) -> Result<Pattern, String> {
        let rest = text.strip_prefix('/').ok_or("a pattern begins with `/`")?;
        let parts: Vec<&str> = rest.split('/').collect();
        let (mut segments, mut open) = (Vec::new(), false);
        for (i, part) in parts.iter().enumerate() {
            let hole = match *part {
                "{tenant}" => Part::Tenant,
                "{class}" => Part::Class,
                "{title}" => Part::Title,
                "{any}" => Part::Any,
                "{object}" if i + 1 == parts.len() => {
                    open = true;
                    continue;
                }
                "{object}" => return Err("`{object}` takes the rest: it must come last".into()),
                "" => return Err("an empty segment".into()),
                p if p.contains(['{', '}']) => {
                    return Err(format!(
                        "`{p}` is none of {{tenant}}, {{class}}, {{title}}, {{any}}, {{object}}"
                    ))
                }
                p => {
                    segments.push(Segment::Literal(p.to_string()));
                    continue;
                }
            };
            let again = Segment::Hole(hole);
            if hole != Part::Any && segments.contains(&again) {
                return Err(format!("`{part}` comes twice"));
            }
            segments.push(again);
        }
        if !segments.contains(&Segment::Hole(Part::Title)) {
            return Err("`{title}` is missing".into());
        }
        Ok(Pattern { segments, open })
    }

    /// Takes a path apart; `None` where it does not fit. No allocation.
    pub fn match_path<'a>(&self, path: &'a str) -> Option<PathMatch<'a>> {
        let mut parts = path.strip_prefix('/')?.split('/');
        let mut found = PathMatch::default();
        for segment in &self.segments {
            let part = parts.next().filter(|p| !p.is_empty())?;
            match segment {
                Segment::Literal(text) if text == part => {}
                Segment::Literal(_) => return None,
                Segment::Hole(Part::Tenant) => found.tenant = Some(part),
                Segment::Hole(Part::Class) => found.class = Some(part),
                Segment::Hole(Part::Title) => found.title = Some(part),
                Segment::Hole(Part::Any) => {}
            }
        }
        (self.open || parts.next().is_none()).then_some(found)
    }
}

impl<'de> Deserialize<'de> for Pattern {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        let text = String::deserialize(d)?;
        Pattern::parse(&text).map_err(de::Error::custom)
    }
}

/// How a request's path tells class, tenant and title.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Mapping {
    /// The pattern of paths; others get 404. Default `/{tenant}/{class}/{title}/{object}`.
    pub path: Pattern,
    /// Which text names the title: `path` or `cid`. Default `path`.
    pub title_from: TitleFrom,
    /// Path that takes event and response reports by POST. Default `/cmcd`.
    #[serde(rename = "reports")]
    pub report_path: String,
}

impl Default for Mapping {
    fn default() -> Self {
        let segments =
            vec![Segment::Hole(Part::Tenant), Segment::Hole(Part::Class), Segment::Hole(Part::Title)];
        Mapping {
            path: Pattern { segments, open: true },
            title_from: TitleFrom::Path,
            report_path: "/cmcd".into(),
        }
    }
}

/// A title as the decisions know it: equal for equal names on every front and machine (FNV-1a, 64 bit).
pub fn title_id(name: &str) -> u64 {
    name.bytes().fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3))
}
