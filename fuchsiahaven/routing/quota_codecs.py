"""Write and read the words about customers' use, each one datagram."""

import json
from typing import Any, Final

from fuchsiahaven.routing import quota_words

#: Tell the kinds of words apart, and this form from later ones.
USAGE: Final = 'u1'
VERDICT: Final = 'v1'
CALL: Final = 'c1'
ALERT: Final = 'a1'
MILLISECONDS: Final = 1000
#: Admissions in one word; a host sees few of a customer in a window.
MOST_ADMITTED: Final = 100


class Malformed(ValueError):
    """Tell that a datagram holds no word."""


def write_word(word: quota_words.Word) -> bytes:
    """Write a word."""
    return json.dumps(_list_fields(word), separators=(',', ':')).encode()


def read_word(data: bytes) -> quota_words.Word:
    """Read a word; raises Malformed."""
    try:
        return _read(json.loads(data))
    except (ValueError, TypeError, OverflowError) as error:
        raise Malformed(f'no word: {error}') from error


def _list_fields(word: quota_words.Word) -> list[Any]:
    match word:
        case quota_words.Usage():
            admitted = [
                [one.number, _write_time(one.age)] for one in word.admitted
            ]
            return [USAGE, *word._replace(admitted=())[:6], admitted, *word[7:]]
        case quota_words.Verdict():
            return [
                VERDICT,
                *word._replace(wait=_write_time(word.wait)),
            ]
        case quota_words.Call():
            return [CALL, *word._replace(lease=_write_time(word.lease))]
        case quota_words.Alert():
            return [ALERT, *word]


def _read(row: Any) -> quota_words.Word:
    match row:
        case [
            'u1',
            str(purpose),
            str(customer),
            str(host),
            int(start),
            int(serial),
            int() | float() as limit,
            list(admitted),
            list(wanted),
            int(about),
            str(first),
            bool(lost),
        ]:
            return quota_words.Usage(
                quota_words.Purpose(purpose),
                customer,
                host,
                start,
                serial,
                float(limit),
                tuple(
                    quota_words.Admission(int(number), _read_time(age))
                    for number, age in admitted[-MOST_ADMITTED:]
                ),
                tuple(int(number) for number in wanted[-MOST_ADMITTED:]),
                about,
                first,
                lost,
            )
        case [
            'v1',
            str(customer),
            str(host),
            int(serial),
            int(about),
            bool(granted),
            bool(sure),
            int(counted),
            int() | float() as limit,
            wait,
            bool(asking),
        ]:
            return quota_words.Verdict(
                customer,
                host,
                serial,
                about,
                granted,
                sure,
                counted,
                float(limit),
                _read_time(wait),
                asking,
            )
        case ['c1', str(customer), str(host), int(number), lease]:
            return quota_words.Call(customer, host, number, _read_time(lease))
        case ['a1', str(customer), str(host), bool(asking)]:
            return quota_words.Alert(customer, host, asking)
    raise Malformed('unknown form')


def _write_time(seconds: float) -> int:
    return int(seconds * MILLISECONDS)


def _read_time(told: Any) -> float:
    if not isinstance(told, int) or told < 0:
        raise Malformed(f'{told!r} is no time')
    return told / MILLISECONDS
