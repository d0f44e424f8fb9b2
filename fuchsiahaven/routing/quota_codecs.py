"""Encode and decode the datagrams about customers' quotas."""

import json
import math
from typing import Any, Final

from fuchsiahaven.routing import quota_messages, report_codecs

#: The first item of a datagram is the type of its message.
REQUEST_TYPE: Final = 'ask'
REPLY_TYPE: Final = 'verdict'
#: JSON parsers agree on integers up to this one.
MAX_EXACT_INTEGER: Final = 9_007_199_254_740_991
MS_PER_S: Final = 1000
DECODE_ERRORS: Final = (ValueError, TypeError, RecursionError)


def encode_message(message: quota_messages.Message) -> bytes:
    """Encode a message as one datagram; waits are in milliseconds."""
    match message:
        case quota_messages.TokenRequest():
            row = [REQUEST_TYPE, *message]
        case quota_messages.TokenReply(number, start_id, granted, wait):
            wait_ms = math.ceil(wait * MS_PER_S)
            row = [REPLY_TYPE, number, start_id, granted, wait_ms]
    return json.dumps(row, separators=(',', ':')).encode()


def decode_message(datagram: bytes) -> quota_messages.Message:
    """Decode a datagram; raises report_codecs.MalformedReport."""
    try:
        return _decode_row(json.loads(datagram))
    except DECODE_ERRORS as error:
        raise report_codecs.MalformedReport(type(error).__name__) from error


def _decode_row(row: Any) -> quota_messages.Message:
    match row:
        case ['ask', str(customer), *numbers]:
            slot, number, start_id, wanted = [
                _decode_integer(it) for it in numbers
            ]
            return quota_messages.TokenRequest(
                customer, slot, number, start_id, wanted
            )
        case ['verdict', *numbers]:
            number, start_id, granted, wait = [
                _decode_integer(it) for it in numbers
            ]
            return quota_messages.TokenReply(
                number, start_id, granted, wait / MS_PER_S
            )
    raise ValueError('not a quota message')


def _decode_integer(value: object) -> int:
    if isinstance(value, int) and not isinstance(value, bool):
        if 0 <= value <= MAX_EXACT_INTEGER:
            return value
    raise ValueError('not an integer in range')
