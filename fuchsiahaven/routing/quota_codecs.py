"""Write and read the datagrams about customers' quotas."""

import json
import math
from typing import Any, Final

from fuchsiahaven.routing import quota_words, report_codecs

#: The first item of a datagram says what it holds.
ASK: Final = 'ask'
VERDICT: Final = 'verdict'
#: JSON readers agree on whole numbers up to here.
LARGEST_WHOLE: Final = 9_007_199_254_740_991
MILLISECONDS: Final = 1000
FAULTS: Final = (ValueError, TypeError, RecursionError)


def write_word(word: quota_words.Word) -> bytes:
    """Write a word as one datagram; waits are in milliseconds."""
    match word:
        case quota_words.Ask():
            row = [ASK, *word]
        case quota_words.Verdict(number, start, granted, wait):
            waits = math.ceil(wait * MILLISECONDS)
            row = [VERDICT, number, start, granted, waits]
    return json.dumps(row, separators=(',', ':')).encode()


def read_word(datagram: bytes) -> quota_words.Word:
    """Read a datagram; raises codecs.Malformed."""
    try:
        return _read_row(json.loads(datagram))
    except FAULTS as error:
        raise report_codecs.MalformedReport(type(error).__name__) from error


def _read_row(row: Any) -> quota_words.Word:
    match row:
        case ['ask', str(customer), *figures]:
            slot, number, start, wanted = [_read_whole(it) for it in figures]
            return quota_words.Ask(customer, slot, number, start, wanted)
        case ['verdict', *figures]:
            number, start, granted, wait = [_read_whole(it) for it in figures]
            return quota_words.Verdict(
                number, start, granted, wait / MILLISECONDS
            )
    raise ValueError('no word')


def _read_whole(told: object) -> int:
    if isinstance(told, int) and not isinstance(told, bool):
        if 0 <= told <= LARGEST_WHOLE:
            return told
    raise ValueError('no whole number')
