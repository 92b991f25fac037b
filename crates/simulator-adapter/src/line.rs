//! One line of the wire: a message name, then tab-parted `name=value` fields in any order.

use std::str::FromStr;

pub struct Line<'a> {
    pub number: usize,
    pub message: &'a str,
    rest: &'a str,
}

impl<'a> Line<'a> {
    pub fn new(number: usize, text: &'a str) -> Result<Self, String> {
        let (message, rest) = text.split_once('\t').unwrap_or((text, ""));
        let line = Line { number, message, rest };
        match rest.split('\t').find(|field| !field.is_empty() && !field.contains('=')) {
            Some(field) => Err(line.wrong(field, "has no '='")),
            None => Ok(line),
        }
    }

    pub fn wrong(&self, field: &str, why: &str) -> String {
        format!("line {}: {}: {field}: {why}", self.number, self.message)
    }

    pub fn maybe(&self, name: &str) -> Option<&'a str> {
        self.rest.split('\t').find_map(|field| field.strip_prefix(name)?.strip_prefix('='))
    }

    /// A text that may hold anything but a line's end.
    pub fn text(&self, name: &str) -> Result<&'a str, String> {
        self.maybe(name).ok_or_else(|| self.wrong(name, "it is missing"))
    }

    fn read<T: FromStr>(&self, name: &str, value: &str) -> Result<T, String> {
        value.parse().map_err(|_| self.wrong(name, &format!("'{value}' is of the wrong type")))
    }

    pub fn need<T: FromStr>(&self, name: &str) -> Result<T, String> {
        self.read(name, self.text(name)?)
    }

    pub fn or<T: FromStr>(&self, name: &str, absent: T) -> Result<T, String> {
        self.maybe(name).map_or(Ok(absent), |value| self.read(name, value))
    }

    pub fn number(&self, name: &str) -> Result<f64, String> {
        let value: f64 = self.need(name)?;
        if value.is_finite() { Ok(value) } else { Err(self.wrong(name, "it is not finite")) }
    }

    pub fn flag(&self, name: &str) -> Result<bool, String> {
        match self.maybe(name) {
            None | Some("0") => Ok(false),
            Some("1") => Ok(true),
            Some(value) => Err(self.wrong(name, &format!("'{value}' is neither 1 nor 0"))),
        }
    }

    /// A time in nanoseconds as whole microseconds.
    pub fn micros(&self, name: &str) -> Result<i64, String> {
        Ok(self.need::<i64>(name)?.div_euclid(1000))
    }

    pub fn micros_or_zero(&self, name: &str) -> Result<i64, String> {
        Ok(self.or::<i64>(name, 0)?.div_euclid(1000))
    }

    /// A code that `table` knows.
    pub fn code<T>(&self, name: &str, table: fn(&str) -> Option<T>) -> Result<T, String> {
        let value = self.text(name)?;
        table(value).ok_or_else(|| self.wrong(name, &format!("'{value}' is unknown")))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn fields_are_found_in_any_order_and_bad_ones_named() {
        let line = Line::new(4, "VERDICT\ttrial=x\topId=7\tlagNs=1999\tgauge=a=b").expect("a line");
        assert_eq!((line.need("opId"), line.micros("lagNs"), line.text("gauge")), (Ok(7), Ok(1), Ok("a=b")));
        assert_eq!(
            line.need::<usize>("trial"),
            Err("line 4: VERDICT: trial: 'x' is of the wrong type".into())
        );
        assert_eq!(line.text("node"), Err("line 4: VERDICT: node: it is missing".into()));
        assert!(Line::new(1, "TURN\tbare").is_err() && !line.flag("complete").expect("absent is off"));
    }
}
