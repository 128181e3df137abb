//! What the status of a backend server's response means to the caller of a request that has run.

use wire::response::Meaning;

/// Guards against a status that is forwarded though callers take it as a promise that the request has
/// not run, or though no final response has it.
#[test]
fn each_status_has_its_meaning() {
    for status in 0..=u16::MAX {
        let expected = match status {
            200..=299 => Meaning::Success,
            408 | 421 | 429 | 503 => Meaning::NotRun,
            300..=599 => Meaning::Failure,
            _ => Meaning::Invalid,
        };
        let meaning = Meaning::of(status);
        assert_eq!(meaning, expected, "{status}");
        let is_forwarded = matches!(expected, Meaning::Success | Meaning::Failure);
        assert_eq!(meaning.is_forwarded(), is_forwarded, "{status}");
    }
}
