//! A small JSON reader: finds the text of one field of an object, which is all that the store needs.

/// Returns the end of the value that starts at `at`.
fn value_end(text: &[u8], at: usize) -> Option<usize> {
    match text.get(at)? {
        b'"' => string_end(text, at),
        b'{' | b'[' => {
            let (mut depth, mut i) = (0, at);
            while i < text.len() {
                match text[i] {
                    b'"' => {
                        i = string_end(text, i)?;
                        continue;
                    }
                    b'{' | b'[' => depth += 1,
                    b'}' | b']' => {
                        depth -= 1;
                        if depth == 0 {
                            return Some(i + 1);
                        }
                    }
                    _ => {}
                }
                i += 1;
            }
            None
        }
        _ => {
            let is_end = |b: &u8| matches!(b, b',' | b'}' | b']') || b.is_ascii_whitespace();
            Some(text[at..].iter().position(is_end).map_or(text.len(), |n| at + n))
        }
    }
}

fn string_end(text: &[u8], at: usize) -> Option<usize> {
    let mut i = at + 1;
    while i < text.len() {
        match text[i] {
            b'\\' => i += 2,
            b'"' => return Some(i + 1),
            _ => i += 1,
        }
    }
    None
}

fn skip_space(text: &[u8], mut at: usize) -> usize {
    while text.get(at).is_some_and(u8::is_ascii_whitespace) {
        at += 1;
    }
    at
}

/// Returns the text of the field `name` of the object `text`.
pub fn field<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    let bytes = text.as_bytes();
    let mut at = skip_space(bytes, 0);
    if bytes.get(at) != Some(&b'{') {
        return None;
    }
    at = skip_space(bytes, at + 1);
    while bytes.get(at) == Some(&b'"') {
        let key_end = string_end(bytes, at)?;
        let key = &text[at + 1..key_end - 1];
        at = skip_space(bytes, key_end);
        if bytes.get(at) != Some(&b':') {
            return None;
        }
        at = skip_space(bytes, at + 1);
        let end = value_end(bytes, at)?;
        if key == name {
            return Some(&text[at..end]);
        }
        at = skip_space(bytes, end);
        if bytes.get(at) != Some(&b',') {
            return None;
        }
        at = skip_space(bytes, at + 1);
    }
    None
}

/// Removes the quotes of a string without escapes.
pub fn unquoted(text: &str) -> &str {
    text.trim_matches('"')
}
