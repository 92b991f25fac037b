//! Translation of the platform's terms for setting values and load metrics.

/// Pairs of a term of the platform and its translation.
const TERMS: &[(&str, &str)] = &[
    ("read_like", "idempotent"),
    ("request", "query"),
    ("piggyback", "responses"),
    ("pull", "health_checks"),
    ("silent", "none"),
    ("push", "pushed"),
    ("ask", "polled"),
    ("active", "in_flight"),
    ("inflight", "in_flight"),
    ("waiting", "queued"),
    ("queue", "queued"),
    ("cpu", "busy"),
    ("util", "busy"),
    ("avg_ms", "service_ms"),
    ("latency_ms", "service_ms"),
    ("rps", "finished_per_s"),
    ("qps", "finished_per_s"),
    ("err_rps", "errors_per_s"),
    ("eps", "errors_per_s"),
];

/// Returns the translation of a term of the platform; a term that is not in the table is returned unchanged.
pub(crate) fn translate(term: &str) -> &str {
    TERMS.iter().find(|(platform, _)| *platform == term).map_or(term, |(_, translation)| translation)
}
