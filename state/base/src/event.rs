//! Structured log lines: one line of `key=value` pairs per event.

use std::fmt::{Display, Write};

/// Appends ` key=value` to a line, with the value quoted and escaped if necessary.
///
/// Callers choose some of the values; an unescaped line break or quote would let them forge log
/// lines.
pub fn push_pair<V>(line: &mut String, key: &str, value: V)
where
    V: Display,
{
    let start = line.len();
    let _ = write!(line, " {key}={value}");
    let value_start = start + key.len() + 2;
    let is_plain = |c: char| c.is_ascii_graphic() && !"\"=\\".contains(c);
    if value_start == line.len() || !line[value_start..].chars().all(is_plain) {
        let value = line.split_off(value_start);
        let _ = write!(line, "{value:?}");
    }
}

/// Logs an event with its fields: `event!(Info, "endpoint_ready", name = x, domain = y)`.
///
/// The values are only evaluated if the level is enabled.
#[macro_export]
macro_rules! event {
    ($level:ident, $($rest:tt)+) => {
        $crate::event!((log::Level::$level), $($rest)+)
    };
    (($level:expr), $name:literal $(, $key:ident = $value:expr)* $(,)?) => {
        if log::log_enabled!($level) {
            #[allow(unused_mut)]
            let mut line = String::from(concat!("event=", $name));
            $( $crate::event::push_pair(&mut line, stringify!($key), &$value); )*
            log::log!($level, "{line}");
        }
    };
}
