"""Test the reports of hosts on requests that crash targets."""

import json
from typing import Any

import pytest

from fuchsiahaven.core import request_identities, suspects
from fuchsiahaven.routing import (
    delegation_codecs,
    events,
    facts,
    report_codecs,
    suspect_codecs,
)

REPORT = suspects.News(
    request_identities.identify('shop', b'one'),
    1,
    2,
    0.5,
    ('a-0',),
    ('a',),
    'host-1',
)
NOTICE = suspect_codecs.SuspectNotice((REPORT,), 2)


def test_decodes_what_it_encodes() -> None:
    """All fields are encoded without loss."""
    encoded = suspect_codecs.encode_notice(NOTICE)
    assert suspect_codecs.decode_notice(encoded) == NOTICE


def test_a_delegation_report_carries_a_suspect_report() -> None:
    """The host that delegated stops if the delegate's targets crashed."""
    report = events.DelegationReport(
        (), b'', (), (), is_last=True, suspect=REPORT
    )
    encoded = delegation_codecs.encode_report(report)
    assert delegation_codecs.decode_report(encoded) == report


def test_a_report_carries_quarantines() -> None:
    """Hosts that the store rejects get quarantines from other hosts."""
    key = facts.Key(facts.Subject.QUARANTINE, REPORT.identity.digest)
    report = facts.Report(9, (facts.Fact(key, 9, REPORT),), True, 0.0)
    assert (
        report_codecs.decode_report(report_codecs.encode_report(report))
        == report
    )


@pytest.mark.parametrize(
    'invalid',
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
def test_rejects_invalid_fields(invalid: dict[str, Any]) -> None:
    """Guard against one bad message that makes every host refuse requests."""
    row = {**suspect_codecs.encode_report(REPORT), **invalid}
    data = json.dumps({'news': [row], 'hops': 0}).encode()
    with pytest.raises(ValueError):
        suspect_codecs.decode_notice(data)


@pytest.mark.parametrize(
    'data',
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
def test_rejects_malformed_notices(data: bytes) -> None:
    """A malformed message does not stop the host."""
    with pytest.raises(ValueError):
        suspect_codecs.decode_notice(data)
