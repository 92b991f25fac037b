//! Parsers and encoders of all messages that the query router exchanges with its peers. Parsers return a value or an
//! error for any input and never panic; every length is limited.

pub mod frames;
pub mod http;
pub mod json_stream;
pub mod query_request;
pub mod response_body;
