"""Test the commands for hosts on the platform."""

import json
from pathlib import Path

import pytest

from fuchsiahaven.operate import command_inspect, commands, exit_codes
from tests.platform import test_settings

STATE = {
    'ready': 'yes',
    'version': 7,
    'news_age': 0.4,
    'store_lost': False,
    'source': 'the store',
    'hosts': {'host-2': 'north', 'host-1': 'south'},
    'targets': {'records': {'i-1': '12 ms', 'i-2': 'left out'}},
    'budgets': {'records': 5.5},
    'waiting': 0,
}


def test_formats_the_state_of_a_host() -> None:
    """There is one line for each service with the state of its targets."""
    lines = command_inspect.format_state(json.loads(json.dumps(STATE)))
    assert 'version: 7' in lines
    assert 'store_era: not told' in lines
    lines_with_era = command_inspect.format_state({**STATE, 'store_era': 4})
    assert 'store_era: 4' in lines_with_era
    assert 'hosts: host-1, host-2' in lines
    assert (
        lines[-1] == 'records: i-1 12 ms, i-2 left out; 5.5 extra attempts left'
    )


def test_formats_quarantined_requests() -> None:
    """Guard against quarantines that only `--json` shows."""
    row = {'digest': 'ab', 'wait': 119.6, 'crashes': 3, 'targets': ['i-1']}
    lines = command_inspect.format_state({**STATE, 'quarantined': [row]})
    assert 'quarantined: ab for 120 s, targets ended at 3 moments: i-1' in lines


def test_formats_results_by_customer() -> None:
    """There are no such lines where callers need no key."""
    assert not command_inspect.format_customers(None)
    report = {
        'known': 3,
        'largest': {'shop': {'complete': 7, 'over_quota': 1}},
        'others': {},
        'unknown_keys': {'no key was shown': 2},
    }
    lines = command_inspect.format_state({**STATE, 'customers': report})
    assert 'customers: 3' in lines
    assert 'customer shop: complete 7, over_quota 1' in lines
    assert 'other customers: none' in lines
    assert 'unknown keys: no key was shown 2' in lines


def test_an_unreachable_host_is_reported(
    capsys: pytest.CaptureFixture[str],
) -> None:
    """The exit code and the error output state it."""
    exit_code = commands.main(['inspect', '--at', '127.0.0.1:1'])
    assert exit_code == exit_codes.UNREACHABLE
    assert '127.0.0.1:1' in capsys.readouterr().err


def test_checks_a_settings_file_of_the_platform(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """Each fault is printed on a line of its own."""
    path = tmp_path / 'boot.conf'
    path.write_text(test_settings.TEXT)
    tokens = ['check', '--platform', str(path)]
    assert commands.main(tokens) == exit_codes.SUCCESS
    path.write_text(test_settings.TEXT.replace('=56', '=many'))
    assert commands.main(tokens) == exit_codes.FAILED
    assert "bounds.retry_slack 'many' is not" in capsys.readouterr().out


def test_checks_a_version_for_the_store(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """Faults for which hosts reject a version are printed, without keys."""
    path = tmp_path / 'next.json'
    tokens = ['check', '--configuration', str(path)]
    shop = {'name': 'shop', 'api_keys': ['k-secret']}
    configuration = {
        'version': 4,
        'routes': [],
        'services': [],
        'tenants': [shop],
    }
    path.write_text(json.dumps(configuration))
    assert commands.main(tokens) == exit_codes.SUCCESS
    assert 'version 4: 0 routes, 1 customers' in capsys.readouterr().out
    shop['api_keys'] = ['k-secret', 'k-secret']
    path.write_text(json.dumps(configuration))
    assert commands.main(tokens) == exit_codes.FAILED
    printed = capsys.readouterr().out
    assert "customer 'shop': a key is listed twice" in printed
    assert 'k-secret' not in printed
    assert commands.main(['check', '--configuration', 'none.json']) == (
        exit_codes.FAILED
    )
