//! Reads JSON, as far as the stand-ins need it.

/// A value.
#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    /// `null`, `true` or `false`.
    Word(String),
    /// A number.
    Number(f64),
    /// A string.
    Text(String),
    /// A list.
    List(Vec<Json>),
    /// An object.
    Object(Vec<(String, Json)>),
}

impl Json {
    /// Returns a field of an object.
    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Self::Object(fields) => fields.iter().find(|(key, _)| key == name).map(|(_, v)| v),
            _ => None,
        }
    }

    /// Returns a text; empty if it is none.
    pub fn text(&self) -> &str {
        match self {
            Self::Text(text) => text,
            _ => "",
        }
    }

    /// Returns a number; 0 if it is none.
    pub fn number(&self) -> f64 {
        match self {
            Self::Number(number) => *number,
            _ => 0.0,
        }
    }

    /// Returns the entries of a list; none if it is no list.
    pub fn list(&self) -> &[Json] {
        match self {
            Self::List(list) => list,
            _ => &[],
        }
    }

    /// Parses a value; `None` if it is malformed.
    pub fn parse(text: &[u8]) -> Option<Json> {
        let mut rest = text;
        parse_value(&mut rest)
    }
}

fn skip_blanks(rest: &mut &[u8]) {
    while rest.first().is_some_and(u8::is_ascii_whitespace) {
        *rest = &rest[1..];
    }
}

fn take(rest: &mut &[u8], byte: u8) -> Option<()> {
    skip_blanks(rest);
    (rest.first() == Some(&byte)).then(|| *rest = &rest[1..])
}

fn parse_text(rest: &mut &[u8]) -> Option<String> {
    take(rest, b'"')?;
    let mut text = Vec::new();
    loop {
        let byte = *rest.first()?;
        *rest = &rest[1..];
        match byte {
            b'"' => return String::from_utf8(text).ok(),
            b'\\' => {
                text.push(*rest.first()?);
                *rest = &rest[1..];
            }
            byte => text.push(byte),
        }
    }
}

fn parse_value(rest: &mut &[u8]) -> Option<Json> {
    skip_blanks(rest);
    match rest.first()? {
        b'"' => parse_text(rest).map(Json::Text),
        b'[' => {
            take(rest, b'[')?;
            let mut list = Vec::new();
            if take(rest, b']').is_some() {
                return Some(Json::List(list));
            }
            loop {
                list.push(parse_value(rest)?);
                if take(rest, b']').is_some() {
                    return Some(Json::List(list));
                }
                take(rest, b',')?;
            }
        }
        b'{' => {
            take(rest, b'{')?;
            let mut fields = Vec::new();
            if take(rest, b'}').is_some() {
                return Some(Json::Object(fields));
            }
            loop {
                skip_blanks(rest);
                let name = parse_text(rest)?;
                take(rest, b':')?;
                fields.push((name, parse_value(rest)?));
                if take(rest, b'}').is_some() {
                    return Some(Json::Object(fields));
                }
                take(rest, b',')?;
            }
        }
        _ => {
            let end = rest.iter().position(|byte| b",]} \r\n\t".contains(byte));
            let (word, after) = rest.split_at(end.unwrap_or(rest.len()));
            *rest = after;
            let word = std::str::from_utf8(word).ok()?;
            Some(word.parse().map_or_else(|_| Json::Word(word.to_owned()), Json::Number))
        }
    }
}
