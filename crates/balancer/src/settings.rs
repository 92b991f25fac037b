//! Settings as a plain map of names to values.

use std::collections::BTreeMap;

/// One setting; times are whole microseconds in `Number`.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    Number(f64),
    Flag(bool),
    Text(String),
}

/// The map that a front hands to the module at start.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings(pub BTreeMap<String, Value>);

impl Settings {
    pub fn set(&mut self, name: &str, value: Value) {
        self.0.insert(name.to_string(), value);
    }

    /// The number under `name`, if it is there and a number.
    pub fn number(&self, name: &str) -> Option<f64> {
        match self.0.get(name) {
            Some(Value::Number(n)) => Some(*n),
            _ => None,
        }
    }

    /// The flag under `name`; an absent one is off.
    pub fn flag(&self, name: &str) -> bool {
        self.0.get(name) == Some(&Value::Flag(true))
    }

    pub fn text(&self, name: &str) -> &str {
        match self.0.get(name) {
            Some(Value::Text(t)) => t,
            _ => "",
        }
    }
}
