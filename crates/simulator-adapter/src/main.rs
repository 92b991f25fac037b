//! Hosts many routers on the simulator's wire: batches of events on standard input, one reply each on
//! standard output. It translates and decides nothing; the decisions are in the crate `balancer`.

mod codes;
mod instance;
mod line;

use balancer::EndpointUpdate;
use instance::{Instance, Row};
use line::Line;
use settings_schema::endpoint_state;
use std::collections::BTreeMap;
use std::io::{BufRead, Write};

#[derive(Default)]
struct Host {
    instances: BTreeMap<String, Instance>,
    lists: BTreeMap<usize, Vec<Row>>,
    /// The clock and the instances with events in the batch that is being read.
    batch: Option<(i64, Vec<String>)>,
    /// The list that is being read and how many of its rows are to come.
    rows: Option<(usize, usize)>,
    reply: Vec<u8>,
}

impl Host {
    /// Takes one line; true if it ended a batch, whose reply then stands in `reply`.
    fn line(&mut self, number: usize, text: &str) -> Result<bool, String> {
        let line = Line::new(number, text)?;
        let odd = |why: &str| Err(format!("line {number}: {}: {why}", line.message));
        if let Some((list, left)) = self.rows {
            if line.message != "ITEM" {
                return odd(&format!("{left} more ITEM lines were due"));
            }
            let row = (
                line.text("node")?.to_string(),
                line.or("campus", 0)?,
                line.or("position", 0)?,
                line.code("phase", endpoint_state)?,
                line.or("scale", 1.0)?,
                line.micros_or_zero("upSinceNs")?,
            );
            line.or::<usize>("shape", 0)?;
            self.lists.entry(list).or_default().push(row);
            self.rows = (left > 1).then_some((list, left - 1));
            return Ok(false);
        }
        if line.message == "TURN" {
            if self.batch.is_some() {
                return odd("the batch before has not ended");
            }
            self.batch = Some((line.micros("atTimeNs")?, Vec::new()));
            return Ok(false);
        }
        let Some((now, touched)) = &mut self.batch else {
            return odd("it stands outside a batch");
        };
        let now = *now;
        match line.message {
            "EOB" => {
                for name in std::mem::take(touched) {
                    if let Some(instance) = self.instances.get_mut(&name) {
                        instance.settle(now, &mut self.reply);
                    }
                }
                self.batch = None;
                self.reply.extend_from_slice(b"READY\n");
                return Ok(true);
            }
            "DIRECTORY" => {
                let (list, rows) = (line.need("list")?, line.need("rows")?);
                self.lists.insert(list, Vec::new());
                self.rows = (rows > 0).then_some((list, rows));
                return Ok(false);
            }
            "ITEM" => return odd("no list has begun"),
            _ => {}
        }
        let name = line.text("router")?;
        if line.message == "INIT" {
            self.instances.insert(name.to_string(), Instance::new(name, &line)?);
            return Ok(false);
        }
        let Some(instance) = self.instances.get_mut(name) else {
            return Err(line.wrong("router", &format!("'{name}' is unknown")));
        };
        match line.message {
            "HALT" => {
                self.instances.remove(name);
                touched.retain(|n| n != name);
                return Ok(false);
            }
            "ROSTER_CHANGE" => {
                let how = line.code("how", codes::listing)?;
                line.or::<i64>("revision", 0)?;
                let rows = match how {
                    EndpointUpdate::Failed => &[],
                    _ => {
                        let list: usize = line.need("list")?;
                        let known = self.lists.get(&list);
                        known.ok_or_else(|| line.wrong("list", &format!("{list} is unknown")))?.as_slice()
                    }
                };
                instance.members(now, how, rows, &mut self.reply);
            }
            _ => instance.event(now, &line)?,
        }
        if !touched.iter().any(|n| n == name) {
            touched.push(name.to_string());
        }
        Ok(false)
    }
}

fn run() -> Result<(), String> {
    let (mut input, mut output) = (std::io::stdin().lock(), std::io::stdout().lock());
    let (mut host, mut text, mut number) = (Host::default(), Vec::new(), 0);
    loop {
        text.clear();
        let read = input.read_until(b'\n', &mut text).map_err(|e| format!("standard input: {e}"))?;
        if read == 0 {
            return match host.batch {
                Some(_) => Err(format!("line {number}: the input ended inside a batch")),
                None => Ok(()),
            };
        }
        number += 1;
        let line = std::str::from_utf8(&text).map_err(|_| format!("line {number}: it is not UTF-8"))?;
        let line = line.trim_end_matches(['\n', '\r']);
        if !line.is_empty() && host.line(number, line)? {
            let sent = output.write_all(&host.reply).and_then(|()| output.flush());
            sent.map_err(|e| format!("standard output: {e}"))?;
            host.reply.clear();
        }
    }
}

fn main() -> std::process::ExitCode {
    match run() {
        Ok(()) => std::process::ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("simulator-adapter: {why}");
            std::process::ExitCode::FAILURE
        }
    }
}
