//! Parser of JSON with comments, which uses the scanner of `jsonc-parser` and records locations.

use std::collections::BTreeMap;

use jsonc_parser::Scanner;
use jsonc_parser::errors::ParseError;
use jsonc_parser::tokens::Token;

use crate::Finding;
use crate::node::{Content, Member, Node};
use crate::place::{Location, Locator, Path, Step};

/// Maximum nesting depth of objects and lists. Settings need 5; the limit prevents stack overflows.
pub const MAX_DEPTH: usize = 32;

/// Parses a text. Duplicate names are reported, and the last one applies. Parsing stops at the
/// first syntax error, and no node is returned.
pub(crate) fn parse(file: &str, text: &str) -> (Option<Node>, Vec<Finding>) {
    let mut parser = Parser {
        scanner: Scanner::new(text),
        text,
        locator: Locator::new(file, text),
        path: Path::default(),
        findings: Vec::new(),
    };
    match parser.document() {
        Ok(node) => (Some(node), parser.findings),
        Err(fault) => {
            let location = parser.locator.location(fault.offset);
            parser.findings.push(
                Finding::new(&location, &parser.path, fault.message)
                    .with_hint("the rest of this file was not read"),
            );
            (None, parser.findings)
        }
    }
}

/// A syntax error, which ends parsing.
struct Fault {
    offset: usize,
    message: String,
}

impl From<ParseError> for Fault {
    fn from(error: ParseError) -> Self {
        Self {
            offset: error.range().start,
            message: format!("syntax fault: {}", lower_first(&error.kind().to_string())),
        }
    }
}

type Result<T> = std::result::Result<T, Fault>;

struct Parser<'t> {
    scanner: Scanner<'t>,
    text: &'t str,
    locator: Locator<'t>,
    path: Path,
    findings: Vec<Finding>,
}

impl<'t> Parser<'t> {
    /// Parses the whole text; a text without any value is an empty object.
    fn document(&mut self) -> Result<Node> {
        // Some editors write a byte order mark at the start.
        if self.text.starts_with('\u{feff}') {
            self.scanner.scan().ok();
        }
        let Some(token) = self.next()? else {
            return Ok(Node::empty(self.locator.location(0)));
        };
        let node = self.value(token)?;
        match self.next()? {
            None => Ok(node),
            Some(_) => Err(self.fault("text after the end of the document")),
        }
    }

    fn value(&mut self, token: Token<'t>) -> Result<Node> {
        let location = self.location();
        let content = match token {
            Token::Null => Content::Null,
            Token::Boolean(value) => Content::Boolean(value),
            Token::String(text) => {
                self.check_quotes()?;
                Content::Text(text.into_owned())
            }
            Token::Number(digits) => Content::Number(
                digits
                    .parse()
                    .map_err(|_| self.fault(&format!("{digits} is not a JSON number")))?,
            ),
            Token::OpenBracket => self.list()?,
            Token::OpenBrace => self.object()?,
            Token::Word(_) => return Err(self.fault("a value is expected; text needs quotes")),
            _ => return Err(self.fault("a value is expected")),
        };
        Ok(Node { location, content })
    }

    fn list(&mut self) -> Result<Content> {
        let mut items = Vec::new();
        loop {
            let mut token = self.require_token("the list is not closed by \"]\"")?;
            if token == Token::CloseBracket {
                return Ok(Content::List(items));
            }
            self.push_step(items.len())?;
            items.push(self.value(token)?);
            self.path.0.pop();
            token = self.require_token("the list is not closed by \"]\"")?;
            match token {
                Token::Comma => {}
                Token::CloseBracket => return Ok(Content::List(items)),
                _ => return Err(self.fault("\",\" or \"]\" is expected")),
            }
        }
    }

    fn object(&mut self) -> Result<Content> {
        let mut members = BTreeMap::<String, Member>::new();
        loop {
            let name = match self.require_token("the object is not closed by \"}\"")? {
                Token::CloseBrace => return Ok(Content::Object(members)),
                Token::String(name) => name.into_owned(),
                Token::Word(_) => return Err(self.fault("names must be in double quotes")),
                _ => return Err(self.fault("a name in double quotes is expected")),
            };
            self.check_quotes()?;
            let location = self.location();
            if self.require_token("\":\" is expected")? != Token::Colon {
                return Err(self.fault("\":\" is expected after the name"));
            }
            self.push_step(name.as_str())?;
            if let Some(first) = members.get(&name) {
                let finding =
                    Finding::new(&location, &self.path, "name occurs twice in one object")
                        .with_hint(format!("the first is at line {}", first.name.line));
                self.findings.push(finding);
            }
            let token = self.require_token("a value is expected")?;
            let value = self.value(token)?;
            self.path.0.pop();
            members.insert(
                name,
                Member {
                    name: location,
                    value,
                },
            );
            match self.require_token("the object is not closed by \"}\"")? {
                Token::Comma => {}
                Token::CloseBrace => return Ok(Content::Object(members)),
                _ => return Err(self.fault("\",\" or \"}\" is expected")),
            }
        }
    }

    fn push_step(&mut self, step: impl Into<Step>) -> Result<()> {
        if self.path.0.len() == MAX_DEPTH {
            return Err(self.fault(&format!("nested deeper than {MAX_DEPTH} levels")));
        }
        self.path.0.push(step.into());
        Ok(())
    }

    /// Rejects single-quoted strings, which the scanner accepts but JSON does not allow.
    fn check_quotes(&self) -> Result<()> {
        if self.text.as_bytes().get(self.scanner.token_start()) == Some(&b'\'') {
            return Err(self.fault("text must be in double quotes"));
        }
        Ok(())
    }

    /// The next token, skipping comments.
    fn next(&mut self) -> Result<Option<Token<'t>>> {
        loop {
            match self.scanner.scan()? {
                Some(Token::CommentLine(_) | Token::CommentBlock(_)) => {}
                token => return Ok(token),
            }
        }
    }

    fn require_token(&mut self, message: &str) -> Result<Token<'t>> {
        match self.next()? {
            Some(token) => Ok(token),
            None => Err(self.fault(message)),
        }
    }

    fn location(&self) -> Location {
        self.locator.location(self.scanner.token_start())
    }

    fn fault(&self, message: &str) -> Fault {
        Fault {
            offset: self.scanner.token_start(),
            message: format!("syntax fault: {message}"),
        }
    }
}

fn lower_first(text: &str) -> String {
    let mut characters = text.chars();
    match characters.next() {
        Some(first) => first.to_lowercase().chain(characters).collect(),
        None => String::new(),
    }
}
