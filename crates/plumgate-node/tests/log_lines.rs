//! Values of any text in lines of the log.

use plumgate_node::log::LogLine;
use quickcheck::quickcheck;

/// Reads the value of the only pair of a line back.
fn read_value(line: &str) -> Option<String> {
    let value = line.strip_prefix("event=test value=")?;
    let Some(quoted) = value.strip_prefix('"') else {
        let is_plain = !value.is_empty() && !value.contains([' ', '=']);
        return is_plain.then(|| value.to_owned());
    };
    let mut rest = quoted.strip_suffix('"')?.chars();
    let mut text = String::new();
    while let Some(character) = rest.next() {
        if character != '\\' {
            text.push(character);
            continue;
        }
        text.push(match rest.next()? {
            'n' => '\n',
            'r' => '\r',
            't' => '\t',
            '0' => '\0',
            'u' => {
                let code: String = rest
                    .by_ref()
                    .skip(1)
                    .take_while(|digit| *digit != '}')
                    .collect();
                char::from_u32(u32::from_str_radix(&code, 16).ok()?)?
            }
            other => other,
        });
    }
    Some(text)
}

quickcheck! {
    /// Guards against text from outside that ends a line, adds a pair to it, or can't be told from another text.
    fn any_value_is_read_back_from_its_line(value: String) -> bool {
        let text = LogLine::new("test").with("value", &value).text();
        let line = text.strip_suffix('\n').unwrap_or_default();
        let has_control = line.chars().any(|character| character.is_control() || matches!(character, '\u{2028}' | '\u{2029}'));
        !has_control && read_value(line).as_deref() == Some(value.as_str())
    }
}
