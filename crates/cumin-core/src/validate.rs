//! `cuminctl validate`: findings about a document before it is sent.

use std::ffi::OsString;
use std::path::{Path, PathBuf};

use cumin_config::{diff_tables, key_digest};
use cumin_entry::document::Document;
use cumin_entry::review::{self, Item};
use cumin_platform::{SourceDocument, SourceError};
use derive_more::Display;
use serde::Serialize;
use serde_json::{Map, Value};

use crate::args::Args;
use crate::ctl::{self, Failure, FileError};
use crate::{Status, Terminal, UsageError};

pub(crate) const HELP: &str = "\
Prints findings about a document, one a line with its line number and name: errors, items that never
match, limits that contradict each other, and what differs from the version in force. Sends nothing.

usage: cuminctl validate [--in-force FILE] [--json] FILE

  --in-force FILE  the version in force, to list the differences from it
  --json           print the findings as JSON

A file that begins with a brace is a document of the users' platform in JSON, any other one is TOML.

exit status: 0 no finding, 1 findings, 2 bad usage or unreadable input";

/// Options of `cuminctl validate`.
#[derive(Clone, Debug, Default)]
pub struct Options {
    /// File with the document.
    pub file: PathBuf,
    /// File with the version in force.
    pub in_force: Option<PathBuf>,
    /// Prints JSON.
    pub json: bool,
}

/// A finding about one item or key.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[display("{}{name}: {kind}: {text}", line.map(|line| format!("line {line}: ")).unwrap_or_default())]
pub struct Finding {
    /// Line, counted from 1; none for what only the version in force has.
    pub line: Option<usize>,
    /// Name of the item, or path of the key.
    pub name: String,
    /// Kind: `error`, `never matches`, `contradiction` or `change`.
    pub kind: String,
    /// Description.
    pub text: String,
}

/// The findings, sorted by line.
pub type Outcome = Vec<Finding>;

/// A file that can't be compared or read.
#[derive(Debug, Display)]
pub enum Error {
    /// The file can't be read, or its syntax is wrong.
    #[display("{_0}")]
    File(FileError),
    /// The file is not JSON.
    #[display("{}: {text}", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// Description.
        text: String,
    },
}

impl From<FileError> for Error {
    fn from(error: FileError) -> Self {
        Self::File(error)
    }
}

impl Options {
    fn read(args: Vec<OsString>) -> Result<Self, UsageError> {
        let mut args = Args::new(args, &["--in-force", "--json", "--help"])?;
        let in_force = args.path("--in-force")?;
        let json = args.flag("--json");
        let [file] = args.files(["FILE"])?;
        Ok(Self {
            file,
            in_force,
            json,
        })
    }
}

/// Checks a document without sending it.
///
/// # Errors
/// Returns an error when a file can't be read, or is not TOML or JSON.
pub fn validate(options: &Options) -> Result<Outcome, Error> {
    let text = ctl::read_file(&options.file)?;
    let in_force = options.in_force.as_deref();
    let mut findings = if text.trim_start().starts_with('{') {
        platform_findings(&options.file, &text, in_force)?
    } else {
        let old = in_force.map(ctl::read_document).transpose()?;
        let found = cumin_config::review(&text, old.as_ref());
        let found = found.map_err(|problems| FileError::Invalid {
            path: options.file.clone(),
            problems,
        })?;
        let findings = found.into_iter().map(|found| Finding {
            line: found.line,
            name: found.name,
            kind: found.kind.into(),
            text: found.text,
        });
        findings.collect()
    };
    findings.sort();
    Ok(findings)
}

/// Returns the findings about a document of the users' platform.
fn platform_findings(
    path: &Path,
    text: &str,
    in_force: Option<&Path>,
) -> Result<Vec<Finding>, Error> {
    let unreadable = |path: &Path, error: SourceError| Error::Unreadable {
        path: path.into(),
        text: error.to_string(),
    };
    let source = match SourceDocument::read(text) {
        Ok(source) => source,
        Err(SourceError::Invalid { line, text }) => {
            return Ok(vec![Finding {
                line: Some(line),
                name: "document".into(),
                kind: "error".into(),
                text,
            }]);
        }
        Err(error) => return Err(unreadable(path, error)),
    };
    let doc = &source.document;
    let found = review::review(doc).into_iter().map(|found| Finding {
        line: source.line(found.item),
        name: name(doc, found.item),
        kind: found.kind.to_string(),
        text: found.text,
    });
    let mut findings: Vec<Finding> = found.collect();
    if let Some(path) = in_force {
        let old = SourceDocument::read(&ctl::read_file(path)?);
        let old = old.map_err(|error| unreadable(path, error))?;
        findings.extend(differences(&old.document, &source));
    }
    Ok(findings)
}

fn differences(old: &Document, new: &SourceDocument) -> Vec<Finding> {
    let changes = diff_tables(&tables(old), &tables(&new.document)).into_iter();
    let findings = changes.map(|(path, change)| {
        let side = |value: Option<Value>| value.map_or("(absent)".into(), |v| v.to_string());
        Finding {
            line: line_of(new, &path),
            name: path.join(" "),
            kind: "change".into(),
            text: format!("{} -> {}", side(change.old), side(change.new)),
        }
    });
    findings.collect()
}

/// Returns the line of the item with a path of [`tables`].
fn line_of(source: &SourceDocument, path: &[String]) -> Option<usize> {
    let doc = &source.document;
    let routes = (0..doc.routes.len()).map(Item::Route);
    let services = (0..doc.services.len()).map(Item::Service);
    let orgs = (0..doc.orgs.len()).map(Item::Org);
    let mut items = routes.chain(services).chain(orgs).chain([Item::Limits]);
    let item = items.find(|item| path.first() == Some(&name(doc, *item)))?;
    source.line(item)
}

fn name(doc: &Document, item: Item) -> String {
    match item {
        Item::Route(index) => {
            let route = &doc.routes[index];
            format!("route {:?} ({}{})", route.name, route.host, route.prefix)
        }
        Item::Service(index) => format!("service {:?}", doc.services[index].name.as_str()),
        Item::Org(index) => format!("organisation {:?}", doc.orgs[index].name.as_str()),
        Item::Limits => "limits".into(),
    }
}

/// Returns the items by name. Keys of organisations are secrets and are replaced by digests.
fn tables(doc: &Document) -> Map<String, Value> {
    let mut tables = Map::new();
    let mut insert = |item: Item, value: Value| tables.insert(name(doc, item), value);
    for (index, route) in doc.routes.iter().enumerate() {
        insert(Item::Route(index), to_value(route));
    }
    for (index, spec) in doc.services.iter().enumerate() {
        insert(Item::Service(index), to_value(spec));
    }
    for (index, org) in doc.orgs.iter().enumerate() {
        let mut value = to_value(org);
        let digests = org.keys.iter().map(|key| key_digest(key).short());
        value["keys"] = digests.collect();
        insert(Item::Org(index), value);
    }
    insert(Item::Limits, to_value(&doc.limits));
    tables
}

fn to_value(item: &impl Serialize) -> Value {
    serde_json::to_value(item).unwrap_or_default()
}

pub(crate) fn command(args: Vec<OsString>, terminal: &mut Terminal<'_>) -> Result<Status, Failure> {
    let options = Options::read(args)?;
    let findings = validate(&options)?;
    if options.json {
        terminal.json(&findings);
    } else {
        for finding in &findings {
            terminal.print(finding);
        }
    }
    Ok(if findings.is_empty() {
        Status::Done
    } else {
        Status::Failed
    })
}
