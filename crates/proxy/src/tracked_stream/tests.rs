use super::*;

const RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx";

/// What bytes are taken for that arrive after [`RESPONSE`].
fn kind_after_response(bytes: &[u8]) -> Option<UnsolicitedKind> {
    let progress = StreamProgress::default();
    progress.begin_exchange();
    progress.record_response_bytes(RESPONSE);
    progress.end_exchange();
    progress.record_unexpected_input(bytes);
    progress.unsolicited.get()
}

/// Guards against a part of another response that is taken for a repetition (incident 2f3e96): all
/// responses begin alike, and the lag would be taken for shorter than it may be.
#[test]
fn only_the_whole_response_is_taken_for_its_repetition() {
    let repeated = Some(UnsolicitedKind::RepeatedResponse);
    let other = Some(UnsolicitedKind::OtherResponse);
    assert_eq!(kind_after_response(RESPONSE), repeated);
    assert_eq!(kind_after_response(&[RESPONSE, b"more"].concat()), repeated);
    assert_eq!(kind_after_response(b"HTTP/1.1 "), other);
    assert_eq!(
        kind_after_response(b"HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n"),
        other
    );
    assert_eq!(kind_after_response(b""), None);
}

/// Guards against a response that is taken for noise, which would lengthen no rest: a parser skips
/// empty lines before a response, and its first bytes may arrive alone.
#[test]
fn what_a_parser_may_take_for_a_response_is_no_noise() {
    for response in [
        "H",
        "HTTP/1",
        "HTTP/1.0 200 OK",
        "\r\n\r\nHTTP/1.1 200 OK",
        "\r\n",
    ] {
        let kind = kind_after_response(response.as_bytes());
        assert_eq!(kind, Some(UnsolicitedKind::OtherResponse), "{response:?}");
    }
    for noise in [
        "0123456789",
        "ATTP/1.1 200 OK",
        "HTTx",
        " HTTP/1.1 200 OK",
        "\0",
    ] {
        let kind = kind_after_response(noise.as_bytes());
        assert_eq!(kind, Some(UnsolicitedKind::NoResponse), "{noise:?}");
    }
}
