//! Settings as a plain map of names to values.

use std::collections::BTreeMap;

/// The value of one setting; times are microseconds in `Number`.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    /// A number, or a time in microseconds.
    Number(f64),
    /// Whether something is enabled.
    Flag(bool),
    /// A name.
    Text(String),
}

/// The settings that a front end passes to the balancer at the start, by name.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings(pub BTreeMap<String, Value>);

impl Settings {
    /// Sets `name` to `value`.
    pub fn set(&mut self, name: &str, value: Value) {
        self.0.insert(name.to_string(), value);
    }

    /// The number under `name`, if there is one.
    pub fn number(&self, name: &str) -> Option<f64> {
        match self.0.get(name) {
            Some(Value::Number(number)) => Some(*number),
            _ => None,
        }
    }

    /// The flag under `name`, off if there is none.
    pub fn flag(&self, name: &str) -> bool {
        self.0.get(name) == Some(&Value::Flag(true))
    }

    /// The text under `name`, empty if there is none.
    pub fn text(&self, name: &str) -> &str {
        match self.0.get(name) {
            Some(Value::Text(text)) => text,
            _ => "",
        }
    }
}
