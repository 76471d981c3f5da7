//! Mapping from a request path to class, tenant and title, by a pattern of the operator: literal segments and
//! at most one placeholder of each kind, such as `/{tenant}/{class}/{title}/{object}`.

use serde::{de, Deserialize, Deserializer};

/// Placeholder of a pattern.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Placeholder {
    Tenant,
    Class,
    Title,
    /// Any segment; its text is ignored.
    Any,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Segment {
    Literal(String),
    Placeholder(Placeholder),
}

/// Source of the title of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TitleFrom {
    /// The `{title}` of the path, whatever the hints contain.
    #[default]
    Path,
    /// The CMCD `cid`, or the `{title}` of the path if that is absent.
    Cid,
}

/// Pattern of request paths. The last segment may be `{object}`, which matches the rest of the path.
#[derive(Clone, Debug)]
pub struct Pattern {
    segments: Vec<Segment>,
    /// True if the pattern ends with `{object}`.
    matches_rest: bool,
}

/// Segments of a path that matched the placeholders of a pattern.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PathMatch<'a> {
    /// Segment that names the tenant; `None` if the pattern has no `{tenant}`.
    pub tenant: Option<&'a str>,
    /// Segment that names the class; `None` if the pattern has no `{class}`.
    pub class: Option<&'a str>,
    /// Segment that names the title.
    pub title: Option<&'a str>,
}

impl Pattern {
    /// Parses a pattern.
    ///
    /// # Errors
    /// A description of the first fault of the pattern.
    pub fn parse(text: &str) -> Result<Pattern, String> {
        let rest = text.strip_prefix('/').ok_or("a pattern must begin with `/`")?;
        let parts: Vec<&str> = rest.split('/').collect();
        let (mut segments, mut matches_rest) = (Vec::new(), false);
        for (i, part) in parts.iter().enumerate() {
            let placeholder = match *part {
                "{tenant}" => Placeholder::Tenant,
                "{class}" => Placeholder::Class,
                "{title}" => Placeholder::Title,
                "{any}" => Placeholder::Any,
                "{object}" if i + 1 == parts.len() => {
                    matches_rest = true;
                    continue;
                }
                "{object}" => return Err("`{object}` matches the rest of the path: it must come last".into()),
                "" => return Err("a segment is empty".into()),
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
            let segment = Segment::Placeholder(placeholder);
            if placeholder != Placeholder::Any && segments.contains(&segment) {
                return Err(format!("`{part}` occurs twice"));
            }
            segments.push(segment);
        }
        if !segments.contains(&Segment::Placeholder(Placeholder::Title)) {
            return Err("`{title}` is missing".into());
        }
        Ok(Pattern { segments, matches_rest })
    }

    /// Matches a path against the pattern; `None` if it does not match. Does not allocate.
    pub fn match_path<'a>(&self, path: &'a str) -> Option<PathMatch<'a>> {
        let mut parts = path.strip_prefix('/')?.split('/');
        let mut found = PathMatch::default();
        for segment in &self.segments {
            let part = parts.next().filter(|p| !p.is_empty())?;
            match segment {
                Segment::Literal(text) if text == part => {}
                Segment::Literal(_) => return None,
                Segment::Placeholder(Placeholder::Tenant) => found.tenant = Some(part),
                Segment::Placeholder(Placeholder::Class) => found.class = Some(part),
                Segment::Placeholder(Placeholder::Title) => found.title = Some(part),
                Segment::Placeholder(Placeholder::Any) => {}
            }
        }
        (self.matches_rest || parts.next().is_none()).then_some(found)
    }
}

impl<'de> Deserialize<'de> for Pattern {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        let text = String::deserialize(d)?;
        Pattern::parse(&text).map_err(de::Error::custom)
    }
}

/// Derivation of class, tenant and title from a request path.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Mapping {
    /// Pattern of request paths; other paths get status 404. Default `/{tenant}/{class}/{title}/{object}`.
    pub path: Pattern,
    /// Source of the title: `path` or `cid`. Default `path`.
    pub title_from: TitleFrom,
    /// Path that accepts event and response reports by POST. Default `/cmcd`.
    #[serde(rename = "reports")]
    pub report_path: String,
}

impl Default for Mapping {
    fn default() -> Self {
        let segments = vec![
            Segment::Placeholder(Placeholder::Tenant),
            Segment::Placeholder(Placeholder::Class),
            Segment::Placeholder(Placeholder::Title),
        ];
        Mapping {
            path: Pattern { segments, matches_rest: true },
            title_from: TitleFrom::Path,
            report_path: "/cmcd".into(),
        }
    }
}

/// Identifier of a title for the placement policy: the 64-bit FNV-1a hash of the name, equal on every front
/// and machine.
pub fn title_id(name: &str) -> u64 {
    name.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, b| (hash ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3))
}
