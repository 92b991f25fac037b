//! Runs the routers of a simulation and passes each batch of events on to them.

use crate::codes::{self, Event, Message};
use crate::error::{AdapterError, FieldError, MessageError};
use crate::instance::{Instance, ListedEndpoint};
use crate::line::Line;
use balancer::{EndpointUpdate, Micros};
use settings_schema::endpoint_state;
use std::collections::BTreeMap;

/// Last line of each reply.
const END_OF_REPLY: &[u8] = b"READY\n";

/// The running routers, the endpoint lists and the state of the current batch.
#[derive(Default)]
pub struct Host {
    /// The running routers by name.
    instances: BTreeMap<String, Instance>,
    /// The endpoint lists by number.
    endpoint_lists: BTreeMap<usize, Vec<ListedEndpoint>>,
    /// The current batch; `None` between batches.
    batch: Option<Batch>,
    /// The endpoint list of which further entries are expected; `None` if all lists are complete.
    unfinished_list: Option<UnfinishedList>,
    /// The reply to the current batch, or to the last one between batches.
    reply: Vec<u8>,
}

/// A batch of events that happen at the same time.
struct Batch {
    now: Micros,
    /// Names of the routers with events, in the order of their first event.
    routers: Vec<String>,
}

/// An endpoint list that is not complete yet.
#[derive(Clone, Copy)]
struct UnfinishedList {
    number: usize,
    /// Number of entries still expected, at least 1.
    remaining: usize,
}

/// State of the current batch after a line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BatchStatus {
    /// Further lines are expected before the reply.
    Unfinished,
    /// The reply to the batch is complete.
    Finished,
}

impl Host {
    /// Returns whether a batch started and has not ended.
    pub fn is_in_batch(&self) -> bool {
        self.batch.is_some()
    }

    /// Returns the reply; complete after [`BatchStatus::Finished`].
    pub fn reply(&self) -> &[u8] {
        &self.reply
    }

    /// Handles one line of input.
    pub fn handle_line(&mut self, line_number: usize, text: &str) -> Result<BatchStatus, AdapterError> {
        let line = Line::parse(line_number, text)?;
        let message = codes::message(line.message);
        if let Some(list) = self.unfinished_list {
            self.add_list_entry(message, &line, list)?;
            return Ok(BatchStatus::Unfinished);
        }
        let Some(batch) = &self.batch else {
            self.start_batch(message, &line)?;
            return Ok(BatchStatus::Unfinished);
        };
        let now = batch.now;
        match message.ok_or_else(|| line.error(MessageError::Unknown))? {
            Message::BatchStarted => return Err(line.error(MessageError::BatchNotEnded)),
            Message::BatchEnded => {
                self.end_batch();
                return Ok(BatchStatus::Finished);
            }
            Message::ListStarted => self.start_list(&line)?,
            Message::ListEntry => return Err(line.error(MessageError::NoListBegun)),
            Message::RouterStarted => self.start_router(&line)?,
            Message::RouterStopped => self.stop_router(&line)?,
            Message::EndpointsUpdated => self.update_endpoints(now, &line)?,
            Message::Event(event) => self.handle_event(now, event, &line)?,
        }
        Ok(BatchStatus::Unfinished)
    }

    /// Starts a batch. Any other message outside a batch is an error.
    fn start_batch(&mut self, message: Option<Message>, line: &Line) -> Result<(), AdapterError> {
        if message != Some(Message::BatchStarted) {
            return Err(line.error(MessageError::OutsideBatch));
        }
        self.reply.clear();
        self.batch = Some(Batch { now: line.micros("atTimeNs")?, routers: Vec::new() });
        Ok(())
    }

    /// Completes the reply with the decisions of each router that had events.
    fn end_batch(&mut self) {
        if let Some(batch) = self.batch.take() {
            for router in batch.routers {
                if let Some(instance) = self.instances.get_mut(&router) {
                    instance.decide(batch.now, &mut self.reply);
                }
            }
        }
        self.reply.extend_from_slice(END_OF_REPLY);
    }

    fn start_list(&mut self, line: &Line) -> Result<(), AdapterError> {
        let (number, remaining) = (line.value("list")?, line.value("rows")?);
        self.endpoint_lists.insert(number, Vec::new());
        self.unfinished_list = (remaining > 0).then_some(UnfinishedList { number, remaining });
        Ok(())
    }

    fn add_list_entry(
        &mut self, message: Option<Message>, line: &Line, list: UnfinishedList,
    ) -> Result<(), AdapterError> {
        let UnfinishedList { number, remaining } = list;
        if message != Some(Message::ListEntry) {
            return Err(line.error(MessageError::EntriesMissing { remaining }));
        }
        let endpoint = ListedEndpoint {
            node: line.text("node")?.to_string(),
            zone: line.value_or("campus", 0)?,
            replica_set: line.value_or("position", 0)?,
            state: line.code("phase", endpoint_state)?,
            scale: line.value_or("scale", 1.0)?,
            started_at: line.micros_or_zero("upSinceNs")?,
        };
        line.value_or::<usize>("shape", 0)?;
        self.endpoint_lists.entry(number).or_default().push(endpoint);
        self.unfinished_list = (remaining > 1).then_some(UnfinishedList { number, remaining: remaining - 1 });
        Ok(())
    }

    fn start_router(&mut self, line: &Line) -> Result<(), AdapterError> {
        let name = line.text("router")?;
        self.instances.insert(name.to_string(), Instance::new(name, line)?);
        Ok(())
    }

    fn stop_router(&mut self, line: &Line) -> Result<(), AdapterError> {
        let name = line.text("router")?;
        if self.instances.remove(name).is_none() {
            return Err(unknown_router(line, name));
        }
        if let Some(batch) = &mut self.batch {
            batch.routers.retain(|router| router != name);
        }
        Ok(())
    }

    fn update_endpoints(&mut self, now: Micros, line: &Line) -> Result<(), AdapterError> {
        let name = line.text("router")?;
        let instance = self.instances.get_mut(name).ok_or_else(|| unknown_router(line, name))?;
        let update = line.code("how", codes::endpoint_update)?;
        line.value_or::<i64>("revision", 0)?;
        let endpoints = match update {
            EndpointUpdate::Failed => &[],
            _ => listed_endpoints(&self.endpoint_lists, line)?,
        };
        instance.endpoints_updated(now, update, endpoints, &mut self.reply);
        self.add_router_to_batch(name);
        Ok(())
    }

    fn handle_event(&mut self, now: Micros, event: Event, line: &Line) -> Result<(), AdapterError> {
        let name = line.text("router")?;
        let instance = self.instances.get_mut(name).ok_or_else(|| unknown_router(line, name))?;
        instance.handle_event(now, event, line)?;
        self.add_router_to_batch(name);
        Ok(())
    }

    fn add_router_to_batch(&mut self, name: &str) {
        if let Some(batch) = &mut self.batch
            && !batch.routers.iter().any(|router| router == name)
        {
            batch.routers.push(name.to_string());
        }
    }
}

fn unknown_router(line: &Line, name: &str) -> AdapterError {
    line.field_error("router", FieldError::UnknownValue { value: name.to_string() })
}

/// Returns the endpoint list whose number is in the field `list`.
fn listed_endpoints<'a>(
    lists: &'a BTreeMap<usize, Vec<ListedEndpoint>>, line: &Line,
) -> Result<&'a [ListedEndpoint], AdapterError> {
    let list = line.value("list")?;
    match lists.get(&list) {
        Some(endpoints) => Ok(endpoints),
        None => Err(line.field_error("list", FieldError::UnknownList { list })),
    }
}
