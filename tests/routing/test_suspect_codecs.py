"""Test what hosts tell each other of requests that end targets."""

import json
from typing import Any

import pytest

from fuchsiahaven.core import request_identities, suspects
from fuchsiahaven.routing import (
    assist_codecs,
    codecs,
    events,
    facts,
    suspect_codecs,
)

NEWS = suspects.SuspectReport(
    request_identities.identify('shop', b'one'),
    1,
    2,
    0.5,
    ('a-0',),
    ('a',),
    'host-1',
)
NOTICE = suspect_codecs.Notice((NEWS,), 2)


def test_reads_what_it_writes() -> None:
    """Nothing is lost on the way."""
    written = suspect_codecs.write_notice(NOTICE)
    assert suspect_codecs.read_notice(written) == NOTICE


def test_a_share_tells_what_its_host_knows() -> None:
    """Who asked for help stops where the helper's targets ended."""
    share = events.DelegationReport((), b'', (), (), is_last=True, suspect=NEWS)
    written = assist_codecs.write_share(share)
    assert assist_codecs.read_share(written) == share


def test_a_report_tells_of_quarantines() -> None:
    """Hosts that the store turns away learn of them from others."""
    key = facts.Key(facts.Subject.QUARANTINE, NEWS.identity.digest)
    report = facts.Report(9, (facts.Fact(key, 9, NEWS),), True, 0.0)
    assert codecs.read_report(codecs.write_report(report)) == report


@pytest.mark.parametrize(
    'spoilt',
    [
        {'digest': 'ab'},
        {'digest': 'z' * request_identities.DIGEST_DIGITS},
        {'crashes': -1},
        {'crashes': True},
        {'clears': 10**9},
        {'wait': None},
        {'wait': float('nan')},
        {'targets': 'a-0'},
        {'targets': ['a'] * 99},
        {'services': [7]},
        {'customer': 'x' * 999},
        {'host': None},
    ],
)
def test_refuses_what_is_spoilt(spoilt: dict[str, Any]) -> None:
    """Symptom: one bad message has every host refuse requests."""
    row = {**suspect_codecs.write_news(NEWS), **spoilt}
    text = json.dumps({'news': [row], 'hops': 0}).encode()
    with pytest.raises(ValueError):
        suspect_codecs.read_notice(text)


@pytest.mark.parametrize(
    'text',
    [
        b'',
        b'[]',
        b'{"news": 7, "hops": 0}',
        b'{"news": [7], "hops": 0}',
        b'{"news": [], "hops": 99}',
        b'{"news": [%s], "hops": 0}' % b','.join([b'{}'] * 99),
        b'[' * 100_000,
    ],
)
def test_refuses_what_is_no_notice(text: bytes) -> None:
    """Whatever comes, the host goes on."""
    with pytest.raises(ValueError):
        suspect_codecs.read_notice(text)
