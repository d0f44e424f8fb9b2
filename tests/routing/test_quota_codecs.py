"""Test the datagrams about quotas."""

import hypothesis
import pytest
from hypothesis import strategies as some

from fuchsiahaven.routing import quota_codecs, quota_messages, report_codecs


@pytest.mark.parametrize(
    'message',
    [
        quota_messages.TokenRequest('Café 9', 3, 71, 12, 4),
        quota_messages.TokenReply(71, 12, 0, 0.25),
    ],
)
def test_decodes_what_was_encoded(message: quota_messages.Message) -> None:
    datagram = quota_codecs.encode_message(message)
    assert quota_codecs.decode_message(datagram) == message
    assert len(datagram) < 100


@pytest.mark.parametrize(
    'datagram',
    [
        b'',
        b'\xff\xfe',
        b'[' * 30_000,
        b'{"ask":1}',
        b'["ask","shop",1,2,3]',
        b'["ask","shop",1,2,3,-1]',
        b'["ask","shop",1,2,3,1e3]',
        b'["ask","shop",1,2,3,NaN]',
        b'["ask","shop",true,2,3,4]',
        b'["ask",7,1,2,3,4]',
        b'["verdict",1,2,3,Infinity]',
        b'["verdict",1,2,3,99999999999999999999999]',
    ],
)
def test_refuses_malformed_datagrams(datagram: bytes) -> None:
    """Guard against foreign datagrams that end the loop of a host."""
    with pytest.raises(report_codecs.MalformedReport):
        quota_codecs.decode_message(datagram)


@hypothesis.given(some.binary(max_size=200))
def test_any_bytes_are_a_message_or_malformed(datagram: bytes) -> None:
    """Guard against an exception that the caller does not handle."""
    try:
        quota_codecs.decode_message(datagram)
    except report_codecs.MalformedReport:
        return
