//! Parsers and encoders of everything that the query router exchanges with its peers. They are total: any
//! input gives a value or an error, and nothing is read beyond stated limits.

pub mod frames;
pub mod http;
pub mod json_stream;
pub mod query_request;
