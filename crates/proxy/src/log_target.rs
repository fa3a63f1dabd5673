//! The targets of the log lines for single calls, lists, requests, attempts and connections. A
//! directive of the log filter names a target to show or hide its lines.

/// Calls to discovery, the endpoint list, and the evidence for its use.
pub const DISCOVERY: &str = "discovery";
/// Requests of clients: their arrival and their final response.
pub const REQUEST: &str = "request";
/// The start of each attempt, with the backend and the endpoint list.
pub const ATTEMPT: &str = "attempt";
/// The end of each connection of a client, and the connection of each attempt.
pub const CONNECTION: &str = "connection";
/// The memory of the process, and what holds it.
pub const MEMORY: &str = "memory";
